/// \file
/// One call on a libcurl handle, of the client with its own thread.
#pragma once

#include "http/detail/client.hpp"

#include <curl/curl.h>
#include <memory>
#include <vector>

namespace pollenvale::http::detail {

struct Transfer {
  ClientCall Call_;
  ClientDone Done_;
  ClientReply Reply_;
  curl_slist *Headers_ = nullptr;
  unsigned Attempts_ = 0; ///< Times that libcurl has started sending.
  CURL *Easy_ = nullptr;
};

/// Initialises libcurl once per process.
void initializeCurl();
/// Sets the options of \p T.Easy_ from \p T.Call_, except for the timeouts.
void setOptions(Transfer &T);
/// Makes libcurl enforce the timeouts of \p T.Call_.
void setLibraryTimeouts(Transfer &T);
/// Whether any byte of the request was written to the connection.
bool isSent(const Transfer &T);
/// Sets status, code, message and connection count of \p T.Reply_ after the
/// transfer has ended with \p Code.
void fillReply(Transfer &T, CURLcode Code);

/// Removes the transfers that have ended from \p Running and returns them with
/// their replies filled. Their handles remain added to \p Multi.
template <class Map>
std::vector<std::unique_ptr<Transfer>> takeFinished(CURLM *Multi,
                                                    Map &Running) {
  std::vector<std::unique_ptr<Transfer>> Out;
  int Remaining = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &Remaining)) {
    auto It = Running.find(Message->easy_handle);
    if (Message->msg != CURLMSG_DONE || It == Running.end())
      continue;
    fillReply(*It->second, Message->data.result);
    Out.push_back(std::move(It->second));
    Running.erase(It);
  }
  return Out;
}

} // namespace pollenvale::http::detail
