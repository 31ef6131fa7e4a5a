/// \file
/// Team quotas: usage of the teams, and whether a quota admits the next task.
/// Internal.
#pragma once

#include "jobs/detail/home.hpp"

namespace pollenvale::jobs {

/// Relation of a team's next task to its quota.
enum class QuotaStatus {
  Within,   ///< The team has no quota.
  Entitled, ///< Inside the quota; borrowed room may be claimed back.
  Borrowed, ///< Above the quota, with room that others leave unused.
  Refused   ///< Above the quota, and the team may not borrow.
};

/// Status of the next task of \p Spec, by the usage of this node's jobs and the
/// last reported usage of its peers' jobs. O(log n).
QuotaStatus quotaStatus(const State &State, const Context &Context,
                        const JobSpec &Spec);
/// Usage of a team relative to its quota, in the dimension where this is
/// largest. 0 without a quota.
double quotaShare(const State &State, const Context &Context,
                  const std::string &Team);
/// Counts the tasks of jobs that are due for a check, and sums the usage of
/// teams: of own jobs at every call, of peers' jobs once an interval. O(own
/// jobs), and O(peers x teams) an interval.
void sumTeamUsage(State &State, const Context &Context);

} // namespace pollenvale::jobs
