#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// A step that waits longer than this is explained.
constexpr Milliseconds LongWait{4'000};
constexpr Milliseconds ExplainInterval{4'000};
constexpr std::size_t MaxLinesPerPass = 4;

/// Why the workers of the service don't take a task of the step.
struct WorkerTally {
  unsigned Usable_ = 0;  ///< They take tasks and could ever take one of these.
  unsigned Denied_ = 0;  ///< Of these, the policy forbids it.
  unsigned Allowed_ = 0; ///< Of these, the policy has allowed it.
  unsigned Free_ = 0;    ///< Not denied, with room for one now.
};

WorkerTally tally(const State &S, const Job &J, const Step &P,
                  const workflow::StepSpec &Spec, TimePoint Now) {
  WorkerTally Out;
  Resources Size = workflow::chargedSize(Spec);
  for (const auto &[Name, W] : S.Workers_) {
    if (!couldTake(W, J, Spec, Now))
      continue;
    bool Denied = P.Denied_.count(Name) > 0;
    ++Out.Usable_;
    Out.Denied_ += Denied;
    Out.Allowed_ += P.Permits_.count(Name) > 0;
    Out.Free_ += !Denied && fits(Size, freeRoom(W));
  }
  return Out;
}

/// Steps that wait for long, the longest wait first.
std::vector<StepId> longWaits(State &S, TimePoint Now) {
  std::vector<std::pair<TimePoint, StepId>> Order;
  for (const StepId &Id : S.Waiting_) {
    TimePoint Since = findStep(S, Id)->WaitsSince_;
    if (Now - Since >= LongWait)
      Order.emplace_back(Since, Id);
  }
  std::sort(Order.begin(), Order.end());
  std::vector<StepId> Out;
  for (const auto &[Since, Id] : Order)
    Out.push_back(Id);
  return Out;
}

Note explain(State &S, const StepId &Id, TimePoint Now) {
  const Job &J = S.Jobs_.at(Id.Job_);
  const Step &P = *findStep(S, Id);
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  WorkerTally T = tally(S, J, P, Spec, Now);
  return {"step-waits",
          {{"step", workflow::toString(Id)},
           {"queue", J.Queue_.Name_},
           {"waits_ms", elapsed(P.WaitsSince_, Now).count()},
           {"ready_ms", elapsed(P.ReadyAt_, Now).count()},
           {"tasks_left", P.Tasks_.size() - P.DoneCount_ - P.RunCount_},
           {"gang", Spec.Gang_},
           {"long_running", Spec.LongRunning_},
           {"cpu", Spec.Size_.Cpu_},
           {"memory_mb", Spec.Size_.Memory_},
           {"accelerators", Spec.Size_.Accelerators_},
           {"label", Spec.RequiredLabel_},
           {"max_per_worker", Spec.MaxPerWorker_},
           {"workers_usable", T.Usable_},
           {"workers_denied", T.Denied_},
           {"workers_allowed", T.Allowed_},
           {"workers_free", T.Free_},
           {"inherited_unclear", J.Inherited_ && S.InheritanceOpen_},
           {"advice_in_flight", P.AdviceInFlight_},
           {"advice_calls", P.AdviceCalls_},
           {"advice_unanswered", P.AdviceUnanswered_}}};
}

} // namespace

void explainWaiting(State &S, TimePoint Now, Outbox &Out) {
  if (Now < S.ExplainDueAt_)
    return;
  S.ExplainDueAt_ = Now + ExplainInterval;
  std::vector<StepId> Long = longWaits(S, Now);
  std::size_t Lines = std::min(Long.size(), MaxLinesPerPass);
  for (std::size_t I = 0; I < Lines; ++I)
    Out.Notes_.push_back(explain(S, Long[I], Now));
  if (Long.size() > Lines)
    Out.Notes_.push_back({"steps-wait", {{"omitted", Long.size() - Lines}}});
}

} // namespace pollenvale::scheduler::detail
