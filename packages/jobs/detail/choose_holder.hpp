/// \file
/// Choice of the holder that is asked for room. Internal.
#pragma once

#include "jobs/detail/home.hpp"

namespace pollenvale::jobs {

/// Holder to ask next: for spread the one with the fewest tasks of the job,
/// then the emptiest; for pack the fullest that has room. Empty when there is
/// none.
NodeId chooseHolder(const Context &C, const Work &W, const Task &T,
                    const JobSpec &Spec, bool Spread, bool Entitled);

} // namespace pollenvale::jobs
