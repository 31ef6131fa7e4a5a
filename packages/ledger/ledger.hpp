/// \file
/// The durable facts about jobs, and the copy of them that every entry keeps.
#pragma once

#include "ledger/detail/record.hpp"
#include "ledger/detail/replica.hpp"
#include "ledger/detail/store.hpp"
#include "ledger/detail/tail.hpp"
#include "ledger/detail/writer.hpp"
