/// \file
/// Which entry owns which slice. An entry owns a slice by an exclusive claim in
/// the store. The number of a claim only grows and fences every earlier holder.
/// Heartbeats only tell other entries when a holder may be taken over.
#pragma once

#include "ownership/detail/claims.hpp"
#include "ownership/detail/records.hpp"
