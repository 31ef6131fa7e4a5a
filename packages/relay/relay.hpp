/// \file
/// Calls to the store through another entry, while the store refuses this one
/// or does not answer it.
#pragma once

#include "relay/detail/messages.hpp"
#include "relay/detail/router.hpp"
#include "relay/detail/store.hpp"
