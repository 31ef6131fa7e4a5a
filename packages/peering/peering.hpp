/// \file
/// Messages between entries, their codec, and the outbox of one step.
#pragma once

#include "peering/detail/codec.hpp"
#include "peering/detail/outbox.hpp"
#include "peering/detail/peer_message.hpp"
