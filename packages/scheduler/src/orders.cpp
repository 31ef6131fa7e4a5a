#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

namespace pollenvale::scheduler {

using detail::findTask;

namespace {

/// An unanswered start is sent this often; then the run is stopped.
constexpr unsigned MaxStartSends = 6;
constexpr Milliseconds StopRetryInterval{200};
/// Retry interval of starts while the owner is late.
constexpr Milliseconds LateRetryInterval{200};
/// How long a worker gets no new tasks after it refused a start because it has
/// no room or is unhealthy.
constexpr Milliseconds RefusalAvoidTime{1'000};
/// Pause before a task whose start was refused may start again.
constexpr Milliseconds TaskRetryPause{50};

/// The current run of the task if it matches worker and number; null otherwise.
Run *findRun(State &State, const TaskId &Id, const WorkerId &W,
             std::uint32_t Number) {
  Task *T = findTask(State, Id);
  if (!T || !T->Run_ || T->Run_->Worker_ != W || T->Run_->Number_ != Number)
    return nullptr;
  return &*T->Run_;
}

/// Records the answer to \p C. Returns the run of the call, or null if it is no
/// longer the current run of its task.
template <class Call>
Run *recordAnswer(State &State, const Call &C, const OrderReply &Reply) {
  if (Reply.Status_ == CallStatus::Fenced &&
      detail::isFencedByOther(State, C.Target_))
    State.Fenced_ = true;
  Run *R = findRun(State, C.Task_, C.Target_.Worker_, C.Run_);
  if (R)
    R->InFlight_ = false;
  return R;
}

/// Detaches a run that its worker has certainly not started.
void cancelStart(State &State, const TaskId &Id, TimePoint Now) {
  if (Task *T = findTask(State, Id))
    T->EarliestStartAt_ = Now + TaskRetryPause;
  detail::detachRun(State, Id);
  detail::stopIncompleteGang(State, Id.Step_);
}

/// The worker refused the only start of a run: it has seen a run of the task
/// with this number or a higher one, of which this owner does not know.
/// Counting up one by one might take an owner's whole range of numbers.
void skipUsedNumbers(State &State, const TaskId &Id) {
  if (Task *T = findTask(State, Id))
    T->LastRun_ += detail::RunsPerOwner;
  count(State.Counters_, "run-number-skipped");
}

/// The worker refused the permit. The step may hold none for it any more, or
/// the policy's word on a later incarnation.
void expirePermit(State &State, const StartCall &Call) {
  Step *Step = detail::findStep(State, Call.Task_.Step_);
  if (!Step)
    return;
  auto Permit = Step->Permits_.find(Call.Target_.Worker_);
  if (Permit != Step->Permits_.end())
    Permit->second.ExpiresAt_ = {};
}

void handleStartAccepted(State &State, const StartCall &Call, Run &R,
                         TimePoint Now) {
  R.Phase_ = RunPhase::Running;
  R.SettledAt_ = Now;
  R.LastProgressAt_ = Now;
  if (!R.StopRequested_)
    State.PendingOrders_.erase(Call.Task_);
  Worker &W = State.Workers_.at(R.Worker_);
  if (!W.RenewInFlight_ && W.Known_.SeenEnd_ == W.Known_.StoredEnd_)
    detail::scheduleRenewal(State, W, Now);
  count(State.Counters_, "start-accepted");
}

void handleStartUnanswered(State &State, const StartCall &Call, Run &R,
                           TimePoint Now) {
  State.PendingOrders_.insert(Call.Task_);
  R.UnansweredToken_ = std::max(R.UnansweredToken_, Call.Target_.Token_);
  detail::recordLostAnswer(State, Now);
  detail::prolongMisreadLease(State, State.Workers_.at(R.Worker_), Now);
  if (R.Sends_ < MaxStartSends && !R.StopRequested_) {
    // A late owner may not have read the answer yet, so it does not retry at
    // once.
    R.RetryAt_ =
        detail::isOwnerLate(State, Now) ? Now + LateRetryInterval : Now;
    return;
  }
  R.Phase_ = RunPhase::Unresolved;
  R.StopRequested_ = true;
  R.RetryAt_ = Now;
}

} // namespace

std::string_view toString(CallStatus Status) {
  static constexpr std::string_view Names[] = {
      "done",      "fenced",    "superseded", "late",      "no-room",
      "no-permit", "elsewhere", "unhealthy",  "malformed", "no-answer"};
  return Names[std::size_t(Status)];
}

std::string_view toString(EndKind Kind) {
  static constexpr std::string_view Names[] = {
      "done", "failed", "stopped", "lapsed", "gang-broken", "gang-incomplete"};
  return Names[std::size_t(Kind)];
}

void onStartReply(State &State, const StartCall &Call, const OrderReply &Reply,
                  TimePoint Now, Outbox &Out) {
  auto Answering = State.Workers_.find(Call.Target_.Worker_);
  if (Answering != State.Workers_.end())
    detail::recordStartAnswer(State, Answering->second, Call, Reply, Now);
  Run *R = recordAnswer(State, Call, Reply);
  if (!R)
    return;
  if (Reply.Status_ != CallStatus::Done) {
    count(State.Counters_, "start-" + std::string(toString(Reply.Status_)));
    Out.Notes_.push_back({"start-refused",
                          {{"task", workflow::toString(Call.Task_)},
                           {"run", Call.Run_},
                           {"worker", Call.Target_.Worker_},
                           {"reason", toString(Reply.Status_)}}});
  }
  // An earlier, unanswered sending may still take effect: only the refusal of
  // the sole sending proves that the run has not started.
  bool OnlySending = R->Sends_ <= 1;
  Worker &W = State.Workers_.at(R->Worker_);
  switch (Reply.Status_) {
  case CallStatus::Done:
    handleStartAccepted(State, Call, *R, Now);
    return;
  case CallStatus::NoAnswer:
    handleStartUnanswered(State, Call, *R, Now);
    return;
  case CallStatus::Superseded:
    // The run has ended; the worker's next list reports how.
    if (OnlySending)
      skipUsedNumbers(State, Call.Task_);
    R->Phase_ = RunPhase::Unresolved;
    R->SettledAt_ = Now;
    State.PendingOrders_.erase(Call.Task_);
    if (!W.RenewInFlight_)
      detail::scheduleRenewal(State, W, Now);
    return;
  case CallStatus::NoPermit:
    expirePermit(State, Call);
    break;
  case CallStatus::NoRoom:
  case CallStatus::Unhealthy:
    W.AvoidUntil_ = std::max(W.AvoidUntil_, Now + RefusalAvoidTime);
    break;
  case CallStatus::Elsewhere:
    detail::scheduleRenewal(State, W, Now);
    break;
  default:
    break;
  }
  if (OnlySending) {
    cancelStart(State, Call.Task_, Now);
    return;
  }
  R->Phase_ = RunPhase::Unresolved;
  R->StopRequested_ = true;
  R->RetryAt_ = Now;
  State.PendingOrders_.insert(Call.Task_);
}

void onStopReply(State &State, const StopCall &Call, const OrderReply &Reply,
                 TimePoint Now) {
  Run *R = recordAnswer(State, Call, Reply);
  if (!R)
    return;
  if (Reply.Status_ == CallStatus::Done) {
    // The worker now rejects the run and lists it until it has ended.
    R->SettledAt_ = Now;
    State.PendingOrders_.erase(Call.Task_);
    Worker &W = State.Workers_.at(R->Worker_);
    if (!W.RenewInFlight_)
      detail::scheduleRenewal(State, W, Now);
    return;
  }
  count(State.Counters_, "stop-" + std::string(toString(Reply.Status_)));
  R->RetryAt_ = Now + StopRetryInterval;
}

namespace detail {

StartCall makeStart(State &State, const TaskId &Id, TimePoint Now) {
  Task &T = *findTask(State, Id);
  Run &R = *T.Run_;
  Worker &W = State.Workers_.at(R.Worker_);
  const Job &J = State.Jobs_.at(Id.Step_.Job_);
  bool Gang = J.Spec_.Steps_[Id.Step_.Step_].Gang_;
  StartCall Call;
  Call.Target_ = makeTarget(State, W);
  Call.Task_ = Id;
  Call.Run_ = R.Number_;
  Call.Payload_ = J.Spec_.Payload_;
  Call.Checkpoint_ =
      Gang ? findStep(State, Id.Step_)->GangCheckpoint_ : T.Checkpoint_;
  Call.Permit_ = R.Permit_;
  Call.Deadline_ = workerClock(W, Now) + State.Options_.StartDeadline_;
  ++R.Sends_;
  R.InFlight_ = true;
  R.SettledAt_.reset();
  extendLease(State, W, State.Options_.StartDeadline_, Now);
  recordStartSent(W, Call, Now);
  return Call;
}

void sendPendingOrders(State &State, TimePoint Now, Outbox &Out) {
  std::set<TaskId> Pending = State.PendingOrders_;
  for (const TaskId &Id : Pending) {
    Task *T = findTask(State, Id);
    if (!T || !T->Run_) {
      State.PendingOrders_.erase(Id);
      continue;
    }
    Run &R = *T->Run_;
    if (R.InFlight_ || Now < R.RetryAt_)
      continue;
    // The whole gang is done when one of its members is.
    R.StopRequested_ = R.StopRequested_ || T->Done_;
    const Worker &W = State.Workers_.at(R.Worker_);
    if (!R.StopRequested_) {
      // The deadline would be a time on the clock of an ended incarnation.
      if (!isClockCurrent(W) || !refusesFormerCalls(W))
        continue;
      count(State.Counters_, "start-resent");
      Out.Starts_.push_back(makeStart(State, Id, Now));
      continue;
    }
    R.InFlight_ = true;
    Out.Stops_.push_back({makeTarget(State, W), Id, R.Number_});
  }
}

} // namespace detail

} // namespace pollenvale::scheduler
