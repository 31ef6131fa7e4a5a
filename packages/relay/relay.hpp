/// \file
/// Calls to the store through another entry while the store refuses calls of
/// this entry or does not answer them.
#pragma once

#include "relay/detail/messages.hpp"
#include "relay/detail/router.hpp"
#include "relay/detail/store.hpp"
