/// Occurrences of jobs: which are open, and so held in memory.
#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// Tasks of open occurrences above which an owner opens no further ones of a
/// job that has some. A task takes about 1 KB.
constexpr std::size_t MaxOpenTasks = 20'000;

/// When a scheduled occurrence is due.
std::int64_t dueUnixMs(const workflow::WorkflowSpec &Spec,
                       std::uint32_t Number) {
  return Spec.FirstDueUnixMs_ + std::int64_t(Number) * Spec.IntervalMs_;
}

/// When an occurrence came due; at the earliest when the job was accepted.
TimePoint cameDueAt(const Job &J, std::uint32_t Number, TimePoint Now,
                    std::int64_t NowUnixMs) {
  if (J.Spec_.Repeats_ == 0)
    return J.AcceptedAt_;
  Milliseconds Age = ageOf(dueUnixMs(J.Spec_, Number), NowUnixMs);
  return std::max(J.AcceptedAt_, Now - Age);
}

Occurrence makeOccurrence(const workflow::WorkflowSpec &Spec,
                          std::uint32_t FirstRunNumber) {
  Occurrence O;
  for (const workflow::StepSpec &StepSpec : Spec.Steps_) {
    Step Step;
    Step.Tasks_.resize(StepSpec.Count_);
    for (Task &T : Step.Tasks_)
      T.LastRun_ = FirstRunNumber;
    O.Steps_.push_back(std::move(Step));
  }
  return O;
}

std::uint32_t firstRunNumber(const State &State, const Job &J) {
  return J.Inherited_ ? (State.Options_.Generation_ - 1) * RunsPerOwner : 0;
}

} // namespace

Milliseconds ageOf(std::int64_t SinceUnixMs, std::int64_t NowUnixMs) {
  constexpr std::int64_t MaxAgeMs = 120'000;
  return Milliseconds(
      std::clamp<std::int64_t>(NowUnixMs - SinceUnixMs, 0, MaxAgeMs));
}

Occurrence beginOccurrence(const State &State, const Job &J,
                           std::uint32_t Number, TimePoint Now,
                           std::int64_t NowUnixMs) {
  Occurrence O = makeOccurrence(J.Spec_, firstRunNumber(State, J));
  O.CameDueAt_ = cameDueAt(J, Number, Now, NowUnixMs);
  return O;
}

namespace {

bool isLasting(const workflow::WorkflowSpec &Spec) {
  return std::any_of(
      Spec.Steps_.begin(), Spec.Steps_.end(),
      [](const workflow::StepSpec &Step) { return Step.LongRunning_; });
}

bool hasWaitingStep(const State &State, const JobId &Id) {
  auto It = State.WaitingSteps_.lower_bound({Id, 0, 0});
  return It != State.WaitingSteps_.end() && It->Job_ == Id;
}

/// Whether the owner can hold one more occurrence of the job. Each job may have
/// one. Tasks that last never make room for another: the next one is opened
/// when all of them run.
bool canHoldAnother(const State &State, const Job &J) {
  if (J.Open_.empty() ||
      State.OpenTasks_ + workflow::taskCount(J.Spec_) <= MaxOpenTasks)
    return true;
  return isLasting(J.Spec_) && !hasWaitingStep(State, J.Id_);
}

bool isDue(const Job &J, std::int64_t NowUnixMs) {
  return J.Spec_.Repeats_ == 0 ||
         dueUnixMs(J.Spec_, J.NextOccurrence_) <= NowUnixMs;
}

} // namespace

void openOccurrence(State &State, Job &J, std::uint32_t Number, Occurrence O) {
  State.OpenTasks_ += workflow::taskCount(J.Spec_);
  J.Open_[Number] = std::move(O);
}

void dropOccurrence(State &State, Job &J, std::uint32_t Number) {
  if (J.Open_.erase(Number))
    State.OpenTasks_ -= workflow::taskCount(J.Spec_);
}

void eraseJob(State &State, const JobId &Id) {
  Job *J = findJob(State, Id);
  if (!J)
    return;
  State.OpenTasks_ -= J->Open_.size() * workflow::taskCount(J->Spec_);
  State.StoppingJobs_.erase(Id);
  State.Jobs_.erase(Id);
}

bool hasRuns(const Job &J) {
  for (const auto &[Number, O] : J.Open_)
    for (const Step &Step : O.Steps_)
      if (Step.RunCount_ > 0)
        return true;
  return false;
}

void dropStoppedOccurrences(State &State) {
  std::erase_if(State.StoppingJobs_, [&](const JobId &Id) {
    Job &J = State.Jobs_.at(Id);
    if (hasRuns(J))
      return false;
    State.OpenTasks_ -= J.Open_.size() * workflow::taskCount(J.Spec_);
    J.Open_.clear();
    return true;
  });
}

void openDueOccurrences(State &State, Job &J, TimePoint Now,
                        std::int64_t NowUnixMs) {
  std::uint32_t Count = workflow::occurrenceCount(J.Spec_);
  while (J.NextOccurrence_ < Count && isDue(J, NowUnixMs)) {
    if (!canHoldAnother(State, J)) {
      count(State.Counters_, "occurrence-held-back");
      break;
    }
    std::uint32_t Number = J.NextOccurrence_++;
    openOccurrence(State, J, Number,
                   beginOccurrence(State, J, Number, Now, NowUnixMs));
    markReadySteps(State, J, Number, Now);
  }
  if (J.NextOccurrence_ < Count)
    State.ScheduledJobs_.insert(J.Id_);
  else
    State.ScheduledJobs_.erase(J.Id_);
}

} // namespace pollenvale::scheduler::detail
