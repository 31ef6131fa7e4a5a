#include "scheduler/detail/placing.hpp"
#include "scheduler/detail/sorted_lookup.hpp"
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

/// Time between two passes for each step that waits: a pass looks at all.
constexpr std::chrono::microseconds IntervalPerStep{50};
constexpr Milliseconds LongestInterval{25};

/// A worker that takes tasks, as one pass sees it.
struct OpenWorker {
  Worker *Worker_ = nullptr;
  Resources Free_;
};

/// A waiting step with what belongs to it.
struct WaitingStep {
  WaitKey Key_;
  StepId Id_;
  Job *Job_ = nullptr;
  const Occurrence *Occurrence_ = nullptr;
  Step *Step_ = nullptr;
  const workflow::StepSpec *Spec_ = nullptr;
  Resources Size_; ///< What one task takes.
};

/// One look at all waiting steps.
struct Pass {
  State &State_;
  TimePoint Now_;
  Outbox &Out_;
  std::vector<OpenWorker> Open_; ///< In the order of their names.
};

Pass beginPass(State &S, TimePoint Now, Outbox &Out) {
  Pass X{S, Now, Out, {}};
  X.Open_.reserve(S.Workers_.size());
  for (auto &[Name, W] : S.Workers_)
    if (takesTasks(W, Now))
      X.Open_.push_back({&W, freeRoom(W)});
  return X;
}

