#include "scheduler/detail/placing.hpp"
#include "scheduler/detail/tasks.hpp"
#include "scheduler/detail/trace.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

namespace detail {

namespace {

constexpr Milliseconds PlacementInterval{5};
/// Waiting steps are looked at this often even if nothing has changed: pauses
/// and permits end by themselves.
constexpr Milliseconds RevisitInterval{60};
/// A permit must last this much longer when its start is sent.
constexpr Milliseconds PermitMargin{120};

struct WaitingStep {
  WaitKey Key_;
  StepId Id_;
};

std::vector<WaitingStep> orderWaiting(State &S, TimePoint Now) {
  std::vector<WaitingStep> Out;
  for (const StepId &Id : S.Waiting_) {
    const Job &J = S.Jobs_.at(Id.Job_);
    if (J.Inherited_ && S.InheritanceOpen_)
      continue;
    Out.push_back({waitKey(J, *findStep(S, Id), Now), Id});
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

/// Room on the worker that other steps have reserved.
Resources reservedByOthers(const State &S, const WorkerId &W,
                           const StepId &Id) {
  Resources Out;
  for (const Reservation &R : S.Reservations_)
    if (R.Worker_ == W && !(R.Step_ == Id))
      Out += R.Room_;
  return Out;
}

void dropReservations(State &S, const StepId &Id) {
  std::erase_if(S.Reservations_,
                [&](const Reservation &R) { return R.Step_ == Id; });
}

/// Keeps room on the workers that the policy is asked about: it takes longer to
/// answer than short tasks take to fill the room.
void reserveNamed(State &S, const AdviceCall &Call, const Resources &Size,
                  TimePoint Now) {
  constexpr Milliseconds AnswerMargin{400};
  dropReservations(S, Call.Step_);
  for (const WorkerId &W : Call.Workers_)
    S.Reservations_.push_back(
        {Call.Step_, W, Size, Now + Call.Expected_ + AnswerMargin});
}

/// Keeps the worker with the most free room, among those that could ever take
/// a task of the step, from taking other tasks until there is room.
void reserveLargest(State &S, const StepId &Id, TimePoint Now) {
  constexpr Milliseconds Longest{300};
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  const Job &J = S.Jobs_.at(Id.Job_);
  const Step &P = *findStep(S, Id);
  const Worker *Best = nullptr;
  std::tuple<bool, std::int64_t, std::int64_t> BestRank;
  for (const auto &[Name, W] : S.Workers_) {
    bool Suits =
        couldTake(W, J, Spec, Now) && !P.Denied_.count(Name) &&
        (Spec.MaxPerWorker_ == 0 || tasksOn(W, Id) < Spec.MaxPerWorker_);
    bool Allowed = P.Permits_.count(Name) > 0;
    auto Rank =
        std::tuple(Allowed, freeRoom(W).Accelerators_, freeRoom(W).Cpu_);
    if (Suits && (!Best || Rank > BestRank)) {
      Best = &W;
      BestRank = Rank;
    }
  }
  if (!Best)
    return;
  dropReservations(S, Id);
  S.Reservations_.push_back(
      {Id, Best->Info_.Id_, Best->Info_.Capacity_, Now + Longest});
}

std::vector<Candidate> candidates(State &S, const StepId &Id, TimePoint Now) {
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  const Job &J = S.Jobs_.at(Id.Job_);
  Step &P = *findStep(S, Id);
  Resources Size = workflow::chargedSize(Spec);
  std::vector<Candidate> Out;
  for (auto &[WorkerName, W] : S.Workers_) {
    if (!couldTake(W, J, Spec, Now) || P.Denied_.count(WorkerName))
      continue;
    Candidate C{&W, freeRoom(W) - reservedByOthers(S, WorkerName, Id)};
    if (!fits(Size, C.Free_))
      continue;
    C.OnIt_ = tasksOn(W, Id);
    auto Permit = P.Permits_.find(WorkerName);
    C.Allowed_ = Permit != P.Permits_.end();
    C.Permitted_ = !J.Queue_.Advice_ ||
                   (C.Allowed_ && Permit->second.Until_ > Now + PermitMargin);
    Out.push_back(C);
  }
  return Out;
}

/// Tasks of the step that may start now.
std::vector<std::uint32_t> startable(const Step &P, TimePoint Now) {
  std::vector<std::uint32_t> Out;
  for (std::uint32_t I = 0; I < P.Tasks_.size(); ++I) {
    const Task &T = P.Tasks_[I];
    if (!T.Done_ && !T.Run_ && Now >= T.NotBefore_)
      Out.push_back(I);
  }
  return Out;
}

struct Placed {
  std::uint32_t Index_ = 0;
  Worker *Worker_ = nullptr;
};

/// Chooses workers for as many of \p Tasks as possible.
std::vector<Placed> place(const workflow::StepSpec &Spec, const Step &P,
                          const std::vector<std::uint32_t> &Tasks,
                          std::vector<Candidate> &All) {
  std::vector<Placed> Out;
  Resources Size = workflow::chargedSize(Spec);
  for (std::uint32_t Index : Tasks) {
    auto Best = chooseWorker(Spec, All, P.Tasks_[Index].FailedOn_);
    if (!Best)
      break;
    Candidate &C = All[*Best];
    C.Free_ -= Size;
    ++C.OnIt_;
    Out.push_back({Index, C.Worker_});
  }
  return Out;
}

void startTasks(State &S, const StepId &Id, const std::vector<Placed> &Where,
                TimePoint Now, Outbox &Out) {
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  Job &J = S.Jobs_.at(Id.Job_);
  Step &P = *findStep(S, Id);
  std::uint32_t GangRun = 0;
  for (const Task &T : P.Tasks_)
    GangRun = std::max(GangRun, T.LastRun_);
  if (P.FirstStartAt_ == TimePoint{})
    P.FirstStartAt_ = Now;
  P.LastStartAt_ = Now;
  for (const Placed &X : Where) {
    Run R;
    R.Number_ = 1 + (Spec.Gang_ ? GangRun : P.Tasks_[X.Index_].LastRun_);
    R.Worker_ = X.Worker_->Info_.Id_;
    R.Charged_ = workflow::chargedSize(Spec);
    R.StartedAt_ = Now;
    auto Permit = P.Permits_.find(R.Worker_);
    if (Permit != P.Permits_.end())
      R.Permit_ = Permit->second.Text_;
    attachRun(S, {Id, X.Index_}, std::move(R));
    traceRepeat(S, {Id, X.Index_}, Now, Out);
    Out.Starts_.push_back(makeStart(S, {Id, X.Index_}, Now));
    count(S.Counters_, "start-sent");
  }
  if (J.State_ == workflow::JobState::Queued) {
    J.State_ = workflow::JobState::Running;
    markDirty(S, J);
  }
  refreshWaiting(S, Id);
}

/// Whether all of a gang could run at once if the policy allowed it.
bool gangFits(const workflow::StepSpec &Spec,
              const std::vector<Candidate> &All) {
  std::uint64_t Room = 0;
  for (const Candidate &C : All)
    Room += capacityFor(Spec, C);
  return Room >= Spec.Count_;
}

/// Workers without room now that the policy has not been asked about.
std::vector<WorkerId> unknownWorkers(const State &S, const StepId &Id,
                                     const std::vector<Candidate> &All,
                                     TimePoint Now) {
  const Job &J = S.Jobs_.at(Id.Job_);
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  const Step &P = J.Open_.at(Id.Occurrence_).Steps_[Id.Step_];
  std::set<WorkerId> Known;
  for (const Candidate &C : All)
    Known.insert(C.Worker_->Info_.Id_);
  std::vector<WorkerId> Out;
  for (const auto &[Name, W] : S.Workers_)
    if (!Known.count(Name) && !P.Denied_.count(Name) &&
        !P.Permits_.count(Name) && couldTake(W, J, Spec, Now))
      Out.push_back(Name);
  return Out;
}

void askForAdvice(State &S, const StepId &Id, const std::vector<Candidate> &All,
                  std::uint32_t Tasks, TimePoint Now, Outbox &Out) {
  const Job &J = S.Jobs_.at(Id.Job_);
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  Step &P = *findStep(S, Id);
  if (!J.Queue_.Advice_ || P.AdviceInFlight_ || Now < P.AdviceNotBefore_)
    return;
  if (Spec.Gang_ && !gangFits(Spec, All))
    return;
  AdviceCall Call;
  Call.Step_ = Id;
  Call.Workers_ = chooseForAdvice(Spec, *J.Queue_.Advice_, All,
                                  unknownWorkers(S, Id, All, Now), Tasks);
  if (Call.Workers_.empty())
    return;
  Call.Priority_ = J.Queue_.Priority_;
  Call.DueAt_ = J.DueAt_;
  Call.WorthlessAt_ = worthlessAt(J);
  Call.Expected_ = Milliseconds(std::int64_t(J.Queue_.Advice_->DecisionMs_ +
                                             J.Queue_.Advice_->PerWorkerMs_ *
                                                 double(Call.Workers_.size())));
  if (Spec.LongRunning_)
    reserveNamed(S, Call, workflow::chargedSize(Spec), Now);
  P.AdviceInFlight_ = true;
  ++P.AdviceCalls_;
  if (P.AdviceAskedAt_ == TimePoint{})
    P.AdviceAskedAt_ = Now;
  count(S.Counters_, "advice-asked");
  Out.Advice_.push_back(std::move(Call));
}

/// A step that no worker may run would wait for ever: the policy is asked anew
/// now and then.
void askAgainIfAllDenied(State &S, const StepId &Id, TimePoint Now) {
  constexpr Milliseconds Interval{4'000};
  const Job &J = S.Jobs_.at(Id.Job_);
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  Step &P = *findStep(S, Id);
  if (P.Denied_.empty() || P.AdviceInFlight_ || Now < P.DeniedRecheckAt_)
    return;
  for (const auto &[Name, W] : S.Workers_)
    if (couldTake(W, J, Spec, Now) && !P.Denied_.count(Name))
      return;
  if (P.DeniedRecheckAt_ != TimePoint{}) {
    count(S.Counters_, "advice-all-denied");
    P.Denied_.clear();
  }
  P.DeniedRecheckAt_ = Now + Interval;
}

/// Large tasks wait for a worker to empty; small ones would fill it again and
/// again. At most a quarter of the workers are kept free for them.
bool mayReserve(const State &S, const StepId &Id, TimePoint Now) {
  constexpr std::size_t WorkersPerReserved = 4;
  const Job &J = S.Jobs_.at(Id.Job_);
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  if (Now > J.DueAt_ || Spec.Size_.Accelerators_ == 0)
    return false;
  std::set<WorkerId> Reserved;
  for (const Reservation &R : S.Reservations_)
    if (!(R.Step_ == Id))
      Reserved.insert(R.Worker_);
  bool Large = false;
  for (const auto &[Name, W] : S.Workers_)
    Large |= W.Info_.Capacity_.Accelerators_ > 0 &&
             Spec.Size_.Accelerators_ * 2 > W.Info_.Capacity_.Accelerators_;
  return Large &&
         (Reserved.size() + 1) * WorkersPerReserved <= S.Workers_.size();
}

void placeStep(State &S, const StepId &Id, TimePoint Now, Outbox &Out) {
  const workflow::StepSpec &Spec = *findSpec(S, Id);
  Step &P = *findStep(S, Id);
  std::vector<std::uint32_t> Tasks = startable(P, Now);
  if (Tasks.empty() || (Spec.Gang_ && Tasks.size() < P.Tasks_.size()))
    return;
  std::vector<Candidate> All = candidates(S, Id, Now);
  if (All.empty()) {
    askAgainIfAllDenied(S, Id, Now);
    if (Spec.LongRunning_ || mayReserve(S, Id, Now))
      reserveLargest(S, Id, Now);
    return;
  }
  std::vector<Candidate> Left = All;
  std::vector<Placed> Where = place(Spec, P, Tasks, Left);
  bool Complete = Where.size() == Tasks.size();
  if (!Where.empty() && (Complete || !Spec.Gang_)) {
    startTasks(S, Id, Where, Now, Out);
    dropReservations(S, Id);
  }
  if (!Complete)
    askForAdvice(
        S, Id, Spec.Gang_ ? All : Left,
        std::uint32_t(Spec.Gang_ ? Tasks.size() : Tasks.size() - Where.size()),
        Now, Out);
}

} // namespace

void placeTasks(State &S, TimePoint Now, Outbox &Out) {
  if (Now < S.PlaceNotBefore_)
    return;
  bool Revisit =
      !S.Waiting_.empty() && Now >= S.PlaceNotBefore_ + RevisitInterval;
  if (!S.PlaceWanted_ && !Revisit)
    return;
  S.PlaceWanted_ = false;
  S.PlaceNotBefore_ = Now + PlacementInterval;
  std::erase_if(S.Reservations_,
                [&](const Reservation &R) { return Now > R.Until_; });
  for (const WaitingStep &W : orderWaiting(S, Now))
    placeStep(S, W.Id_, Now, Out);
}

} // namespace detail

void onAdvice(State &S, const AdviceCall &Call, const AdviceReply &Reply,
              TimePoint Now) {
  constexpr Milliseconds RetryInterval{150};
  Step *P = detail::findStep(S, Call.Step_);
  if (!P)
    return;
  P->AdviceInFlight_ = false;
  S.PlaceWanted_ = true;
  if (!Reply.Answered_) {
    count(S.Counters_, "advice-no-answer");
    P->AdviceNotBefore_ = Now + RetryInterval;
    return;
  }
  if (P->AdviceAnsweredAt_ == TimePoint{})
    P->AdviceAnsweredAt_ = Now;
  const Job &J = S.Jobs_.at(Call.Step_.Job_);
  Milliseconds Validity = Reply.Validity_;
  if (Validity.count() == 0 && J.Queue_.Advice_)
    Validity = Milliseconds(J.Queue_.Advice_->ValidityMs_);
  for (const WorkerId &W : Call.Workers_)
    if (!P->Permits_.count(W))
      P->Denied_.insert(W);
  for (const PermitRow &Row : Reply.Rows_) {
    P->Denied_.erase(Row.Worker_);
    P->Permits_[Row.Worker_] = {Row.Permit_, Now + Validity};
  }
}

} // namespace pollenvale::scheduler
