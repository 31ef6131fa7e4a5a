/// \file
/// One call on a libcurl handle, shared by the clients of this package.
#pragma once

#include "http/detail/client.hpp"

#include <curl/curl.h>

namespace pollenvale::http::detail {

struct Transfer {
  ClientCall Call_;
  ClientDone Done_;
  ClientReply Reply_;
  curl_slist *Headers_ = nullptr;
  CURL *Easy_ = nullptr;
};

/// Initialises libcurl once per process.
void initializeCurl();
/// Sets every option of \p T.Easy_ from \p T.Call_.
void prepare(Transfer &T);
/// Fills status, code and message of \p T.Reply_ after the transfer.
void conclude(Transfer &T, CURLcode Code);

} // namespace pollenvale::http::detail
