/// \file
/// The operators' configuration that is in force at this entry.
#pragma once

#include "ledger/ledger.hpp"

namespace pollenvale::fleet {

struct Configuration {
  workflow::Catalog Catalog_;
  bool Known_ = false; ///< A configuration has been read.
};

/// Applies a record of the operators' topic. Returns whether it has put a newer
/// configuration in force. Counts and logs one that can't be read.
bool applyRecord(Configuration &Config, const ledger::KeyedRecord &R,
                 Counters &Counts);

} // namespace pollenvale::fleet
