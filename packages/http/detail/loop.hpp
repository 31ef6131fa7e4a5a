/// \file
/// Server and client that run on an event loop of the caller. They start no
/// threads; every handler runs on the loop's thread.
#pragma once

#include "http/detail/client.hpp"
#include "http/detail/server.hpp"

#include <asio/io_context.hpp>

namespace pollenvale::http {

/// Listens on \p Io. Throws std::exception when the address can't be bound.
std::unique_ptr<Server>
startServer(asio::io_context &Io, const ServerOptions &Options, Handler Handle);

/// Creates a client on \p Io. submit() must be called on the thread that runs
/// \p Io. Idle connections are reused, and the peer may have closed its side of
/// one. A GET is then sent again, which must therefore be idempotent; calls
/// with other methods end with ClientStatus::Lost if a byte of them was
/// written.
std::unique_ptr<Client> makeClient(asio::io_context &Io);

} // namespace pollenvale::http
