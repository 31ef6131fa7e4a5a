/// \file
/// Server and client that run on an event loop of the caller. They start no
/// threads; every handler runs on the loop's thread.
#pragma once

#include "http/detail/client.hpp"
#include "http/detail/server.hpp"

#include <asio/io_context.hpp>

namespace pollenvale::http {

/// Work of a server that callers still wait for.
struct ServerLoad {
  std::size_t Unanswered_ = 0; ///< Requests whose answer is not written.
  std::size_t Unwritten_ = 0;  ///< Part of them: passed to their responder.
  /// Connections that wait to be accepted or hold bytes to be read next.
  std::size_t Unread_ = 0;
  std::size_t PartlyRead_ = 0; ///< Connections with a part of a request.
  std::size_t Connections_ = 0;
  std::uint64_t Answered_ = 0;   ///< Answers written since the start.
  std::uint64_t ClosedIdle_ = 0; ///< Connections closed by drain().
};

/// A server on a loop of the caller, whose functions must be called on the
/// loop's thread.
class LoopServer : public Server {
public:
  /// Closes the listener once no connection waits to be accepted, or new ones
  /// have kept coming for a while, and each connection without a request. To
  /// be called at intervals until isDrained().
  virtual void drain() = 0;
  /// Whether every request that has reached this host is answered. The loop may
  /// be stopped then.
  virtual bool isDrained() const = 0;
  virtual ServerLoad load() const = 0;
};

/// Listens on \p Io. Throws std::exception when the address can't be bound.
std::unique_ptr<LoopServer>
startServer(asio::io_context &Io, const ServerOptions &Options, Handler Handle);

/// Creates a client on \p Io. submit() must be called on the thread that runs
/// \p Io. Idle connections are reused, and the peer may have closed its side of
/// one. A GET is then sent again, which must therefore be idempotent; calls
/// with other methods end with ClientStatus::Lost if a byte of them was
/// written.
std::unique_ptr<Client> makeClient(asio::io_context &Io);

} // namespace pollenvale::http
