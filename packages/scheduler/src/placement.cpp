#include "scheduler/detail/placing.hpp"
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
/// Minimum remaining validity of a permit when its start is sent.
constexpr Milliseconds PermitMargin{120};
/// Added to the interval per waiting step, as a pass visits each of them.
constexpr std::chrono::microseconds IntervalPerStep{50};
constexpr Milliseconds MaxPlacementInterval{25};

/// A worker that accepts tasks, and its free resources during the pass.
struct OpenWorker {
  Worker *Worker_ = nullptr;
  Resources Free_;
};

/// A step with tasks to start, and the objects that it belongs to.
struct WaitingStep {
  WaitOrderKey Key_;
  StepId Id_;
  Job *Job_ = nullptr;
  const Occurrence *Occurrence_ = nullptr;
  Step *Step_ = nullptr;
  const workflow::StepSpec *Spec_ = nullptr;
  Resources Size_; ///< Resources charged for one task.
};

/// One placement pass over all waiting steps.
struct Pass {
  State &State_;
  TimePoint Now_;
  Outbox &Out_;
  std::vector<OpenWorker> Open_; ///< Sorted by worker id.
};

Pass makePass(State &State, TimePoint Now, Outbox &Out) {
  Pass Pass{State, Now, Out, {}};
  Pass.Open_.reserve(State.Workers_.size());
  for (auto &[Name, W] : State.Workers_)
    if (acceptsTasks(W, Now))
      Pass.Open_.push_back({&W, freeResources(W)});
  return Pass;
}

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

std::uint32_t tasksOn(const Worker &W, const StepId &Id) {
  auto It = W.Tasks_.lower_bound(TaskId{Id, 0});
  std::uint32_t Count = 0;
  for (; It != W.Tasks_.end() && It->Step_ == Id; ++It)
    ++Count;
  return Count;
}

using ReservedRoom = std::map<std::string_view, Resources>;

/// Resources reserved for steps other than \p Id, by worker.
ReservedRoom reservedByOthers(const State &State, const StepId &Id) {
  ReservedRoom Out;
  for (const Reservation &R : State.Reservations_)
    if (!(R.Step_ == Id))
      Out[R.Worker_] += R.Room_;
  return Out;
}

/// canHost() of tasks.hpp for a worker that is known to accept tasks.
bool canHost(const Worker &W, const WaitingStep &Ready) {
  return W.Info_.Service_ == Ready.Job_->Queue_.Service_ &&
         fits(Ready.Size_, W.Info_.Capacity_) &&
         (Ready.Spec_->RequiredLabel_.empty() ||
          W.Info_.Labels_.count(Ready.Spec_->RequiredLabel_));
}

void dropReservations(State &State, const StepId &Id) {
  std::erase_if(State.Reservations_,
                [&](const Reservation &R) { return R.Step_ == Id; });
}

/// Keeps short tasks from filling the room before the policy answers.
void reserveAdvisedWorkers(State &State, const AdviceCall &Call,
                           const Resources &Size, TimePoint Now) {
  constexpr Milliseconds AnswerMargin{400};
  dropReservations(State, Call.Step_);
  for (const WorkerId &W : Call.Workers_)
    State.Reservations_.push_back(
        {Call.Step_, W, Size, Now + Call.Expected_ + AnswerMargin});
}

/// Reserves the eligible worker with the most free resources for the step.
void reserveFreestWorker(Pass &Pass, const WaitingStep &Ready) {
  constexpr Milliseconds MaxHold{300};
  const OpenWorker *Best = nullptr;
  std::tuple<bool, std::int64_t, std::int64_t> BestRank;
  for (const OpenWorker &O : Pass.Open_) {
    auto Rank = std::tuple(true, O.Free_.Accelerators_, O.Free_.Cpu_);
    if ((Best && Rank <= BestRank) || !canHost(*O.Worker_, Ready))
      continue;
    const WorkerId &Name = O.Worker_->Info_.Id_;
    std::get<bool>(Rank) = Ready.Step_->Permits_.count(Name) > 0;
    bool Allowed =
        !Ready.Step_->Denied_.count(Name) &&
        (Ready.Spec_->MaxPerWorker_ == 0 ||
         tasksOn(*O.Worker_, Ready.Id_) < Ready.Spec_->MaxPerWorker_);
    if (Allowed && (!Best || Rank > BestRank)) {
      Best = &O;
      BestRank = Rank;
    }
  }
  if (!Best)
    return;
  const WorkerInfo &Info = Best->Worker_->Info_;
  dropReservations(Pass.State_, Ready.Id_);
  Pass.State_.Reservations_.push_back(
      {Ready.Id_, Info.Id_, Info.Capacity_, Pass.Now_ + MaxHold});
}

