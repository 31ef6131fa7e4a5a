/// \file
/// Choice of the holder that a hold is requested from. Internal.
#pragma once

#include "jobs/detail/home.hpp"

namespace pollenvale::jobs {

/// Holder to send the next hold request to: for spread the one with the fewest
/// tasks of the job, then the emptiest; for pack the fullest one that has room.
/// Holders that would have to preempt rank last. Empty when no holder is left.
NodeId chooseHolder(const Context &Context, const HomedJob &Job,
                    const Task &Task, const JobSpec &Spec, bool Spread,
                    bool Entitled);

} // namespace pollenvale::jobs
