/// \file
/// Jobs as their callers see them: handing in, asking, cancelling.
#pragma once

#include "intake/detail/intake.hpp"
#include "intake/detail/partition.hpp"
