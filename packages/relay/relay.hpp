/// \file
/// Calls to the store by way of another entry, while the store turns this one
/// away or does not answer it.
#pragma once

#include "relay/detail/messages.hpp"
#include "relay/detail/router.hpp"
#include "relay/detail/store.hpp"
