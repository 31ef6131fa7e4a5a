#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

namespace pollenvale::scheduler {

using detail::findTask;

namespace {

/// A start without an answer is sent this often before it is stopped instead.
constexpr unsigned MaxStartSends = 6;
constexpr Milliseconds StopRetryInterval{200};
constexpr Milliseconds LateRetryInterval{200};
/// A worker that refuses a start is left alone for this long.
constexpr Milliseconds RefusalPause{1'000};
constexpr Milliseconds TaskRetryPause{50};

/// The task's run if it is the one that a call was about.
Run *findRun(State &S, const TaskId &Id, const WorkerId &W,
             std::uint32_t Number) {
  Task *T = findTask(S, Id);
  if (!T || !T->Run_ || T->Run_->Worker_ != W || T->Run_->Number_ != Number)
    return nullptr;
  return &*T->Run_;
}

/// Notes that \p Call is answered. Returns its run, if that is still the
/// task's.
template <class Call>
Run *takeAnswer(State &S, const Call &C, const OrderReply &Reply) {
  if (Reply.Status_ == CallStatus::Fenced)
    S.Fenced_ = true;
  Run *R = findRun(S, C.Task_, C.To_.Worker_, C.Run_);
  if (R)
    R->InFlight_ = false;
  return R;
}

/// The worker has certainly not started the run.
void cancelStart(State &S, const TaskId &Id, TimePoint Now) {
  if (Task *T = findTask(S, Id))
    T->NotBefore_ = Now + TaskRetryPause;
  detail::detachRun(S, Id);
  detail::reconcileGang(S, Id.Step_);
}

void startAccepted(State &S, const StartCall &Call, Run &R, TimePoint Now) {
  R.Phase_ = RunPhase::Running;
  R.SettledAt_ = Now;
  R.AdvancedAt_ = Now;
  if (!R.StopWanted_)
    S.Unsettled_.erase(Call.Task_);
  Worker &W = S.Workers_.at(R.Worker_);
  if (!W.RenewInFlight_ && W.SeenEnd_ == W.StoredEnd_)
    W.RenewDueAt_ = Now;
  count(S.Counters_, "start-accepted");
}

void startUnanswered(State &S, const StartCall &Call, Run &R, TimePoint Now) {
  S.Unsettled_.insert(Call.Task_);
  detail::noteLoss(S, Now);
  if (R.Sends_ < MaxStartSends && !R.StopWanted_) {
    // The answer may wait to be read: an owner that is late sends no more than
    // it must.
    R.RetryAt_ = detail::isLate(S, Now) ? Now + LateRetryInterval : Now;
    return;
  }
  R.Phase_ = RunPhase::Unresolved;
  R.StopWanted_ = true;
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

void onStart(State &S, const StartCall &Call, const OrderReply &Reply,
             TimePoint Now, Outbox &Out) {
  Run *R = takeAnswer(S, Call, Reply);
  if (!R)
    return;
  if (Reply.Status_ != CallStatus::Done) {
    count(S.Counters_, "start-" + std::string(toString(Reply.Status_)));
    Out.Notes_.push_back({"start-refused",
                          {{"task", workflow::toString(Call.Task_)},
                           {"run", Call.Run_},
                           {"worker", Call.To_.Worker_},
                           {"reason", toString(Reply.Status_)}}});
  }
  // An earlier sending without an answer may still be carried out: only the
  // first sending's refusal says that nothing runs.
  bool Only = R->Sends_ <= 1;
  Worker &W = S.Workers_.at(R->Worker_);
  switch (Reply.Status_) {
  case CallStatus::Done:
    startAccepted(S, Call, *R, Now);
    return;
  case CallStatus::NoAnswer:
    startUnanswered(S, Call, *R, Now);
    return;
  case CallStatus::Superseded:
    // It has ended there; the worker's next list tells how.
    R->Phase_ = RunPhase::Unresolved;
    R->SettledAt_ = Now;
    S.Unsettled_.erase(Call.Task_);
    if (!W.RenewInFlight_)
      W.RenewDueAt_ = Now;
    return;
  case CallStatus::NoPermit:
    if (Step *P = detail::findStep(S, Call.Task_.Step_))
      P->Permits_[Call.To_.Worker_].Until_ = {};
    break;
  case CallStatus::NoRoom:
  case CallStatus::Unhealthy:
    W.AvoidUntil_ = std::max(W.AvoidUntil_, Now + RefusalPause);
    break;
  case CallStatus::Elsewhere:
    W.RenewDueAt_ = Now;
    break;
  default:
    break;
  }
  if (Only) {
    cancelStart(S, Call.Task_, Now);
    return;
  }
  R->Phase_ = RunPhase::Unresolved;
  R->StopWanted_ = true;
  R->RetryAt_ = Now;
  S.Unsettled_.insert(Call.Task_);
}

void onStop(State &S, const StopCall &Call, const OrderReply &Reply,
            TimePoint Now) {
  Run *R = takeAnswer(S, Call, Reply);
  if (!R)
    return;
  if (Reply.Status_ == CallStatus::Done) {
    // From here on the worker rejects the run, and lists it while it ends.
    R->SettledAt_ = Now;
    S.Unsettled_.erase(Call.Task_);
    Worker &W = S.Workers_.at(R->Worker_);
    if (!W.RenewInFlight_)
      W.RenewDueAt_ = Now;
    return;
  }
  count(S.Counters_, "stop-" + std::string(toString(Reply.Status_)));
  R->RetryAt_ = Now + StopRetryInterval;
}

namespace detail {

StartCall makeStart(State &S, const TaskId &Id, TimePoint Now) {
  Task &T = *findTask(S, Id);
  Run &R = *T.Run_;
  Worker &W = S.Workers_.at(R.Worker_);
  const Job &J = S.Jobs_.at(Id.Step_.Job_);
  bool Gang = J.Spec_.Steps_[Id.Step_.Step_].Gang_;
  StartCall Call;
  Call.To_ = targetOf(S, W);
  Call.Task_ = Id;
  Call.Run_ = R.Number_;
  Call.Payload_ = J.Spec_.Payload_;
  Call.Checkpoint_ =
      Gang ? findStep(S, Id.Step_)->GangCheckpoint_ : T.Checkpoint_;
  Call.Permit_ = R.Permit_;
  Call.Deadline_ = clockOf(W, Now) + S.Options_.StartDeadline_;
  ++R.Sends_;
  R.InFlight_ = true;
  R.SettledAt_.reset();
  extendLease(S, W, S.Options_.StartDeadline_, Now);
  return Call;
}

void resendOrders(State &S, TimePoint Now, Outbox &Out) {
  std::set<TaskId> Unsettled = S.Unsettled_;
  for (const TaskId &Id : Unsettled) {
    Task *T = findTask(S, Id);
    if (!T || !T->Run_) {
      S.Unsettled_.erase(Id);
      continue;
    }
    Run &R = *T->Run_;
    if (R.InFlight_ || Now < R.RetryAt_)
      continue;
    // The end of one member of a gang stands for all.
    R.StopWanted_ = R.StopWanted_ || T->Done_;
    if (!R.StopWanted_) {
      count(S.Counters_, "start-resent");
      Out.Starts_.push_back(makeStart(S, Id, Now));
      continue;
    }
    R.InFlight_ = true;
    Out.Stops_.push_back(
        {targetOf(S, S.Workers_.at(R.Worker_)), Id, R.Number_});
  }
}

} // namespace detail

} // namespace pollenvale::scheduler
