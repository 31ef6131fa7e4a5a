/// \file
/// Which entry owns which slice: exclusive claims in the store, kept alive by
/// heartbeats of their holders. A heartbeat is a hint; a claim is the
/// authority, and its number, which only grows, fences every earlier holder.
#pragma once

#include "ownership/detail/claims.hpp"
#include "ownership/detail/records.hpp"
