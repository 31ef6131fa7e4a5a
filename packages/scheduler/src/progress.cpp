/// Progress of jobs as stored, and its restoration by a new owner.
#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

bool isComplete(const Job &J) {
  return J.Open_.empty() &&
         J.NextOccurrence_ >= workflow::occurrenceCount(J.Spec_);
}

workflow::StepProgress makeStepProgress(const Step &Step) {
  workflow::StepProgress Out;
  for (std::uint32_t I = 0; I < Step.Tasks_.size(); ++I) {
    const Task &T = Step.Tasks_[I];
    Out.Done_.push_back(T.Done_);
    if (!T.FailedRuns_.empty())
      Out.Failures_.push_back({I, T.FailedRuns_});
  }
  return Out;
}

void loadStepProgress(Step &Step, const workflow::StepProgress &Stored) {
  for (std::size_t I = 0; I < Step.Tasks_.size() && I < Stored.Done_.size();
       ++I)
    if (Stored.Done_[I]) {
      Step.Tasks_[I].Done_ = true;
      ++Step.DoneCount_;
    }
  for (const workflow::TaskFailures &F : Stored.Failures_) {
    if (F.Index_ >= Step.Tasks_.size() || F.Runs_.empty())
      continue;
    Task &T = Step.Tasks_[F.Index_];
    T.FailedRuns_ = F.Runs_;
    T.LastRun_ = std::max(T.LastRun_, *F.Runs_.rbegin());
  }
}

} // namespace

void markDirty(State &State, const Job &J) {
  State.DirtyProgress_.insert({J.Id_, std::nullopt});
}

void markDirty(State &State, const Job &J, std::uint32_t Occurrence) {
  if (workflow::isRepeated(J.Spec_))
    State.DirtyProgress_.insert({J.Id_, Occurrence});
  // An occurrence is stored only after the record of the job lists it as open.
  if (!J.StoredOccurrences_.count(Occurrence))
    markDirty(State, J);
}

workflow::Progress makeProgress(const Job &J) {
  workflow::Progress Out;
  Out.State_ = int(J.State_);
  Out.DoneBefore_ = J.NextOccurrence_;
  if (workflow::isClosed(J.State_))
    return Out;
  for (const auto &[Number, O] : J.Open_)
    if (workflow::isRepeated(J.Spec_))
      Out.Open_.push_back({Number, {}});
    else
      Out.Open_.push_back(makeOccurrenceProgress(J, Number));
  return Out;
}

workflow::OccurrenceProgress makeOccurrenceProgress(const Job &J,
                                                    std::uint32_t Number) {
  workflow::OccurrenceProgress Out;
  Out.Number_ = Number;
  for (const Step &Step : J.Open_.at(Number).Steps_)
    Out.Steps_.push_back(makeStepProgress(Step));
  return Out;
}

namespace {

/// Has the records of finished occurrences removed that the former owner left
/// in the store.
void markFinishedOccurrences(State &State, const Job &J) {
  for (std::uint32_t Number : J.StoredOccurrences_)
    if (workflow::isClosed(J.State_) || !J.Open_.count(Number))
      markDirty(State, J, Number);
}

/// Has the progress of occurrences that an earlier build stored in the record
/// of the job written to records of their own.
void moveInlineProgress(State &State, Job &J,
                        const workflow::Progress &Stored) {
  if (!workflow::isRepeated(J.Spec_))
    return;
  for (const workflow::OccurrenceProgress &O : Stored.Open_) {
    if (O.Steps_.empty())
      continue;
    J.StoredOccurrences_.insert(O.Number_);
    markDirty(State, J, O.Number_);
  }
}

/// Steps of an occurrence as stored in the record of the job, or else in that
/// of the occurrence.
std::vector<workflow::StepProgress>
storedSteps(State &State, const ledger::ReplicatedJob &Row,
            const workflow::OccurrenceProgress &Listed) {
  auto Apart = Row.Occurrences_.find(Listed.Number_);
  if (!Listed.Steps_.empty() || Apart == Row.Occurrences_.end())
    return Listed.Steps_;
  auto Parsed = ledger::parseOccurrence(Apart->second.Value_);
  if (!Parsed) {
    count(State.Counters_, "occurrence-unreadable");
    return {};
  }
  return std::move(Parsed->Steps_);
}

} // namespace

void loadProgress(State &State, Job &J, const ledger::ReplicatedJob &Row,
                  TimePoint Now, std::int64_t NowUnixMs) {
  const workflow::Progress &Progress = Row.Progress_;
  for (const auto &[Number, Stored] : Row.Occurrences_)
    J.StoredOccurrences_.insert(Number);
  J.State_ = Progress.state();
  J.NextOccurrence_ = Progress.DoneBefore_;
  if (workflow::isClosed(J.State_)) {
    J.ClosedAt_ = Now;
    markFinishedOccurrences(State, J);
    return;
  }
  for (const workflow::OccurrenceProgress &Stored : Progress.Open_) {
    Occurrence O = beginOccurrence(State, J, Stored.Number_, Now, NowUnixMs);
    std::vector<workflow::StepProgress> Steps = storedSteps(State, Row, Stored);
    for (std::size_t I = 0; I < O.Steps_.size() && I < Steps.size(); ++I) {
      loadStepProgress(O.Steps_[I], Steps[I]);
      O.StepsDone_ += O.Steps_[I].DoneCount_ == O.Steps_[I].Tasks_.size();
    }
    openOccurrence(State, J, Stored.Number_, std::move(O));
  }
  moveInlineProgress(State, J, Progress);
  markFinishedOccurrences(State, J);
  std::vector<std::uint32_t> Numbers;
  for (const auto &[Number, O] : J.Open_)
    Numbers.push_back(Number);
  for (std::uint32_t Number : Numbers)
    if (J.Open_.count(Number))
      markReadySteps(State, J, Number, Now);
  if (!workflow::isClosed(J.State_) && J.NextOccurrence_ > 0 && isComplete(J))
    closeJob(State, J, workflow::JobState::Completed, Now);
}

} // namespace pollenvale::scheduler::detail
