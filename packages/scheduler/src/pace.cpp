#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

namespace detail {

namespace {

/// Tail latency as a share of its target above which fillers slow down, and
/// below which they speed up again.
constexpr double SlowDownAbove = 0.85;
constexpr double SpeedUpBelow = 0.6;
constexpr unsigned FullPace = 100;
constexpr unsigned SpeedUpStep = 15;
/// A pace below this is no use; fillers rest instead.
constexpr unsigned LeastPace = 10;

/// Largest tail latency on the worker, as a share of its target.
double worstTail(const State &S, const HoldReply &Reply) {
  double Worst = 0;
  for (const RunningTask &R : Reply.Running_) {
    const workflow::StepSpec *Spec = findSpec(S, R.Task_.Step_);
    if (Spec && Spec->TailTargetMs_ > 0)
      Worst = std::max(Worst, R.Gauge_ / Spec->TailTargetMs_);
  }
  return Worst;
}

unsigned nextPace(unsigned Pace, double Tail) {
  if (Tail > 1)
    return Pace / 4 < LeastPace ? 0 : Pace / 4;
  if (Tail > SlowDownAbove)
    return Pace / 2 < LeastPace ? 0 : Pace / 2;
  if (Tail < SpeedUpBelow)
    return std::min(FullPace, Pace + SpeedUpStep);
  return Pace;
}

} // namespace

void adjustPace(State &S, Worker &W, const HoldReply &Reply, Outbox &Out) {
  double Tail = worstTail(S, Reply);
  unsigned Pace = Tail == 0 ? FullPace : nextPace(W.Pace_, Tail);
  W.Pace_ = Pace;
  for (const TaskId &Id : W.Tasks_) {
    const workflow::StepSpec *Spec = findSpec(S, Id.Step_);
    Task *T = findTask(S, Id);
    if (!Spec || !Spec->Filler_ || !T || !T->Run_)
      continue;
    Run &R = *T->Run_;
    if (R.Phase_ != RunPhase::Running || R.StopWanted_ ||
        R.AppliedPace_ == Pace)
      continue;
    R.AppliedPace_ = Pace;
    count(S.Counters_, "pace-sent");
    Out.Paces_.push_back({targetOf(S, W), Id, R.Number_, Pace});
  }
}

} // namespace detail

void onPace(State &S, const PaceCall &Call, const OrderReply &Reply) {
  if (Reply.Status_ == CallStatus::Done)
    return;
  count(S.Counters_, "pace-" + std::string(toString(Reply.Status_)));
  // Unknown pace: the next list sends it again.
  constexpr unsigned UnknownPace = 101;
  Task *T = detail::findTask(S, Call.Task_);
  if (T && T->Run_ && T->Run_->Number_ == Call.Run_)
    T->Run_->AppliedPace_ = UnknownPace;
}

} // namespace pollenvale::scheduler
