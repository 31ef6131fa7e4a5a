#include "scheduler/detail/placement_pass.hpp"
#include "scheduler/detail/sorted_lookup.hpp"
#include "scheduler/detail/tasks.hpp"
#include "scheduler/detail/trace.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {
namespace detail {
namespace {

constexpr Milliseconds MinPlacementInterval{5};
/// Interval of passes without an event: permits and avoidance just expire.
constexpr Milliseconds RecheckInterval{60};
/// Added to the interval per waiting step, as a pass visits each of them.
constexpr std::chrono::microseconds IntervalPerStep{50};
/// Added up over the workers, as a pass looks at each of them.
constexpr std::chrono::microseconds IntervalPerWorker{10};
constexpr Milliseconds MaxPlacementInterval{25};

std::vector<WaitingStep> orderWaitingSteps(State &State, TimePoint Now) {
  std::vector<WaitingStep> Out;
  Out.reserve(State.WaitingSteps_.size());
  for (const StepId &Id : State.WaitingSteps_) {
    Job &J = State.Jobs_.at(Id.Job_);
    if (J.Inherited_ && State.InheritancePending_)
      continue;
    Occurrence &O = J.Open_.at(Id.Occurrence_);
    Step &Step = O.Steps_[Id.Step_];
    const workflow::StepSpec &Spec = J.Spec_.Steps_[Id.Step_];
    Out.push_back({makeWaitKey(J, O, Spec, Step, Now), Id, &J, &O, &Step, &Spec,
                   workflow::chargedSize(Spec)});
  }
  std::sort(Out.begin(), Out.end(),
            [](const WaitingStep &A, const WaitingStep &B) {
              return A.Key_ != B.Key_ ? A.Key_ < B.Key_ : A.Id_ < B.Id_;
            });
  return Out;
}

/// Indices of the tasks of the step that may start now.
std::vector<std::uint32_t> startableTasks(const Step &Step, TimePoint Now) {
  std::vector<std::uint32_t> Out;
  for (std::uint32_t I = 0; I < Step.Tasks_.size(); ++I) {
    const Task &T = Step.Tasks_[I];
    if (!T.Done_ && !T.Run_ && Now >= T.EarliestStartAt_)
      Out.push_back(I);
  }
  return Out;
}

struct Assignment {
  std::uint32_t Index_ = 0; ///< Of the task in its step.
  Worker *Worker_ = nullptr;
};

/// Assigns as many of \p Tasks as possible and charges them to \p Hosts.
std::vector<Assignment> assignWorkers(const workflow::StepSpec &Spec,
                                      const Step &Step,
                                      const std::vector<std::uint32_t> &Tasks,
                                      std::vector<Candidate> &Hosts) {
  std::vector<Assignment> Out;
  Resources Size = workflow::chargedSize(Spec);
  for (std::uint32_t Index : Tasks) {
    auto Best = chooseWorker(Spec, Hosts, Step.Tasks_[Index].FailedOn_);
    if (!Best)
      break;
    Candidate &C = Hosts[*Best];
    C.Free_ -= Size;
    ++C.StepTasks_;
    Out.push_back({Index, C.Worker_});
  }
  return Out;
}

/// Updates the free resources of the workers that were assigned tasks.
void updateFreeRoom(Pass &Pass, const std::vector<Assignment> &Placed) {
  for (const Assignment &A : Placed)
    findOpen(Pass, A.Worker_->Info_.Id_)->Free_ = freeResources(*A.Worker_);
}

void startTasks(Pass &Pass, const WaitingStep &Ready,
                const std::vector<Assignment> &Placed) {
  State &State = Pass.State_;
  Step &Step = *Ready.Step_;
  std::uint32_t LastRun = 0;
  for (const Task &T : Step.Tasks_)
    LastRun = std::max(LastRun, T.LastRun_);
  if (Step.FirstStartAt_ == TimePoint{})
    Step.FirstStartAt_ = Pass.Now_;
  Step.LastStartAt_ = Pass.Now_;
  for (const Assignment &A : Placed) {
    TaskId Id{Ready.Id_, A.Index_};
    Run R;
    R.Number_ =
        1 + (Ready.Spec_->Gang_ ? LastRun : Step.Tasks_[A.Index_].LastRun_);
    R.Worker_ = A.Worker_->Info_.Id_;
    R.Charged_ = Ready.Size_;
    R.StartedAt_ = Pass.Now_;
    auto Permit = Step.Permits_.find(R.Worker_);
    if (Permit != Step.Permits_.end())
      R.Permit_ = Permit->second.Text_;
    attachRun(State, Id, std::move(R));
    traceRepeat(State, Id, Pass.Now_, Pass.Out_);
    Pass.Out_.Starts_.push_back(makeStart(State, Id, Pass.Now_));
    count(State.Counters_, "start-sent");
  }
  updateFreeRoom(Pass, Placed);
  if (Ready.Job_->State_ == workflow::JobState::Queued) {
    Ready.Job_->State_ = workflow::JobState::Running;
    markDirty(State, *Ready.Job_);
  }
  updateWaiting(State, Ready.Id_);
}

/// Whether the whole gang fits on the candidates, permits aside.
bool gangFits(const workflow::StepSpec &Spec,
              const std::vector<Candidate> &Hosts) {
  std::uint64_t Room = 0;
  for (const Candidate &C : Hosts)
    Room += tasksThatFit(Spec, C);
  return Room >= Spec.Count_;
}

/// Workers not in \p Hosts (sorted by id) that the policy has not judged.
std::vector<WorkerId> unknownWorkers(const Pass &Pass, const WaitingStep &Ready,
                                     const std::vector<Candidate> &Hosts) {
  SortedLookup Denied(Ready.Step_->Denied_);
  SortedLookup Permits(Ready.Step_->Permits_);
  std::vector<WorkerId> Out;
  auto Known = Hosts.begin();
  for (const OpenWorker &O : Pass.Open_) {
    if (Known != Hosts.end() && Known->Worker_ == O.Worker_) {
      ++Known;
      continue;
    }
    const WorkerId &Name = O.Worker_->Info_.Id_;
    if (canHost(*O.Worker_, Ready) && !Denied.find(Name) && !Permits.find(Name))
      Out.push_back(Name);
  }
  return Out;
}

void requestAdvice(Pass &Pass, const WaitingStep &Ready,
                   const std::vector<Candidate> &Hosts, std::uint32_t Tasks) {
  const Job &J = *Ready.Job_;
  Step &Step = *Ready.Step_;
  if (!J.Queue_.Advice_ || Step.AdviceInFlight_ ||
      Pass.Now_ < Step.AdviceRetryAt_)
    return;
  if (Ready.Spec_->Gang_ && !gangFits(*Ready.Spec_, Hosts))
    return;
  AdviceCall Call;
  Call.Step_ = Ready.Id_;
  Call.Workers_ =
      chooseWorkersForAdvice(*Ready.Spec_, *J.Queue_.Advice_, Hosts,
                             unknownWorkers(Pass, Ready, Hosts), Tasks);
  if (Call.Workers_.empty())
    return;
  Call.Priority_ = J.Queue_.Priority_;
  Call.DueAt_ = dueAt(J, *Ready.Occurrence_, *Ready.Spec_, Step);
  Call.WorthlessAt_ = worthlessAt(J, *Ready.Occurrence_);
  Call.LongRunning_ = Ready.Spec_->LongRunning_;
  Call.Retried_ = Step.AdviceUnanswered_ > 0;
  Call.Expected_ = Milliseconds(std::int64_t(J.Queue_.Advice_->DecisionMs_ +
                                             J.Queue_.Advice_->PerWorkerMs_ *
                                                 double(Call.Workers_.size())));
  if (Ready.Spec_->LongRunning_)
    reserveAdvisedWorkers(Pass, Call, Ready.Size_);
  Step.AdviceInFlight_ = true;
  ++Step.AdviceCalls_;
  if (Step.AdviceAskedAt_ == TimePoint{})
    Step.AdviceAskedAt_ = Pass.Now_;
  count(Pass.State_.Counters_, "advice-asked");
  Pass.Out_.Advice_.push_back(std::move(Call));
}

/// Clears denials at intervals, so that a step denied everywhere is asked about
/// again instead of waiting forever.
void retryAdviceIfAllDenied(Pass &Pass, const WaitingStep &Ready) {
  constexpr Milliseconds Interval{4'000};
  Step &Step = *Ready.Step_;
  if (Step.Denied_.empty() || Step.AdviceInFlight_ ||
      Pass.Now_ < Step.DeniedRecheckAt_)
    return;
  for (const OpenWorker &O : Pass.Open_)
    if (canHost(*O.Worker_, Ready) && !Step.Denied_.count(O.Worker_->Info_.Id_))
      return;
  if (Step.DeniedRecheckAt_ != TimePoint{}) {
    count(Pass.State_.Counters_, "advice-all-denied");
    Step.Denied_.clear();
  }
  Step.DeniedRecheckAt_ = Pass.Now_ + Interval;
}

/// Whether room should be kept free for the step if no worker has any.
bool needsReservation(const Pass &Pass, const WaitingStep &Ready) {
  return Ready.Spec_->LongRunning_ || mayReserve(Pass, Ready);
}

/// Starts as many of \p Tasks on \p Hosts as possible; a gang, all or none.
/// Returns the number of tasks that found no room, and updates \p Hosts.
std::size_t startOn(Pass &Pass, const WaitingStep &Ready,
                    const std::vector<std::uint32_t> &Tasks,
                    std::vector<Candidate> &Hosts) {
  auto Placed = assignWorkers(*Ready.Spec_, *Ready.Step_, Tasks, Hosts);
  bool Complete = Placed.size() == Tasks.size();
  if (!Placed.empty() && (Complete || !Ready.Spec_->Gang_)) {
    startTasks(Pass, Ready, Placed);
    dropReservations(Pass, Ready.Id_);
  }
  return Tasks.size() - Placed.size();
}

/// Places a step that the policy is being asked about: no other call may be
/// made for it, so only workers with a permit matter.
void placeOnPermitted(Pass &Pass, const WaitingStep &Ready,
                      const std::vector<std::uint32_t> &Tasks) {
  std::vector<Candidate> Hosts = findPermitted(Pass, Ready);
  if (!Hosts.empty())
    startOn(Pass, Ready, Tasks, Hosts);
  else if (needsReservation(Pass, Ready) && !hasCandidate(Pass, Ready))
    reserveFreestWorker(Pass, Ready);
}

void placeStep(Pass &Pass, const WaitingStep &Ready) {
  const workflow::StepSpec &Spec = *Ready.Spec_;
  std::vector<std::uint32_t> Tasks = startableTasks(*Ready.Step_, Pass.Now_);
  if (Tasks.empty() ||
      (Spec.Gang_ && Tasks.size() < Ready.Step_->Tasks_.size()))
    return;
  if (Ready.Job_->Queue_.Advice_ && Ready.Step_->AdviceInFlight_)
    return placeOnPermitted(Pass, Ready, Tasks);
  std::vector<Candidate> Hosts = findCandidates(Pass, Ready);
  if (Hosts.empty()) {
    retryAdviceIfAllDenied(Pass, Ready);
    if (needsReservation(Pass, Ready))
      reserveFreestWorker(Pass, Ready);
    return;
  }
  std::vector<Candidate> Remaining = Hosts;
  std::size_t Unplaced = startOn(Pass, Ready, Tasks, Remaining);
  if (Unplaced > 0)
    requestAdvice(Pass, Ready, Spec.Gang_ ? Hosts : Remaining,
                  std::uint32_t(Spec.Gang_ ? Tasks.size() : Unplaced));
}

/// Grows with the size of a pass, to bound the time spent in passes.
Milliseconds placementInterval(const State &State) {
  auto ForSize = std::chrono::duration_cast<Milliseconds>(
      IntervalPerStep * std::int64_t(State.WaitingSteps_.size()) +
      IntervalPerWorker * std::int64_t(State.Workers_.size()));
  return std::clamp(ForSize, MinPlacementInterval, MaxPlacementInterval);
}

} // namespace

void placeTasks(State &State, TimePoint Now, Outbox &Out) {
  if (State.BehindStore_)
    return;
  if (Now < State.NextPlacementAt_)
    return;
  bool Recheck = !State.WaitingSteps_.empty() &&
                 Now >= State.NextPlacementAt_ + RecheckInterval;
  if (!State.PlacementNeeded_ && !Recheck)
    return;
  State.PlacementNeeded_ = false;
  State.NextPlacementAt_ = Now + placementInterval(State);
  Pass Pass = makePass(State, Now, Out);
  for (const WaitingStep &Ready : orderWaitingSteps(State, Now))
    placeStep(Pass, Ready);
}

} // namespace detail

void onAdviceReply(State &State, const AdviceCall &Call,
                   const AdviceReply &Reply, TimePoint Now) {
  constexpr Milliseconds RetryInterval{150};
  Step *Step = detail::findStep(State, Call.Step_);
  if (!Step)
    return;
  Step->AdviceInFlight_ = false;
  State.PlacementNeeded_ = true;
  if (!Reply.Answered_) {
    ++Step->AdviceUnanswered_;
    count(State.Counters_, "advice-no-answer");
    Step->AdviceRetryAt_ = Now + RetryInterval;
    return;
  }
  Step->AdviceUnanswered_ = 0;
  if (Step->AdviceAnsweredAt_ == TimePoint{})
    Step->AdviceAnsweredAt_ = Now;
  const Job &J = State.Jobs_.at(Call.Step_.Job_);
  Milliseconds Validity = Reply.Validity_;
  if (Validity.count() == 0 && J.Queue_.Advice_)
    Validity = Milliseconds(J.Queue_.Advice_->ValidityMs_);
  for (const WorkerId &W : Call.Workers_)
    if (!Step->Permits_.count(W))
      Step->Denied_.insert(W);
  for (const PermitRow &Row : Reply.Rows_) {
    Step->Denied_.erase(Row.Worker_);
    detail::addPermit(*Step, Row.Worker_, {Row.Permit_, Now + Validity});
  }
}

} // namespace pollenvale::scheduler
