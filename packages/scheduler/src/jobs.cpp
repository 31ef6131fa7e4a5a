#include "scheduler/detail/tasks.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace pollenvale::scheduler {

using workflow::JobState;

namespace detail {

namespace {

/// Runs of inherited tasks are numbered from here, times the number of owners
/// before, so that no number is used twice.
constexpr std::uint32_t RunsPerOwner = 1'000;

/// Wall clocks of two VMs may differ; only a plausible age is believed.
Milliseconds ageOf(std::int64_t SinceUnixMs, std::int64_t NowUnixMs) {
  constexpr std::int64_t MaxAgeMs = 120'000;
  return Milliseconds(
      std::clamp<std::int64_t>(NowUnixMs - SinceUnixMs, 0, MaxAgeMs));
}

std::int64_t dueUnixMs(const workflow::WorkflowSpec &Spec,
                       std::uint32_t Number) {
  return Spec.FirstDueUnixMs_ + std::int64_t(Number) * Spec.IntervalMs_;
}

/// When an occurrence came due, but not before the job was accepted.
TimePoint cameDueAt(const Job &J, std::uint32_t Number, TimePoint Now,
                    std::int64_t NowUnixMs) {
  if (J.Spec_.Repeats_ == 0)
    return J.AcceptedAt_;
  Milliseconds Age = ageOf(dueUnixMs(J.Spec_, Number), NowUnixMs);
  return std::max(J.AcceptedAt_, Now - Age);
}

Occurrence makeOccurrence(const workflow::WorkflowSpec &Spec,
                          std::uint32_t FirstRun) {
  Occurrence O;
  for (const workflow::StepSpec &StepSpec : Spec.Steps_) {
    Step P;
    P.Tasks_.resize(StepSpec.Count_);
    for (Task &T : P.Tasks_)
      T.LastRun_ = FirstRun;
    O.Steps_.push_back(std::move(P));
  }
  return O;
}

std::uint32_t firstRun(const State &S, const Job &J) {
  return J.Inherited_ ? (S.Options_.Generation_ - 1) * RunsPerOwner : 0;
}

bool isComplete(const Job &J) {
  return J.Open_.empty() &&
         J.NextOccurrence_ >= workflow::occurrenceCount(J.Spec_);
}

workflow::StepProgress saveStep(const Step &P) {
  workflow::StepProgress Out;
  for (std::uint32_t I = 0; I < P.Tasks_.size(); ++I) {
    const Task &T = P.Tasks_[I];
    Out.Done_.push_back(T.Done_);
    if (!T.FailedRuns_.empty())
      Out.Failures_.push_back({I, T.FailedRuns_});
  }
  return Out;
}

void loadStep(Step &P, const workflow::StepProgress &Stored) {
  for (std::size_t I = 0; I < P.Tasks_.size() && I < Stored.Done_.size(); ++I)
    if (Stored.Done_[I]) {
      P.Tasks_[I].Done_ = true;
      ++P.DoneCount_;
    }
  for (const workflow::TaskFailures &F : Stored.Failures_)
    if (F.Index_ < P.Tasks_.size())
      P.Tasks_[F.Index_].FailedRuns_ = F.Runs_;
}

} // namespace

void markDirty(State &S, Job &J) {
  J.Dirty_ = true;
  S.Dirty_.insert(J.Id_);
}

void closeJob(State &S, Job &J, JobState State, TimePoint Now) {
  if (workflow::isClosed(J.State_))
    return;
  J.State_ = State;
  J.ClosedAt_ = Now;
  S.Closed_.push_back(J.Id_);
  S.Scheduled_.erase(J.Id_);
  count(S.Counters_, "job-" + std::string(workflow::toString(State)));
  markDirty(S, J);
  for (auto &[Number, O] : J.Open_)
    for (std::uint32_t P = 0; P < O.Steps_.size(); ++P) {
      StepId Id{J.Id_, Number, P};
      S.Waiting_.erase(Id);
      for (std::uint32_t I = 0; I < O.Steps_[P].Tasks_.size(); ++I)
        stopRun(S, {Id, I});
    }
}

void releaseSteps(State &S, Job &J, std::uint32_t Number, TimePoint Now) {
  Occurrence &O = J.Open_.at(Number);
  if (O.StepsDone_ == O.Steps_.size()) {
    bool Idle = std::all_of(O.Steps_.begin(), O.Steps_.end(),
                            [](const Step &P) { return P.RunCount_ == 0; });
    // Gang members whose own end is still to be listed keep it open.
    if (Idle || J.Open_.size() == 1) {
      if (J.Open_.size() == 1 &&
          J.NextOccurrence_ >= workflow::occurrenceCount(J.Spec_))
        closeJob(S, J, JobState::Completed, Now);
      else if (Idle)
        J.Open_.erase(Number);
    }
    return;
  }
  for (std::uint32_t P = 0; P < O.Steps_.size(); ++P) {
    Step &X = O.Steps_[P];
    if (X.Ready_)
      continue;
    const auto &After = J.Spec_.Steps_[P].DependsOn_;
    X.Ready_ = std::all_of(After.begin(), After.end(), [&](std::uint32_t E) {
      return O.Steps_[E].DoneCount_ == O.Steps_[E].Tasks_.size();
    });
    if (!X.Ready_)
      continue;
    X.ReadyAt_ = Now;
    refreshWaiting(S, {J.Id_, Number, P});
  }
}

void openDueOccurrences(State &S, Job &J, TimePoint Now,
                        std::int64_t NowUnixMs) {
  const workflow::WorkflowSpec &Spec = J.Spec_;
  while (J.NextOccurrence_ < workflow::occurrenceCount(Spec)) {
    if (Spec.Repeats_ > 0 && dueUnixMs(Spec, J.NextOccurrence_) > NowUnixMs)
      break;
    std::uint32_t Number = J.NextOccurrence_++;
    Occurrence &O = J.Open_[Number] = makeOccurrence(Spec, firstRun(S, J));
    O.CameDueAt_ = cameDueAt(J, Number, Now, NowUnixMs);
    releaseSteps(S, J, Number, Now);
  }
  if (J.NextOccurrence_ < workflow::occurrenceCount(Spec))
    S.Scheduled_.insert(J.Id_);
  else
    S.Scheduled_.erase(J.Id_);
}

workflow::Progress makeProgress(const Job &J) {
  workflow::Progress Out;
  Out.State_ = int(J.State_);
  Out.DoneBefore_ = J.NextOccurrence_;
  if (workflow::isClosed(J.State_))
    return Out;
  for (const auto &[Number, O] : J.Open_) {
    workflow::OccurrenceProgress Stored;
    Stored.Number_ = Number;
    for (const Step &P : O.Steps_)
      Stored.Steps_.push_back(saveStep(P));
    Out.Open_.push_back(std::move(Stored));
  }
  return Out;
}

void loadProgress(State &S, Job &J, const workflow::Progress &P, TimePoint Now,
                  std::int64_t NowUnixMs) {
  J.State_ = P.state();
  J.NextOccurrence_ = P.DoneBefore_;
  if (workflow::isClosed(J.State_)) {
    J.ClosedAt_ = Now;
    return;
  }
  for (const workflow::OccurrenceProgress &Stored : P.Open_) {
    Occurrence O = makeOccurrence(J.Spec_, firstRun(S, J));
    O.CameDueAt_ = cameDueAt(J, Stored.Number_, Now, NowUnixMs);
    for (std::size_t I = 0; I < O.Steps_.size() && I < Stored.Steps_.size();
         ++I) {
      loadStep(O.Steps_[I], Stored.Steps_[I]);
      O.StepsDone_ += O.Steps_[I].DoneCount_ == O.Steps_[I].Tasks_.size();
    }
    J.Open_[Stored.Number_] = std::move(O);
  }
  std::vector<std::uint32_t> Numbers;
  for (const auto &[Number, O] : J.Open_)
    Numbers.push_back(Number);
  for (std::uint32_t Number : Numbers)
    if (J.Open_.count(Number))
      releaseSteps(S, J, Number, Now);
  if (!workflow::isClosed(J.State_) && J.NextOccurrence_ > 0 && isComplete(J))
    closeJob(S, J, JobState::Completed, Now);
}

} // namespace detail