std::vector<Candidate> findCandidates(Pass &Pass, const WaitingStep &Ready) {
  ReservedRoom Reserved = reservedByOthers(Pass.State_, Ready.Id_);
  bool Advised = Ready.Job_->Queue_.Advice_.has_value();
  SortedLookup OthersRoom(Reserved);
  SortedLookup Denied(Ready.Step_->Denied_);
  SortedLookup Permits(Ready.Step_->Permits_);
  std::vector<Candidate> Out;
  for (OpenWorker &O : Pass.Open_) {
    // Cheapest check first: most workers of a busy fleet have no room.
    if (!fits(Ready.Size_, O.Free_) || !canHost(*O.Worker_, Ready))
      continue;
    const WorkerId &Name = O.Worker_->Info_.Id_;
    Candidate C{O.Worker_, O.Free_};
    if (const auto *Row = OthersRoom.find(Name))
      C.Free_ -= Row->second;
    if (!fits(Ready.Size_, C.Free_) || Denied.find(Name))
      continue;
    if (Ready.Spec_->MaxPerWorker_ > 0)
      C.StepTasks_ = tasksOn(*O.Worker_, Ready.Id_);
    const auto *Permit = Permits.find(Name);
    C.Allowed_ = Permit != nullptr;
    C.Permitted_ = !Advised || (C.Allowed_ && Permit->second.ExpiresAt_ >
                                                  Pass.Now_ + PermitMargin);
    Out.push_back(C);
  }
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
  for (const Assignment &A : Placed) {
    auto It = std::lower_bound(Pass.Open_.begin(), Pass.Open_.end(), A.Worker_,
                               [](const OpenWorker &O, const Worker *W) {
                                 return O.Worker_->Info_.Id_ < W->Info_.Id_;
                               });
    It->Free_ = freeResources(*A.Worker_);
  }
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
  Call.Expected_ = Milliseconds(std::int64_t(J.Queue_.Advice_->DecisionMs_ +
                                             J.Queue_.Advice_->PerWorkerMs_ *
                                                 double(Call.Workers_.size())));
  if (Ready.Spec_->LongRunning_)
    reserveAdvisedWorkers(Pass.State_, Call, Ready.Size_, Pass.Now_);
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

/// Whether a worker may be reserved for the step: small tasks would refill it
/// before a large one fits. At most a quarter of the workers are reserved.
bool mayReserve(const State &State, const WaitingStep &Ready, TimePoint Now) {
  constexpr std::size_t WorkersPerReserved = 4;
  std::int64_t Needed = Ready.Spec_->Size_.Accelerators_;
  if (Now > dueAt(*Ready.Job_, *Ready.Occurrence_) || Needed == 0)
    return false;
  std::set<std::string_view> Reserved;
  for (const Reservation &R : State.Reservations_)
    if (!(R.Step_ == Ready.Id_))
      Reserved.insert(R.Worker_);
  if ((Reserved.size() + 1) * WorkersPerReserved > State.Workers_.size())
    return false;
  return std::any_of(
      State.Workers_.begin(), State.Workers_.end(), [&](const auto &Row) {
        std::int64_t Total = Row.second.Info_.Capacity_.Accelerators_;
        return Total > 0 && Needed * 2 > Total;
      });
}

/// Whether no task of the step can start before the policy answers.
bool awaitsAdvice(const WaitingStep &Ready, TimePoint Now) {
  if (!Ready.Step_->AdviceInFlight_ || !Ready.Job_->Queue_.Advice_ ||
      Ready.Spec_->LongRunning_ || Ready.Spec_->Size_.Accelerators_ > 0)
    return false;
  const auto &Permits = Ready.Step_->Permits_;
  return std::none_of(Permits.begin(), Permits.end(), [&](const auto &Row) {
    return Row.second.ExpiresAt_ > Now + PermitMargin;
  });
}

void placeStep(Pass &Pass, const WaitingStep &Ready) {
  if (awaitsAdvice(Ready, Pass.Now_))
    return;
  const workflow::StepSpec &Spec = *Ready.Spec_;
  std::vector<std::uint32_t> Tasks = startableTasks(*Ready.Step_, Pass.Now_);
  if (Tasks.empty() ||
      (Spec.Gang_ && Tasks.size() < Ready.Step_->Tasks_.size()))
    return;
  std::vector<Candidate> Hosts = findCandidates(Pass, Ready);
  if (Hosts.empty()) {
    retryAdviceIfAllDenied(Pass, Ready);
    if (Spec.LongRunning_ || mayReserve(Pass.State_, Ready, Pass.Now_))
      reserveFreestWorker(Pass, Ready);
    return;
  }
  std::vector<Candidate> Remaining = Hosts;
  auto Placed = assignWorkers(Spec, *Ready.Step_, Tasks, Remaining);
  bool Complete = Placed.size() == Tasks.size();
  if (!Placed.empty() && (Complete || !Spec.Gang_)) {
    startTasks(Pass, Ready, Placed);
    dropReservations(Pass.State_, Ready.Id_);
  }
  if (!Complete)
    requestAdvice(Pass, Ready, Spec.Gang_ ? Hosts : Remaining,
                  std::uint32_t(Spec.Gang_ ? Tasks.size()
                                           : Tasks.size() - Placed.size()));
}

/// Grows with the number of waiting steps to bound the time spent in passes.
Milliseconds placementInterval(const State &State) {
  auto ForSteps = std::chrono::duration_cast<Milliseconds>(
      IntervalPerStep * std::int64_t(State.WaitingSteps_.size()));
  return std::clamp(ForSteps, MinPlacementInterval, MaxPlacementInterval);
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
  std::erase_if(State.Reservations_,
                [&](const Reservation &R) { return Now > R.ExpiresAt_; });
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
    Step->Permits_[Row.Worker_] = {Row.Permit_, Now + Validity};
  }
}

} // namespace pollenvale::scheduler
