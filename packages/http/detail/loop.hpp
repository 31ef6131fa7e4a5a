/// \file
/// The same server and client on an event loop of the caller's: no thread of
/// their own, every handler runs on the loop's thread.
#pragma once

#include "http/detail/client.hpp"
#include "http/detail/server.hpp"

#include <asio/io_context.hpp>

namespace pollenvale::http {

/// Listens on \p Io. Throws std::exception when the address can't be bound.
std::unique_ptr<Server>
startServer(asio::io_context &Io, const ServerOptions &Options, Handler Handle);

/// Sends on \p Io. Calls must come from its thread. Idle connections are kept
/// and used again, so a call may reach a peer that has closed its side; such a
/// call is repeated by the library and must be idempotent.
std::unique_ptr<Client> makeClient(asio::io_context &Io);

} // namespace pollenvale::http
