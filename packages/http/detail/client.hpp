/// \file
/// HTTP client. Only GET requests are retried when a connection breaks; for
/// other methods the caller decides whether to retry.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenvale::http {

/// A request and its limits.
struct ClientCall {
  std::string Method_ = "POST";
  std::string Url_;
  std::string Body_;
  std::vector<std::string> Headers_;         ///< "Name: value".
  std::chrono::milliseconds Timeout_{3'000}; ///< Limit for the whole call.
  /// Limit for opening a connection, capped by Timeout_; 0 means that only
  /// Timeout_ applies.
  std::chrono::milliseconds ConnectTimeout_{0};
  /// Ends the call when no byte of the answer has arrived for this long; 0
  /// means that only Timeout_ applies. Only a client on a caller's loop does
  /// so.
  std::chrono::milliseconds SilenceTimeout_{0};
  /// Opens a new connection for this call and closes it afterwards, so that the
  /// call can't run into a cached connection that the peer has closed.
  bool Fresh_ = false;
};

/// Outcome of a call.
enum class ClientStatus {
  Answered,  ///< Complete answer, with any HTTP status code.
  NotSent,   ///< No connection: no byte of the request was sent.
  Lost,      ///< Sent, but the connection broke before an answer arrived.
  Truncated, ///< The connection broke in the middle of the answer.
  Timeout    ///< Sent, but no complete answer arrived within the limit.
};

struct ClientReply {
  ClientStatus Status_ = ClientStatus::Lost;
  int Code_ = 0; ///< HTTP status code; 0 if none was received.
  std::string Body_;
  /// Header X-Pollenvale-Echo of the answer; empty if absent.
  std::string Echo_;
  std::string Message_;      ///< What went wrong; empty when answered.
  unsigned Connections_ = 0; ///< Connections opened for the call.
};

/// Calls in progress and counters since the start of a client.
struct ClientStats {
  std::size_t InFlight_ = 0;
  std::uint64_t NotSent_ = 0;     ///< Calls that ended with NotSent.
  std::uint64_t Timeouts_ = 0;    ///< Calls that ended with Timeout.
  std::uint64_t Connections_ = 0; ///< Connections opened.
  /// Connections closed while received bytes were still unread.
  std::uint64_t Unread_ = 0;
};

using ClientDone = std::function<void(ClientReply)>;

class Client {
public:
  virtual ~Client() = default;
  /// Starts a call. Thread-safe unless the client runs on an event loop of the
  /// caller. \p Done runs exactly once, on the client's thread, but not after
  /// the client is destroyed.
  virtual void submit(ClientCall Call, ClientDone Done) = 0;
  /// All values are zero for a client with its own thread.
  virtual ClientStats stats() const { return {}; }
};

/// Creates a client with its own thread.
std::unique_ptr<Client> makeClient();
/// Sends one call and blocks until it has ended.
ClientReply callAndWait(Client &C, ClientCall Call);

} // namespace pollenvale::http
