#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

State makeState(Options O, const workflow::Catalog &C,
                const ledger::ReplicatedRoster &Inherited) {
  const ledger::Roster &Roster = Inherited.Roster_;
  State State;
  State.Options_ = std::move(O);
  State.Catalog_ = C;
  State.UnconfirmedWorkers_ = {Roster.Workers_.begin(), Roster.Workers_.end()};
  State.InheritancePending_ = !State.UnconfirmedWorkers_.empty();
  for (std::size_t I = 0; I < Roster.Workers_.size(); ++I) {
    bool Named = I < Roster.Incarnations_.size();
    State.Inherited_[Roster.Workers_[I]] = {Named ? Roster.Incarnations_[I]
                                                  : std::int64_t(0)};
  }
  for (std::size_t I = 0; I < Roster.MisreadLeases_.size(); ++I) {
    auto It = State.Inherited_.find(Roster.MisreadLeases_[I]);
    if (It == State.Inherited_.end())
      continue;
    bool Timed = I < Roster.MisreadLeftMs_.size();
    It->second.MisreadUntil_ =
        Timed ? Inherited.ReadAt_ +
                    longestOnClock(Milliseconds(Roster.MisreadLeftMs_[I]))
              : TimePoint::max();
  }
  State.RosterDirty_ = true;
  State.NewestToken_ = State.Options_.Token_;
  return State;
}

namespace {

/// Ticks may follow each other faster than leases, which last seconds, need to
/// be checked.
constexpr Milliseconds LeaseCheckInterval{25};

/// Log fields of one step. Times are in ms since the job was accepted; -1 if
/// the event has not occurred.
nlohmann::json stepTimes(const Job &J, const Step &Step) {
  auto Since = [&](TimePoint T) {
    return T == TimePoint{} ? -1 : elapsed(J.AcceptedAt_, T).count();
  };
  std::size_t Failed = 0;
  for (const Task &T : Step.Tasks_)
    Failed += T.FailedRuns_.size();
  return {{"tasks", Step.Tasks_.size()},
          {"ready", Since(Step.ReadyAt_)},
          {"advice_calls", Step.AdviceCalls_},
          {"advice_asked", Since(Step.AdviceAskedAt_)},
          {"advice_answered", Since(Step.AdviceAnsweredAt_)},
          {"first_start", Since(Step.FirstStartAt_)},
          {"last_start", Since(Step.LastStartAt_)},
          {"done", Since(Step.DoneAt_)},
          {"failed_runs", Failed}};
}

/// Logs one event with the times of all steps for each newly closed job.
void reportClosedJobs(State &State, Outbox &Out) {
  for (const JobId &Id : State.NewlyClosedJobs_) {
    const Job &J = State.Jobs_.at(Id);
    nlohmann::json Steps = nlohmann::json::array();
    for (const auto &[Number, O] : J.Open_)
      for (const Step &Step : O.Steps_)
        Steps.push_back(stepTimes(J, Step));
    Out.Notes_.push_back(
        {"job-closed",
         {{"job", Id},
          {"queue", J.Queue_.Name_},
          {"state", workflow::toString(J.State_)},
          {"after_ms", elapsed(J.AcceptedAt_, J.ClosedAt_).count()},
          {"objective_ms", J.Objective_.count()},
          {"inherited", J.Inherited_},
          {"steps", std::move(Steps)}}});
  }
  State.NewlyClosedJobs_.clear();
}

} // namespace

void tick(State &State, TimePoint Now, std::int64_t NowUnixMs, Outbox &Out) {
  detail::recordTick(State, Now);
  if (State.Fenced_)
    return;
  std::set<JobId> Scheduled = State.ScheduledJobs_;
  for (const JobId &Id : Scheduled)
    detail::openDueOccurrences(State, State.Jobs_.at(Id), Now, NowUnixMs);
  if (Now >= State.NextLeaseCheckAt_) {
    State.NextLeaseCheckAt_ = Now + LeaseCheckInterval;
    detail::checkLeases(State, Now, Out);
  }
  detail::checkInheritance(State, Now, Out);
  detail::raiseTokens(State, Now);
  detail::sendPendingOrders(State, Now, Out);
  detail::placeTasks(State, Now, Out);
  detail::planRenewals(State, Now, Out);
  detail::planWrites(State, Now, Out);
  detail::reportLongWaits(State, Now, Out);
  reportClosedJobs(State, Out);
  detail::dropStoppedOccurrences(State);
}

bool hasOpenJobs(const State &State) {
  return std::any_of(
      State.Jobs_.begin(), State.Jobs_.end(),
      [](const auto &Row) { return !workflow::isClosed(Row.second.State_); });
}

bool isEmpty(const State &State) {
  return State.Jobs_.empty() && !State.PendingWrite_ &&
         !State.InheritancePending_ && !detail::hasUnwrittenChanges(State);
}

TimePoint nextDue(const State &State, TimePoint Now) {
  /// Retries and expiring permits need no finer resolution.
  constexpr Milliseconds BusyInterval{20};
  constexpr Milliseconds IdleInterval{100};
  if (State.PlacementNeeded_)
    return std::max(Now, State.NextPlacementAt_);
  bool Busy = !State.WaitingSteps_.empty() || !State.PendingOrders_.empty() ||
              (!State.PendingWrite_ && detail::hasUnwrittenChanges(State));
  return Now + (Busy ? BusyInterval : IdleInterval);
}

} // namespace pollenvale::scheduler
