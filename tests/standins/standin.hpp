/// \file
/// Shared code of the stand-in programs: JSON answers and the server loop.
#pragma once

#include "http/http.hpp"

#include <asio.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>

namespace pollenvale::standins {

using nlohmann::json;
using Route = std::function<void(http::ServerRequest, http::Responder)>;

inline http::ServerReply reply(int Code, const json &Body) {
  return {Code, Body.dump(), "application/json", {}, false};
}

/// Serves on 127.0.0.1 at the port given as first argument until SIGTERM or
/// SIGINT. \p Io runs timers on the calling thread; \p Threads is the
/// number of server threads, which call \p Handle. Returns the exit status of
/// the program.
inline int serve(asio::io_context &Io, int Count, char **Values, Route Handle,
                 unsigned Threads = 2) {
  if (Count < 2) {
    std::cerr << Values[0] << ": the first argument must be a port\n";
    return 2;
  }
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](std::error_code, int) { Io.stop(); });
  auto Server = http::startServer(
      {"127.0.0.1", std::uint16_t(std::stoul(Values[1])), Threads}, Handle);
  Io.run();
  Server->stop();
  return 0;
}

} // namespace pollenvale::standins