std::vector<WaitingStep> orderWaiting(State &S, TimePoint Now) {
  std::vector<WaitingStep> Out;
  Out.reserve(S.Waiting_.size());
  for (const StepId &Id : S.Waiting_) {
    Job &J = S.Jobs_.at(Id.Job_);
    if (J.Inherited_ && S.InheritanceOpen_)
      continue;
    Occurrence &O = J.Open_.at(Id.Occurrence_);
    Step &P = O.Steps_[Id.Step_];
    const workflow::StepSpec &Spec = J.Spec_.Steps_[Id.Step_];
    Out.push_back({waitKey(J, O, Spec, P, Now), Id, &J, &O, &P, &Spec,
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

/// Room that other steps have reserved, by worker.
ReservedRoom reservedByOthers(const State &S, const StepId &Id) {
  ReservedRoom Out;
  for (const Reservation &R : S.Reservations_)
    if (!(R.Step_ == Id))
      Out[R.Worker_] += R.Room_;
  return Out;
}

/// couldTake() for a worker that takes tasks.
bool couldTake(const Worker &W, const WaitingStep &X) {
  return W.Info_.Service_ == X.Job_->Queue_.Service_ &&
         fits(X.Size_, W.Info_.Capacity_) &&
         (X.Spec_->RequiredLabel_.empty() ||
          W.Info_.Labels_.count(X.Spec_->RequiredLabel_));
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
void reserveLargest(Pass &X, const WaitingStep &W) {
  constexpr Milliseconds Longest{300};
  const OpenWorker *Best = nullptr;
  std::tuple<bool, std::int64_t, std::int64_t> BestRank;
  for (const OpenWorker &O : X.Open_) {
    auto Rank = std::tuple(true, O.Free_.Accelerators_, O.Free_.Cpu_);
    if ((Best && Rank <= BestRank) || !couldTake(*O.Worker_, W))
      continue;
    const WorkerId &Name = O.Worker_->Info_.Id_;
    std::get<bool>(Rank) = W.Step_->Permits_.count(Name) > 0;
    bool Suits = !W.Step_->Denied_.count(Name) &&
                 (W.Spec_->MaxPerWorker_ == 0 ||
                  tasksOn(*O.Worker_, W.Id_) < W.Spec_->MaxPerWorker_);
    if (Suits && (!Best || Rank > BestRank)) {
      Best = &O;
      BestRank = Rank;
    }
  }
  if (!Best)
    return;
  const WorkerInfo &Info = Best->Worker_->Info_;
  dropReservations(X.State_, W.Id_);
  X.State_.Reservations_.push_back(
      {W.Id_, Info.Id_, Info.Capacity_, X.Now_ + Longest});
}

std::vector<Candidate> candidates(Pass &X, const WaitingStep &W) {
  ReservedRoom Reserved = reservedByOthers(X.State_, W.Id_);
  bool Advised = W.Job_->Queue_.Advice_.has_value();
  SortedLookup Others(Reserved);
  SortedLookup Denied(W.Step_->Denied_);
  SortedLookup Permits(W.Step_->Permits_);
  std::vector<Candidate> Out;
  for (OpenWorker &O : X.Open_) {
    // Most workers of a busy fleet have no room; the rest is costlier to tell.
    if (!fits(W.Size_, O.Free_) || !couldTake(*O.Worker_, W))
      continue;
    const WorkerId &Name = O.Worker_->Info_.Id_;
    Candidate C{O.Worker_, O.Free_};
    if (const auto *Row = Others.find(Name))
      C.Free_ -= Row->second;
    if (!fits(W.Size_, C.Free_) || Denied.find(Name))
      continue;
    if (W.Spec_->MaxPerWorker_ > 0)
      C.OnIt_ = tasksOn(*O.Worker_, W.Id_);
    const auto *Permit = Permits.find(Name);
    C.Allowed_ = Permit != nullptr;
    C.Permitted_ = !Advised || (C.Allowed_ &&
                                Permit->second.Until_ > X.Now_ + PermitMargin);
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

/// Notes how much room the workers of \p Where have left.
void refreshRoom(Pass &X, const std::vector<Placed> &Where) {
  for (const Placed &Y : Where) {
    auto It = std::lower_bound(X.Open_.begin(), X.Open_.end(), Y.Worker_,
                               [](const OpenWorker &O, const Worker *W) {
                                 return O.Worker_->Info_.Id_ < W->Info_.Id_;
                               });
    It->Free_ = freeRoom(*Y.Worker_);
  }
}

void startTasks(Pass &X, const WaitingStep &W,
                const std::vector<Placed> &Where) {
  State &S = X.State_;
  Step &P = *W.Step_;
  std::uint32_t GangRun = 0;
  for (const Task &T : P.Tasks_)
    GangRun = std::max(GangRun, T.LastRun_);
  if (P.FirstStartAt_ == TimePoint{})
    P.FirstStartAt_ = X.Now_;
  P.LastStartAt_ = X.Now_;
  for (const Placed &Y : Where) {
    TaskId Id{W.Id_, Y.Index_};
    Run R;
    R.Number_ = 1 + (W.Spec_->Gang_ ? GangRun : P.Tasks_[Y.Index_].LastRun_);
    R.Worker_ = Y.Worker_->Info_.Id_;
    R.Charged_ = W.Size_;
    R.StartedAt_ = X.Now_;
    auto Permit = P.Permits_.find(R.Worker_);
    if (Permit != P.Permits_.end())
      R.Permit_ = Permit->second.Text_;
    attachRun(S, Id, std::move(R));
    traceRepeat(S, Id, X.Now_, X.Out_);
    X.Out_.Starts_.push_back(makeStart(S, Id, X.Now_));
    count(S.Counters_, "start-sent");
  }
  refreshRoom(X, Where);
  if (W.Job_->State_ == workflow::JobState::Queued) {
    W.Job_->State_ = workflow::JobState::Running;
    markDirty(S, *W.Job_);
  }
  refreshWaiting(S, W.Id_);
}

/// Whether all of a gang could run at once if the policy allowed it.
bool gangFits(const workflow::StepSpec &Spec,
              const std::vector<Candidate> &All) {
  std::uint64_t Room = 0;
  for (const Candidate &C : All)
    Room += capacityFor(Spec, C);
  return Room >= Spec.Count_;
}

/// Workers that the policy has not been asked about and that are not in \p All,
/// which is in the order of names too.
std::vector<WorkerId> unknownWorkers(const Pass &X, const WaitingStep &W,
                                     const std::vector<Candidate> &All) {
  SortedLookup Denied(W.Step_->Denied_);
  SortedLookup Permits(W.Step_->Permits_);
  std::vector<WorkerId> Out;
  auto Known = All.begin();
  for (const OpenWorker &O : X.Open_) {
    if (Known != All.end() && Known->Worker_ == O.Worker_) {
      ++Known;
      continue;
    }
    const WorkerId &Name = O.Worker_->Info_.Id_;
    if (couldTake(*O.Worker_, W) && !Denied.find(Name) && !Permits.find(Name))
      Out.push_back(Name);
  }
  return Out;
}

void askForAdvice(Pass &X, const WaitingStep &W,
                  const std::vector<Candidate> &All, std::uint32_t Tasks) {
  const Job &J = *W.Job_;
  Step &P = *W.Step_;
  if (!J.Queue_.Advice_ || P.AdviceInFlight_ || X.Now_ < P.AdviceNotBefore_)
    return;
  if (W.Spec_->Gang_ && !gangFits(*W.Spec_, All))
    return;
  AdviceCall Call;
  Call.Step_ = W.Id_;
  Call.Workers_ = chooseForAdvice(*W.Spec_, *J.Queue_.Advice_, All,
                                  unknownWorkers(X, W, All), Tasks);
  if (Call.Workers_.empty())
    return;
  Call.Priority_ = J.Queue_.Priority_;
  Call.DueAt_ = dueAt(J, *W.Occurrence_, *W.Spec_, P);
  Call.WorthlessAt_ = worthlessAt(J, *W.Occurrence_);
  Call.LongRunning_ = W.Spec_->LongRunning_;
  Call.Expected_ = Milliseconds(std::int64_t(J.Queue_.Advice_->DecisionMs_ +
                                             J.Queue_.Advice_->PerWorkerMs_ *
                                                 double(Call.Workers_.size())));
  if (W.Spec_->LongRunning_)
    reserveNamed(X.State_, Call, W.Size_, X.Now_);
  P.AdviceInFlight_ = true;
  ++P.AdviceCalls_;
  if (P.AdviceAskedAt_ == TimePoint{})
    P.AdviceAskedAt_ = X.Now_;
  count(X.State_.Counters_, "advice-asked");
  X.Out_.Advice_.push_back(std::move(Call));
}

/// A step that no worker may run would wait for ever: the policy is asked anew
/// now and then.
void askAgainIfAllDenied(Pass &X, const WaitingStep &W) {
  constexpr Milliseconds Interval{4'000};
  Step &P = *W.Step_;
  if (P.Denied_.empty() || P.AdviceInFlight_ || X.Now_ < P.DeniedRecheckAt_)
    return;
  for (const OpenWorker &O : X.Open_)
    if (couldTake(*O.Worker_, W) && !P.Denied_.count(O.Worker_->Info_.Id_))
      return;
  if (P.DeniedRecheckAt_ != TimePoint{}) {
    count(X.State_.Counters_, "advice-all-denied");
    P.Denied_.clear();
  }
  P.DeniedRecheckAt_ = X.Now_ + Interval;
}

/// Large tasks wait for a worker to empty; small ones would fill it again and
/// again. At most a quarter of the workers are kept free for them.
bool mayReserve(const State &S, const WaitingStep &W, TimePoint Now) {
  constexpr std::size_t WorkersPerReserved = 4;
  std::int64_t Needed = W.Spec_->Size_.Accelerators_;
  if (Now > dueAt(*W.Job_, *W.Occurrence_) || Needed == 0)
    return false;
  std::set<std::string_view> Reserved;
  for (const Reservation &R : S.Reservations_)
    if (!(R.Step_ == W.Id_))
      Reserved.insert(R.Worker_);
  if ((Reserved.size() + 1) * WorkersPerReserved > S.Workers_.size())
    return false;
  return std::any_of(
      S.Workers_.begin(), S.Workers_.end(), [&](const auto &Row) {
        std::int64_t Has = Row.second.Info_.Capacity_.Accelerators_;
        return Has > 0 && Needed * 2 > Has;
      });
}

/// Whether nothing can be done for the step before the policy has answered.
bool awaitsAdvice(const WaitingStep &W, TimePoint Now) {
  if (!W.Step_->AdviceInFlight_ || !W.Job_->Queue_.Advice_ ||
      W.Spec_->LongRunning_ || W.Spec_->Size_.Accelerators_ > 0)
    return false;
  const auto &Permits = W.Step_->Permits_;
  return std::none_of(Permits.begin(), Permits.end(), [&](const auto &Row) {
    return Row.second.Until_ > Now + PermitMargin;
  });
}

void placeStep(Pass &X, const WaitingStep &W) {
  if (awaitsAdvice(W, X.Now_))
    return;
  const workflow::StepSpec &Spec = *W.Spec_;
  std::vector<std::uint32_t> Tasks = startable(*W.Step_, X.Now_);
  if (Tasks.empty() || (Spec.Gang_ && Tasks.size() < W.Step_->Tasks_.size()))
    return;
  std::vector<Candidate> All = candidates(X, W);
  if (All.empty()) {
    askAgainIfAllDenied(X, W);
    if (Spec.LongRunning_ || mayReserve(X.State_, W, X.Now_))
      reserveLargest(X, W);
    return;
  }
  std::vector<Candidate> Left = All;
  std::vector<Placed> Where = place(Spec, *W.Step_, Tasks, Left);
  bool Complete = Where.size() == Tasks.size();
  if (!Where.empty() && (Complete || !Spec.Gang_)) {
    startTasks(X, W, Where);
    dropReservations(X.State_, W.Id_);
  }
  if (!Complete)
    askForAdvice(
        X, W, Spec.Gang_ ? All : Left,
        std::uint32_t(Spec.Gang_ ? Tasks.size() : Tasks.size() - Where.size()));
}

/// Grows with the work of a pass, so that passes take a bounded share of time.
Milliseconds placementInterval(const State &S) {
  auto ForSteps = std::chrono::duration_cast<Milliseconds>(
      IntervalPerStep * std::int64_t(S.Waiting_.size()));
  return std::clamp(ForSteps, PlacementInterval, LongestInterval);
}

} // namespace

void placeTasks(State &S, TimePoint Now, Outbox &Out) {
  if (S.Behind_)
    return;
  if (Now < S.PlaceNotBefore_)
    return;
  bool Revisit =
      !S.Waiting_.empty() && Now >= S.PlaceNotBefore_ + RevisitInterval;
  if (!S.PlaceWanted_ && !Revisit)
    return;
  S.PlaceWanted_ = false;
  S.PlaceNotBefore_ = Now + placementInterval(S);
  std::erase_if(S.Reservations_,
                [&](const Reservation &R) { return Now > R.Until_; });
  Pass X = beginPass(S, Now, Out);
  for (const WaitingStep &W : orderWaiting(S, Now))
    placeStep(X, W);
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
    ++P->AdviceUnanswered_;
    count(S.Counters_, "advice-no-answer");
    P->AdviceNotBefore_ = Now + RetryInterval;
    return;
  }
  P->AdviceUnanswered_ = 0;
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
