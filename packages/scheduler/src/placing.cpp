#include "scheduler/detail/placing.hpp"

#include <algorithm>
#include <limits>

namespace pollenvale::scheduler {

Urgency urgencyOf(bool LongRunning, TimePoint DueAt, TimePoint WorthlessAt,
                  TimePoint Now) {
  if (LongRunning)
    return Now > DueAt ? Urgency::ServiceDown : Urgency::InTime;
  if (Now > WorthlessAt)
    return Urgency::Worthless;
  return Now > DueAt ? Urgency::Late : Urgency::InTime;
}

} // namespace pollenvale::scheduler

namespace pollenvale::scheduler::detail {

namespace {

/// A result has no value after this many times the objective.
constexpr int WorthlessAfterObjectives = 3;

/// Costs of running a task away from its data, and on the worker where it
/// failed last. They outweigh leftoverShare(), which is at most 5.25.
constexpr double RemoteCost = 10;
constexpr double FailedHereCost = 100;

/// Weighted sum of the shares of resources that a task would leave free.
double leftoverShare(const Resources &Free, const Resources &Size,
                     const Resources &Capacity) {
  auto Share = [](std::int64_t Left, std::int64_t Whole) {
    return Whole > 0 ? double(Left) / double(Whole) : 0.0;
  };
  Resources Left = Free - Size;
  // Accelerators are the scarcest resource, so they are filled up first.
  constexpr double AcceleratorWeight = 4;
  return AcceleratorWeight * Share(Left.Accelerators_, Capacity.Accelerators_) +
         Share(Left.Cpu_, Capacity.Cpu_) +
         Share(Left.Memory_, Capacity.Memory_) / 4;
}

double placementCost(const workflow::StepSpec &Spec, const Candidate &C,
                     const WorkerId &FailedOn) {
  const WorkerInfo &Info = C.Worker_->Info_;
  double Cost =
      leftoverShare(C.Free_, workflow::chargedSize(Spec), Info.Capacity_);
  if (!Spec.DataRack_.empty() && !Info.Labels_.count(Spec.DataRack_))
    Cost += RemoteCost;
  if (Info.Id_ == FailedOn)
    Cost += FailedHereCost;
  return Cost;
}

} // namespace

TimePoint dueAt(const Job &J, const Occurrence &O) {
  return O.CameDueAt_ + J.Objective_;
}

TimePoint dueAt(const Job &J, const Occurrence &O,
                const workflow::StepSpec &Spec, const Step &Step) {
  return Spec.LongRunning_ ? Step.WaitingSince_ + J.Objective_ : dueAt(J, O);
}

TimePoint worthlessAt(const Job &J, const Occurrence &O) {
  return O.CameDueAt_ + J.Objective_ * WorthlessAfterObjectives;
}

WaitOrderKey makeWaitKey(const Job &J, const Occurrence &O,
                         const workflow::StepSpec &Spec, const Step &Step,
                         TimePoint Now) {
  WaitOrderKey Key;
  Key.DueAt_ = dueAt(J, O, Spec, Step);
  Key.Urgency_ =
      urgencyOf(Spec.LongRunning_, Key.DueAt_, worthlessAt(J, O), Now);
  Key.Priority_ = J.Queue_.Priority_;
  Key.AcceptedAt_ = J.AcceptedAt_;
  return Key;
}

std::uint32_t tasksThatFit(const workflow::StepSpec &Spec, const Candidate &C) {
  Resources Size = workflow::chargedSize(Spec);
  std::int64_t Count = std::numeric_limits<std::uint32_t>::max();
  auto Limit = [&](std::int64_t Need, std::int64_t Free) {
    if (Need > 0)
      Count = std::min(Count, std::max<std::int64_t>(Free, 0) / Need);
  };
  Limit(Size.Cpu_, C.Free_.Cpu_);
  Limit(Size.Memory_, C.Free_.Memory_);
  Limit(Size.Accelerators_, C.Free_.Accelerators_);
  if (Spec.MaxPerWorker_ > 0)
    Count =
        std::min<std::int64_t>(Count, Spec.MaxPerWorker_ > C.StepTasks_
                                          ? Spec.MaxPerWorker_ - C.StepTasks_
                                          : 0);
  return std::uint32_t(std::min<std::int64_t>(Count, Spec.Count_));
}

std::optional<std::size_t>
chooseWorker(const workflow::StepSpec &Spec,
             const std::vector<Candidate> &Candidates,
             const WorkerId &FailedOn) {
  std::optional<std::size_t> Best;
  double BestCost = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    if (!Candidates[I].Permitted_ || tasksThatFit(Spec, Candidates[I]) == 0)
      continue;
    double Cost = placementCost(Spec, Candidates[I], FailedOn);
    if (Best && Cost >= BestCost)
      continue;
    Best = I;
    BestCost = Cost;
  }
  return Best;
}

namespace {

/// Limit of workers in one advice call.
constexpr std::size_t MaxWorkersPerCall = 30;

/// Number of workers that add at most a quarter of the base duration to a call.
std::size_t cheapWorkerCount(const workflow::AdvicePolicy &Policy) {
  constexpr double ExtraShare = 0.25;
  if (Policy.PerWorkerMs_ <= 0)
    return MaxWorkersPerCall;
  double Count = Policy.DecisionMs_ * ExtraShare / Policy.PerWorkerMs_;
  return std::min(MaxWorkersPerCall, std::size_t(std::max(Count, 0.0)));
}

} // namespace

std::vector<WorkerId> chooseWorkersForAdvice(
    const workflow::StepSpec &Spec, const workflow::AdvicePolicy &Policy,
    const std::vector<Candidate> &Candidates,
    const std::vector<WorkerId> &Unknown, std::uint32_t Tasks) {
  /// The call covers more room than needed, as the policy denies some workers.
  constexpr std::uint32_t RoomPerTask = 3;
  struct Choice {
    const Candidate *Candidate_;
    double Cost_;
  };
  std::vector<Choice> Choices;
  for (const Candidate &C : Candidates)
    if (!C.Permitted_ && tasksThatFit(Spec, C) > 0)
      Choices.push_back({&C, placementCost(Spec, C, {})});
  std::stable_sort(Choices.begin(), Choices.end(),
                   [](const Choice &A, const Choice &B) {
                     if (A.Candidate_->Allowed_ != B.Candidate_->Allowed_)
                       return A.Candidate_->Allowed_;
                     return A.Cost_ < B.Cost_;
                   });
  std::size_t Cheap = cheapWorkerCount(Policy);
  std::vector<WorkerId> Out;
  std::uint64_t AllowedRoom = 0, UnknownRoom = 0;
  for (const auto &[C, Cost] : Choices) {
    bool Enough = AllowedRoom >= Tasks ||
                  UnknownRoom >= std::uint64_t(Tasks) * RoomPerTask;
    if (Out.size() >= MaxWorkersPerCall || (Enough && Out.size() >= Cheap) ||
        (Enough && C->Allowed_))
      break;
    Out.push_back(C->Worker_->Info_.Id_);
    (C->Allowed_ ? AllowedRoom : UnknownRoom) += tasksThatFit(Spec, *C);
  }
  for (const WorkerId &W : Unknown)
    if (!Out.empty() && Out.size() < Cheap && AllowedRoom < Tasks)
      Out.push_back(W);
  return Out;
}

} // namespace pollenvale::scheduler::detail
