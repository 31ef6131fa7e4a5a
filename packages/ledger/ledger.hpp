/// \file
/// Durable records about jobs in the platform's store, the replica of them that
/// every entry keeps, and fenced writing of new ones.
#pragma once

#include "ledger/detail/record.hpp"
#include "ledger/detail/replica.hpp"
#include "ledger/detail/store.hpp"
#include "ledger/detail/tail.hpp"
#include "ledger/detail/writer.hpp"
