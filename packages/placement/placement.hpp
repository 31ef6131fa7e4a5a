/// \file
/// Placement decisions over an index of workers, without side effects.
#pragma once

#include "placement/detail/index.hpp"
