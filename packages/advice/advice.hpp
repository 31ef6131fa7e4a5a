/// \file
/// Calls to the placement policy, which serves one call at a time for each
/// entry VM: they are spread over all entries.
#pragma once

#include "advice/detail/messages.hpp"
#include "advice/detail/pool.hpp"
