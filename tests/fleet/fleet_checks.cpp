/// \file
/// The invariants of a FleetCell.
#include "fleet/fleet_cell.hpp"

#include <algorithm>

namespace pollenvale::fleettest {

namespace {

/// No task of a job may start later than this after its cancellation.
constexpr Milliseconds CancelBound{3'000};

} // namespace

void FleetCell::note(const std::string &What) {
  Trace_.push_back(std::to_string(elapsed(TimePoint{}, Now_).count()) + " " +
                   What);
}

void FleetCell::broken(const std::string &What) {
  Broken_.push_back(std::to_string(elapsed(TimePoint{}, Now_).count()) + " " +
                    What);
}

TimePoint FleetCell::contactOf(Token T) const {
  TimePoint Out{};
  for (const auto &O : Owners_)
    if (O->Token_ <= T)
      Out = O->StoreContactAt_;
  return Out;
}

void FleetCell::checkStart(const scheduler::StartCall &C) {
  std::string Name = workflow::toString(C.Task_) + "#" +
                     std::to_string(C.Run_) + "@" + C.Target_.Worker_;
  Starts_.push_back(Name);
  note("start " + Name + " token " + std::to_string(C.Target_.Token_));
  LastStart_[C.Task_] = Now_;
  if (isEndReported(C.Task_))
    broken("started after a worker reported it as done " + Name);
  if (whereIs(C.Task_).size() > 1)
    broken("twice at once " + Name);
  ledger::Replica Now = stored();
  const ledger::ReplicatedJob &Row = Now.Jobs_.at(C.Task_.Step_.Job_);
  auto Cancelled = CancelledAt_.find(C.Task_.Step_.Job_);
  if (Cancelled != CancelledAt_.end() &&
      Now_ - Cancelled->second > CancelBound &&
      contactOf(C.Target_.Token_) > Cancelled->second)
    broken("started after cancel " + Name);
  for (workflow::OccurrenceProgress O : Row.Progress_.Open_) {
    auto Apart = Row.Occurrences_.find(O.Number_);
    if (O.Steps_.empty() && Apart != Row.Occurrences_.end())
      O = *ledger::parseOccurrence(Apart->second.Value_);
    if (O.Number_ != C.Task_.Step_.Occurrence_ ||
        C.Task_.Step_.Step_ >= O.Steps_.size())
      continue;
    const workflow::StepProgress &P = O.Steps_[C.Task_.Step_.Step_];
    // A start in flight when the task's end became known may still be executed:
    // then the end is not acknowledged.
    if (P.Done_[C.Task_.Index_] && isEndAcked(C.Task_))
      broken("started after done " + Name);
    for (const workflow::TaskFailures &F : P.Failures_)
      if (F.Index_ == C.Task_.Index_ &&
          F.Runs_.size() >= Row.Accepted_.Queue_.MaxAttempts_)
        broken("started after its attempts " + Name);
  }
}

void FleetCell::recordAckedEnds(FakeWorker &W) {
  for (const EndedTask &End : std::exchange(W.AckedEnds_, {})) {
    auto EndedAt = W.EndedAt_.find(End.Number_);
    if (End.Kind_ != EndKind::Done || EndedAt == W.EndedAt_.end() ||
        W.LeaseLapsedAt_ > EndedAt->second)
      continue;
    AckedEnds_.insert(End.Task_);
    if (LastStart_[End.Task_] > EndedAt->second)
      broken("started after its end, which is acknowledged " +
             workflow::toString(End.Task_));
  }
}

bool FleetCell::isEndAcked(const TaskId &Id) {
  if (!taskTraits().IsGang_(Id))
    return AckedEnds_.count(Id) > 0;
  return std::any_of(
      AckedEnds_.begin(), AckedEnds_.end(),
      [&](const TaskId &Each) { return Each.Step_ == Id.Step_; });
}

bool FleetCell::isEndReported(const TaskId &Id) const {
  auto It = ReportedEnds_.find(Id);
  return It != ReportedEnds_.end() &&
         Workers_.at(It->second.Worker_).Info_.StartedUnixMs_ ==
             It->second.Incarnation_;
}

void FleetCell::recordReportedEnds(const Owner &O, const WorkerId &Id,
                                   const scheduler::RenewReply &Reply) {
  const FakeWorker &W = Workers_.at(Id);
  if (!O.Alive_)
    return;
  for (const EndedTask &End : Reply.Ended_) {
    auto EndedAt = W.EndedAt_.find(End.Number_);
    if (End.Kind_ != EndKind::Done || EndedAt == W.EndedAt_.end() ||
        W.LeaseLapsedAt_ > EndedAt->second || isEndReported(End.Task_))
      continue;
    ReportedEnds_[End.Task_] = {Id, W.Info_.StartedUnixMs_};
    if (LastStart_[End.Task_] > EndedAt->second)
      broken("started after its end " + workflow::toString(End.Task_));
  }
}

void FleetCell::forgetReportedEnds(const WorkerId &Id) {
  std::erase_if(ReportedEnds_,
                [&](const auto &R) { return R.second.Worker_ == Id; });
}

namespace {

struct GangMember {
  FakeWorker *Worker_ = nullptr;
  TaskId Task_;
};

/// Members of one run of a gang.
struct GangRun {
  std::vector<GangMember> Members_;
  bool Working_ = false;
};

} // namespace

void FleetCell::joinGangs() {
  std::map<std::pair<workflow::StepId, std::uint32_t>, GangRun> Gangs;
  for (auto &[Name, W] : Workers_)
    for (auto &[Id, R] : W.Runs_)
      if (R.Gang_ && W.Alive_) {
        GangRun &G = Gangs[{Id.Step_, R.Number_}];
        G.Members_.push_back({&W, Id});
        G.Working_ = G.Working_ || R.WorkStartedAt_;
      }
  for (auto &[Key, G] : Gangs) {
    const auto &[Step, Number] = Key;
    bool All =
        G.Members_.size() == Specs_.at(Step.Job_).Steps_[Step.Step_].Count_;
    Fate F = All && !G.Working_ ? FateOf_({Step, 0}, Number) : Fate{};
    for (auto &[W, Id] : G.Members_) {
      FakeRun &R = W->Runs_.at(Id);
      if (All && !R.WorkStartedAt_) {
        R.WorkStartedAt_ = Now_;
        R.Fate_ = F;
      } else if (!All && G.Working_) {
        end(*W, Id, EndKind::GangBroken, Now_);
      }
    }
  }
}

void FleetCell::checkWorkers() {
  for (auto &[Id, W] : Workers_)
    if (W.Alive_)
      advance(W, Now_);
  joinGangs();
  for (auto &[Id, W] : Workers_) {
    if (!W.Alive_ || W.Cut_)
      forgetReportedEnds(Id);
    if (!W.Alive_)
      continue;
    advance(W, Now_);
    recordAckedEnds(W);
    Resources Used;
    for (const auto &[Task, R] : W.Runs_)
      Used += R.Size_;
    if (!fits(Used, W.Info_.Capacity_))
      broken("over capacity " + Id);
    for (const EndedTask &End : std::exchange(W.LostEnds_, {}))
      broken("acknowledged before it was listed " +
             workflow::toString(End.Task_) + " at " + Id);
  }
}

} // namespace pollenvale::fleettest
