#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

namespace pollenvale::scheduler {

State makeState(Options O, const workflow::Catalog &C,
                const ledger::Roster &Roster) {
  State S;
  S.Options_ = std::move(O);
  S.Catalog_ = C;
  S.Unaccounted_ = {Roster.Workers_.begin(), Roster.Workers_.end()};
  S.InheritanceOpen_ = !S.Unaccounted_.empty();
  S.RosterDirty_ = true;
  return S;
}

void tick(State &S, TimePoint Now, std::int64_t NowUnixMs, Outbox &Out) {
  S.LastTick_ = Now;
  if (S.Fenced_)
    return;
  std::set<JobId> Scheduled = S.Scheduled_;
  for (const JobId &Id : Scheduled)
    detail::openDueOccurrences(S, S.Jobs_.at(Id), Now, NowUnixMs);
  detail::checkLeases(S, Now, Out);
  detail::checkInheritance(S, Now, Out);
  detail::resendOrders(S, Now, Out);
  detail::placeTasks(S, Now, Out);
  detail::planHolds(S, Now, Out);
  detail::planWrites(S, Now, Out);
}

TimePoint nextDue(const State &S, TimePoint Now) {
  /// Retries and permits need no finer grain than this.
  constexpr Milliseconds BusyInterval{20};
  constexpr Milliseconds IdleInterval{100};
  if (S.PlaceWanted_)
    return std::max(Now, S.PlaceNotBefore_);
  bool Busy = !S.Waiting_.empty() || !S.Unsettled_.empty() ||
              (!S.Writing_ && (!S.Dirty_.empty() || S.AcksDirty_));
  return Now + (Busy ? BusyInterval : IdleInterval);
}

} // namespace pollenvale::scheduler
