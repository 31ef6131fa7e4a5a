/// \file
/// Ends the backoff of tasks without room when room becomes free. Internal.
#pragma once

#include "jobs/detail/home.hpp"

namespace pollenvale::jobs {

/// Makes as many tasks due for a hold request as the room that became free
/// since the last call could take, in the order of \p Order. O(racks + tasks of
/// jobs without room) an interval.
void wakeForRoom(State &State, const Context &Context,
                 const std::vector<HomedJob *> &Order);

} // namespace pollenvale::jobs
