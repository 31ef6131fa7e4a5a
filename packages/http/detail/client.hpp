/// \file
/// HTTP client. It repeats no request but a GET: what a broken connection means
/// is the caller's decision.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenvale::http {

struct ClientCall {
  std::string Method_ = "POST";
  std::string Url_;
  std::string Body_;
  std::vector<std::string> Headers_; ///< "Name: value".
  std::chrono::milliseconds Timeout_{3'000};
  /// Limit of opening a connection, within Timeout_; 0 for none of its own.
  std::chrono::milliseconds ConnectTimeout_{0};
  /// Uses a connection of its own: none that has broken unnoticed.
  bool Fresh_ = false;
};

enum class ClientStatus {
  Answered,
  NotSent,   ///< No connection: no byte of the request left.
  Lost,      ///< Sent, and the connection broke before an answer.
  Truncated, ///< The answer broke off.
  Timeout
};

struct ClientReply {
  ClientStatus Status_ = ClientStatus::Lost;
  int Code_ = 0;
  std::string Body_;
  std::string Echo_; ///< Header X-Pollenvale-Echo of the answer.
  std::string Message_;
  unsigned Connections_ = 0; ///< Connections opened for the call.
};

/// Load of a client and what became of its calls.
struct ClientStats {
  std::size_t InFlight_ = 0;
  std::uint64_t NotSent_ = 0; ///< Ended while their connection opened.
  std::uint64_t Timeouts_ = 0;
  std::uint64_t Connections_ = 0; ///< Opened.
  /// Connections closed while part of an answer waited on them, unread.
  std::uint64_t Unread_ = 0;
};

using ClientDone = std::function<void(ClientReply)>;

class Client {
public:
  virtual ~Client() = default;
  /// Thread-safe. \p Done runs on the client's thread, exactly once, but not
  /// after the client is destroyed.
  virtual void submit(ClientCall Call, ClientDone Done) = 0;
  /// All zero for a client with a thread of its own.
  virtual ClientStats stats() const { return {}; }
};

std::unique_ptr<Client> makeClient();
/// Sends one call and waits for its answer.
ClientReply callAndWait(Client &C, ClientCall Call);

} // namespace pollenvale::http