void onJob(State &S, const JobId &Id, const ledger::JobRow &Row, bool Inherited,
           TimePoint Now, std::int64_t NowUnixMs) {
  if (S.Jobs_.count(Id))
    return;
  Job &J = S.Jobs_[Id];
  J.Id_ = Id;
  J.Spec_ = Row.Accepted_.Spec_;
  J.Queue_ = Row.Accepted_.Queue_;
  if (const workflow::Queue *Q =
          workflow::findQueue(S.Catalog_, J.Queue_.Name_))
    J.Queue_ = *Q;
  J.Inherited_ = Inherited;
  J.AcceptedAt_ = Now;
  if (Inherited)
    J.AcceptedAt_ -= detail::ageOf(Row.Accepted_.AcceptedUnixMs_, NowUnixMs);
  double Chain = double(workflow::longestChain(J.Spec_).count());
  J.Objective_ = Milliseconds(std::int64_t(Chain * J.Queue_.Stretch_)) +
                 Milliseconds(J.Queue_.SlackMs_);
  detail::loadProgress(S, J, Row.Progress_, Now, NowUnixMs);
  if (workflow::isClosed(J.State_))
    return;
  if (Row.Cancelled_) {
    detail::closeJob(S, J, JobState::Cancelled, Now);
    return;
  }
  detail::openDueOccurrences(S, J, Now, NowUnixMs);
}

void onCancel(State &S, const JobId &Id, TimePoint Now) {
  if (Job *J = detail::findJob(S, Id))
    detail::closeJob(S, *J, JobState::Cancelled, Now);
}

void onCatalog(State &S, const workflow::Catalog &C) {
  S.Catalog_ = C;
  for (auto &[Id, J] : S.Jobs_)
    if (const workflow::Queue *Q = workflow::findQueue(C, J.Queue_.Name_))
      J.Queue_ = *Q;
  S.PlaceWanted_ = true;
}

} // namespace pollenvale::scheduler
