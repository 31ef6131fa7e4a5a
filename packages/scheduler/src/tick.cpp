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

namespace {

/// Leases last for seconds; a tick may follow every answer.
constexpr Milliseconds LeaseCheckInterval{10};

/// Times of one step as of its job's acceptance, in ms.
nlohmann::json timesOf(const Job &J, const Step &P) {
  auto Since = [&](TimePoint T) {
    return T == TimePoint{} ? -1 : elapsed(J.AcceptedAt_, T).count();
  };
  std::size_t Failed = 0;
  for (const Task &T : P.Tasks_)
    Failed += T.FailedRuns_.size();
  return {{"tasks", P.Tasks_.size()},
          {"ready", Since(P.ReadyAt_)},
          {"advice_calls", P.AdviceCalls_},
          {"advice_asked", Since(P.AdviceAskedAt_)},
          {"advice_answered", Since(P.AdviceAnsweredAt_)},
          {"first_start", Since(P.FirstStartAt_)},
          {"last_start", Since(P.LastStartAt_)},
          {"done", Since(P.DoneAt_)},
          {"failed_runs", Failed}};
}

/// One line for each job that has ended: where its time went.
void noteClosed(State &S, Outbox &Out) {
  for (const JobId &Id : S.Closed_) {
    const Job &J = S.Jobs_.at(Id);
    nlohmann::json Steps = nlohmann::json::array();
    for (const auto &[Number, O] : J.Open_)
      for (const Step &P : O.Steps_)
        Steps.push_back(timesOf(J, P));
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
  S.Closed_.clear();
}

} // namespace

void tick(State &S, TimePoint Now, std::int64_t NowUnixMs, Outbox &Out) {
  detail::noteTurn(S, Now);
  if (S.Fenced_)
    return;
  std::set<JobId> Scheduled = S.Scheduled_;
  for (const JobId &Id : Scheduled)
    detail::openDueOccurrences(S, S.Jobs_.at(Id), Now, NowUnixMs);
  if (Now >= S.LeaseCheckDueAt_) {
    S.LeaseCheckDueAt_ = Now + LeaseCheckInterval;
    detail::checkLeases(S, Now, Out);
  }
  detail::checkInheritance(S, Now, Out);
  detail::resendOrders(S, Now, Out);
  detail::placeTasks(S, Now, Out);
  detail::planRenewals(S, Now, Out);
  detail::planWrites(S, Now, Out);
  detail::explainWaiting(S, Now, Out);
  noteClosed(S, Out);
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
