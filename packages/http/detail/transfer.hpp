/// \file
/// One call on a libcurl handle, shared by the clients of this package.
#pragma once

#include "http/detail/client.hpp"

#include <curl/curl.h>
#include <memory>
#include <optional>
#include <vector>

namespace pollenvale::http::detail {

struct Transfer {
  ClientCall Call_;
  ClientDone Done_;
  ClientReply Reply_;
  curl_slist *Headers_ = nullptr;
  unsigned Attempts_ = 0; ///< Times that libcurl was about to send it.
  CURL *Easy_ = nullptr;
  curl_socket_t Socket_ = CURL_SOCKET_BAD; ///< Of its connection, if known.
  /// Next limit: of opening the connection or of the whole call.
  std::chrono::steady_clock::time_point DueAt_{};
  std::chrono::steady_clock::time_point EndAt_{}; ///< Limit of the whole call.
  std::chrono::steady_clock::time_point SubmittedAt_{};
};

/// Initialises libcurl once per process.
void initializeCurl();
/// Sets every option of \p T.Easy_ from \p T.Call_ but its limits.
void prepare(Transfer &T);
/// Has libcurl enforce the limits of \p T.Call_.
void limitByLibrary(Transfer &T);
/// Whether a byte of the request has left.
bool isSent(const Transfer &T);
/// When the connection was open for the request; empty if no byte has left.
std::optional<std::chrono::steady_clock::time_point> sentAt(const Transfer &T);
/// Fills status, code and message of \p T.Reply_ after the transfer.
void conclude(Transfer &T, CURLcode Code);

/// Takes the transfers that have ended out of \p Running, concluded. Their
/// handles still belong to \p Multi.
template <class Map>
std::vector<std::unique_ptr<Transfer>> takeFinished(CURLM *Multi,
                                                    Map &Running) {
  std::vector<std::unique_ptr<Transfer>> Out;
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    auto It = Running.find(Message->easy_handle);
    if (Message->msg != CURLMSG_DONE || It == Running.end())
      continue;
    conclude(*It->second, Message->data.result);
    Out.push_back(std::move(It->second));
    Running.erase(It);
  }
  return Out;
}

} // namespace pollenvale::http::detail
