/// \file
/// Runs the control state of one entry with real clocks, sockets and HTTP.
#pragma once

#include "node/node.hpp"
#include "settings/settings.hpp"

namespace pollenvale {

/// Runs until a graceful shutdown, started by SIGTERM or SIGINT, is complete,
/// then ends the process with exit code 0. Throws std::exception when an
/// address can't be bound.
[[noreturn]] void runEntry(const settings::Settings &S);

} // namespace pollenvale
