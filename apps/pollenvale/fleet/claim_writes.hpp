/// \file
/// Writes to the claims topic.
#pragma once

#include "ledger/ledger.hpp"
#include "ownership/ownership.hpp"

namespace pollenvale::fleet {

/// The partition that holds the claims and heartbeats of all entries.
ledger::Partition claimPartition();

ledger::AppendCall makeAppend(const ownership::Write &W);

/// Logs a release that is sent for the first time. \p Stopping: this entry is
/// about to end.
void logRelease(const ownership::Write &W, bool Stopping);

} // namespace pollenvale::fleet
