#include "scheduler/detail/placing.hpp"

#include <algorithm>
#include <limits>

namespace pollenvale::scheduler {

Standing standing(bool LongRunning, TimePoint DueAt, TimePoint WorthlessAt,
                  TimePoint Now) {
  if (LongRunning)
    return Now > DueAt ? Standing::ServiceDown : Standing::InTime;
  if (Now > WorthlessAt)
    return Standing::Worthless;
  return Now > DueAt ? Standing::Late : Standing::InTime;
}

} // namespace pollenvale::scheduler

namespace pollenvale::scheduler::detail {

namespace {

/// A result later than this many objectives is worth nothing.
constexpr int WorthlessAfter = 3;

/// Cost of a task away from its data or where it failed, against room left.
constexpr double RemoteCost = 10;
constexpr double FailedHereCost = 100;

double leftover(const Resources &Free, const Resources &Size,
                const Resources &Capacity) {
  auto Share = [](std::int64_t Left, std::int64_t Whole) {
    return Whole > 0 ? double(Left) / double(Whole) : 0.0;
  };
  Resources Left = Free - Size;
  // Accelerators are the scarcest: they are filled up first.
  constexpr double AcceleratorWeight = 4;
  return AcceleratorWeight * Share(Left.Accelerators_, Capacity.Accelerators_) +
         Share(Left.Cpu_, Capacity.Cpu_) +
         Share(Left.Memory_, Capacity.Memory_) / 4;
}

double costOf(const workflow::StepSpec &Spec, const Candidate &C,
              const WorkerId &FailedOn) {
  const WorkerInfo &Info = C.Worker_->Info_;
  double Cost = leftover(C.Free_, workflow::chargedSize(Spec), Info.Capacity_);
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
                const workflow::StepSpec &Spec, const Step &P) {
  return Spec.LongRunning_ ? P.WaitsSince_ + J.Objective_ : dueAt(J, O);
}

TimePoint worthlessAt(const Job &J, const Occurrence &O) {
  return O.CameDueAt_ + J.Objective_ * WorthlessAfter;
}

WaitKey waitKey(const Job &J, const Occurrence &O,
                const workflow::StepSpec &Spec, const Step &P, TimePoint Now) {
  WaitKey Key;
  Key.DueAt_ = dueAt(J, O, Spec, P);
  Key.Standing_ =
      standing(Spec.LongRunning_, Key.DueAt_, worthlessAt(J, O), Now);
  Key.Priority_ = J.Queue_.Priority_;
  Key.AcceptedAt_ = J.AcceptedAt_;
  return Key;
}

std::uint32_t capacityFor(const workflow::StepSpec &Spec, const Candidate &C) {
  Resources Size = workflow::chargedSize(Spec);
  std::int64_t Most = std::numeric_limits<std::uint32_t>::max();
  auto Limit = [&](std::int64_t Need, std::int64_t Free) {
    if (Need > 0)
      Most = std::min(Most, std::max<std::int64_t>(Free, 0) / Need);
  };
  Limit(Size.Cpu_, C.Free_.Cpu_);
  Limit(Size.Memory_, C.Free_.Memory_);
  Limit(Size.Accelerators_, C.Free_.Accelerators_);
  if (Spec.MaxPerWorker_ > 0)
    Most = std::min<std::int64_t>(
        Most, Spec.MaxPerWorker_ > C.OnIt_ ? Spec.MaxPerWorker_ - C.OnIt_ : 0);
  return std::uint32_t(std::min<std::int64_t>(Most, Spec.Count_));
}

std::optional<std::size_t> chooseWorker(const workflow::StepSpec &Spec,
                                        const std::vector<Candidate> &All,
                                        const WorkerId &FailedOn) {
  std::optional<std::size_t> Best;
  double BestCost = 0;
  for (std::size_t I = 0; I < All.size(); ++I) {
    if (!All[I].Permitted_ || capacityFor(Spec, All[I]) == 0)
      continue;
    double Cost = costOf(Spec, All[I], FailedOn);
    if (Best && Cost >= BestCost)
      continue;
    Best = I;
    BestCost = Cost;
  }
  return Best;
}

namespace {

constexpr std::size_t MaxNamed = 30;

/// Workers whose naming takes a quarter of the decision's time.
std::size_t cheaplyNamed(const workflow::AdvicePolicy &Policy) {
  constexpr double NamingShare = 0.25;
  if (Policy.PerWorkerMs_ <= 0)
    return MaxNamed;
  double Count = Policy.DecisionMs_ * NamingShare / Policy.PerWorkerMs_;
  return std::min(MaxNamed, std::size_t(std::max(Count, 0.0)));
}

} // namespace

std::vector<WorkerId> chooseForAdvice(const workflow::StepSpec &Spec,
                                      const workflow::AdvicePolicy &Policy,
                                      const std::vector<Candidate> &All,
                                      const std::vector<WorkerId> &Unknown,
                                      std::uint32_t Tasks) {
  /// The policy allows a part of the workers only; more than needed are named.
  constexpr std::uint32_t NamedPerNeeded = 3;
  struct Choice {
    const Candidate *Candidate_;
    double Cost_;
  };
  std::vector<Choice> Order;
  for (const Candidate &C : All)
    if (!C.Permitted_ && capacityFor(Spec, C) > 0)
      Order.push_back({&C, costOf(Spec, C, {})});
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Choice &A, const Choice &B) {
                     if (A.Candidate_->Allowed_ != B.Candidate_->Allowed_)
                       return A.Candidate_->Allowed_;
                     return A.Cost_ < B.Cost_;
                   });
  std::size_t Cheap = cheaplyNamed(Policy);
  std::vector<WorkerId> Out;
  std::uint64_t Certain = 0, Hoped = 0;
  for (const auto &[C, Cost] : Order) {
    bool Enough =
        Certain >= Tasks || Hoped >= std::uint64_t(Tasks) * NamedPerNeeded;
    if (Out.size() >= MaxNamed || (Enough && Out.size() >= Cheap) ||
        (Enough && C->Allowed_))
      break;
    Out.push_back(C->Worker_->Info_.Id_);
    (C->Allowed_ ? Certain : Hoped) += capacityFor(Spec, *C);
  }
  for (const WorkerId &W : Unknown)
    if (!Out.empty() && Out.size() < Cheap && Certain < Tasks)
      Out.push_back(W);
  return Out;
}

} // namespace pollenvale::scheduler::detail
