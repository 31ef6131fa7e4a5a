/// \file
/// HTTP server. Handlers may answer asynchronously and from any thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pollenvale::http {

/// Bytes. The server closes the connection of a request with a larger body
/// without an answer.
inline constexpr std::size_t HardBodyLimit = 8u << 20;

struct ServerRequest {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
  std::string Body_;
};

struct ServerReply {
  int Code_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  std::map<std::string, std::string> Headers_;
  /// Sends "Connection: close" and closes the connection after the answer.
  bool Close_ = false;
  /// Announces the whole body but sends only half of it. Used by stand-ins to
  /// simulate a broken connection.
  bool Truncate_ = false;
};

/// Sends the answer to one request. The connection stays open until the
/// responder is called or destroyed.
using Responder = std::function<void(ServerReply)>;
using Handler = std::function<void(ServerRequest, Responder)>;

struct ServerOptions {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  /// Threads of a server with its own threads; ignored on a caller's loop.
  unsigned Threads_ = 1;
};

class Server {
public:
  virtual ~Server() = default;
  /// Number of answers passed to responders that are not yet written to their
  /// connection. Thread-safe.
  virtual std::size_t unwritten() const = 0;
  /// Stops accepting, closes every connection and joins the threads. All
  /// responders must be destroyed before the server is.
  virtual void stop() = 0;
};

/// Starts a server with its own threads. Throws std::exception when the address
/// can't be bound.
std::unique_ptr<Server> startServer(const ServerOptions &Options,
                                    Handler Handle);

} // namespace pollenvale::http
