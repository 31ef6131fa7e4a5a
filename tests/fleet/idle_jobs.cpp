#include "fleet/idle_jobs.hpp"

namespace pollenvale::fleettest {

using workflow::StepId;
using workflow::StepSpec;

namespace {

/// How long a job may have nothing running although it could.
constexpr Milliseconds IdleLimit{3'000};
/// Jobs are judged from this long after the end of the traffic.
constexpr Milliseconds FinishTime{14'000};
/// Tasks that last are judged from this long after their last run.
constexpr Milliseconds RestartTime{6'000};
/// They are judged at any time that has been calm for this long before the
/// time in which they are down.
constexpr Milliseconds CalmTime{4'000};
/// There must be room for this many times what is waiting.
constexpr std::uint64_t RoomFactor = 2;

bool acceptsTasks(const FakeWorker &W) {
  return W.Alive_ && W.Listed_ && !W.Cut_ && !W.Info_.Draining_;
}

Resources usedOn(const FakeWorker &W) {
  Resources Used;
  for (const auto &[Id, R] : W.Runs_)
    Used += R.Size_;
  return Used;
}

bool isHalfUsed(const FleetCell &C) {
  Resources Used, All;
  for (const auto &[Id, W] : C.Workers_) {
    if (!acceptsTasks(W))
      continue;
    Used += usedOn(W);
    All += W.Info_.Capacity_;
  }
  return Used.Cpu_ * 2 >= All.Cpu_ || Used.Memory_ * 2 >= All.Memory_ ||
         (All.Accelerators_ > 0 && Used.Accelerators_ * 2 >= All.Accelerators_);
}

std::uint64_t roomOn(const FakeWorker &W, const StepId &Id,
                     const StepSpec &Spec) {
  Resources Size = workflow::chargedSize(Spec);
  Resources Free = W.Info_.Capacity_ - usedOn(W);
  std::uint64_t There = 0, Fitting = 0;
  for (const auto &[Task, R] : W.Runs_)
    There += Task.Step_ == Id;
  while (Fitting < RoomFactor * Spec.Count_ && fits(Size, Free)) {
    ++Fitting;
    Free -= Size;
  }
  if (Spec.MaxPerWorker_ == 0)
    return Fitting;
  std::uint64_t Limit =
      Spec.MaxPerWorker_ - std::min<std::uint64_t>(There, Spec.MaxPerWorker_);
  return std::min(Fitting, Limit);
}

/// Whether one task of the step, or its whole gang, would fit twice.
bool fitsTwice(const FleetCell &C, const StepId &Id, const StepSpec &Spec,
               const workflow::Queue &Queue) {
  std::uint64_t Room = 0;
  for (const auto &[Name, W] : C.Workers_) {
    bool Labelled = Spec.RequiredLabel_.empty() ||
                    W.Info_.Labels_.count(Spec.RequiredLabel_);
    bool Permitted = !Queue.Advice_ || C.allows(Id, Name);
    if (acceptsTasks(W) && Labelled && Permitted)
      Room += roomOn(W, Id, Spec);
  }
  return Room >= RoomFactor * (Spec.Gang_ ? Spec.Count_ : 1);
}

/// Which tasks of the step are done, as far as that is stored.
std::vector<bool> doneTasks(const ledger::ReplicatedJob &Row,
                            std::uint32_t Step) {
  std::vector<bool> Done(Row.Accepted_.Spec_.Steps_[Step].Count_);
  for (const workflow::OccurrenceProgress &O : Row.Progress_.Open_)
    if (Step < O.Steps_.size())
      for (std::size_t I = 0; I < Done.size(); ++I)
        Done[I] = O.Steps_[Step].Done_[I];
  return Done;
}

bool isDone(const ledger::ReplicatedJob &Row, std::uint32_t Step) {
  std::vector<bool> Done = doneTasks(Row, Step);
  return std::find(Done.begin(), Done.end(), false) == Done.end();
}

bool hasTurn(const ledger::ReplicatedJob &Row, std::uint32_t Step) {
  const auto &After = Row.Accepted_.Spec_.Steps_[Step].DependsOn_;
  return !isDone(Row, Step) &&
         std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
           return isDone(Row, Earlier);
         });
}

bool runsAny(const FleetCell &C, const JobId &Id) {
  for (const auto &[Name, W] : C.Workers_)
    for (const auto &[Task, R] : W.Runs_)
      if (W.Alive_ && Task.Step_.Job_ == Id)
        return true;
  return false;
}

bool couldRun(const FleetCell &C, const JobId &Id,
              const ledger::ReplicatedJob &Row) {
  const auto &Steps = Row.Accepted_.Spec_.Steps_;
  for (std::uint32_t Step = 0; Step < Steps.size(); ++Step)
    if (hasTurn(Row, Step) &&
        fitsTwice(C, {Id, 0, Step}, Steps[Step], Row.Accepted_.Queue_))
      return true;
  return false;
}

/// Notes whether \p Key is idle; returns since when.
template <class Key>
TimePoint noteIdle(std::map<Key, TimePoint> &Since, const Key &Id, bool Idle,
                   TimePoint Now) {
  if (!Idle)
    Since.erase(Id);
  return Idle ? Since.try_emplace(Id, Now).first->second : Now;
}

void report(IdleJobs &Seen, FleetCell &C, const std::string &Name,
            TimePoint Since) {
  if (!Seen.Reported_.insert(Name).second)
    return;
  C.Broken_.push_back(std::to_string(elapsed(TimePoint{}, C.Now_).count()) +
                      " could run and doesn't since " +
                      std::to_string(elapsed(TimePoint{}, Since).count()) +
                      " " + Name);
}

void checkJob(IdleJobs &Seen, FleetCell &C, const JobId &Id,
              const ledger::ReplicatedJob &Row, bool HalfUsed) {
  bool Judged = C.Now_ >= Seen.TrafficEndedAt_ + FinishTime;
  bool Idle = Judged && !HalfUsed && !runsAny(C, Id) && couldRun(C, Id, Row);
  TimePoint Since = noteIdle(Seen.IdleSince_, Id, Idle, C.Now_);
  if (C.Now_ - Since >= IdleLimit)
    report(Seen, C, Id, Since);
}

void checkLastingTask(IdleJobs &Seen, FleetCell &C, const TaskId &Id,
                      const StepSpec &Spec, const workflow::Queue &Queue) {
  TimePoint &LastRunAt = Seen.LastRunAt_.try_emplace(Id, C.Now_).first->second;
  if (!C.whereIs(Id).empty())
    LastRunAt = C.Now_;
  bool Judged =
      C.Now_ >= LastRunAt + RestartTime && C.Now_ >= Seen.CalmSince_ + CalmTime;
  bool Idle = Judged && fitsTwice(C, Id.Step_, Spec, Queue);
  TimePoint Since = noteIdle(Seen.DownSince_, Id, Idle, C.Now_);
  if (C.Now_ - Since >= IdleLimit)
    report(Seen, C, workflow::toString(Id), Since);
}

} // namespace

void checkIdleJobs(IdleJobs &Seen, FleetCell &C) {
  ledger::Replica Copy = C.stored();
  bool HalfUsed = isHalfUsed(C);
  for (const auto &[Id, Row] : Copy.Jobs_) {
    if (workflow::isClosed(ledger::effectiveState(Row)))
      continue;
    checkJob(Seen, C, Id, Row, HalfUsed);
    const auto &Steps = Row.Accepted_.Spec_.Steps_;
    for (std::uint32_t Step = 0; Step < Steps.size(); ++Step)
      for (std::uint32_t I = 0; I < Steps[Step].Count_; ++I)
        if (Steps[Step].LongRunning_ && hasTurn(Row, Step))
          checkLastingTask(Seen, C, {{Id, 0, Step}, I}, Steps[Step],
                           Row.Accepted_.Queue_);
  }
}

} // namespace pollenvale::fleettest
