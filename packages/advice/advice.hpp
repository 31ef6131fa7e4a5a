/// \file
/// Calls to the placement policy. The policy serves one call at a time for each
/// entry VM, so the calls of an owner are spread over all entries.
#pragma once

#include "advice/detail/messages.hpp"
#include "advice/detail/pool.hpp"
