/// \file
/// Delegated starts: another entry, a peer, sends starts to workers on behalf
/// of the owner of a slice. The peer takes the payload, which is most of a
/// start, from its own replica of the job.
#pragma once

#include "delegation/detail/messages.hpp"
#include "delegation/detail/pool.hpp"
