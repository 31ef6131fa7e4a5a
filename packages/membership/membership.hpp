/// \file
/// Live entries and VMs, and the assignment of racks to entries. All of this is
/// advisory: it decides where to try first, and safety never depends on it.
#pragma once

#include "membership/detail/assignment.hpp"
#include "membership/detail/messages.hpp"
#include "membership/detail/state.hpp"
