/// \file
/// Configuration: its schema, and the deterministic rule by which every node
/// accepts or refuses a change recorded in the log.
#pragma once

#include "config/detail/document.hpp"
#include "config/detail/state.hpp"
