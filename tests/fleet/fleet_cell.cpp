#include "fleet/fleet_cell.hpp"

#include <algorithm>

namespace pollenvale::fleettest {

namespace {

constexpr Milliseconds TickInterval{20};
/// An owner stops sending orders this long after its last contact to the store
/// and after its newest stored heartbeat.
constexpr Milliseconds SelfFence{4'000};
constexpr Milliseconds HeartbeatInterval{600};

} // namespace

workflow::StepSpec plainStep(std::uint32_t Count) {
  workflow::StepSpec S;
  S.Count_ = Count;
  S.Size_ = {1'000, 100, 0};
  S.EstimateMs_ = 200;
  return S;
}

workflow::WorkflowSpec plainJob(std::vector<workflow::StepSpec> Steps) {
  workflow::WorkflowSpec Spec;
  Spec.Payload_ = "work";
  Spec.Steps_ = std::move(Steps);
  return Spec;
}

FakeWorker &FleetCell::addWorker(const WorkerId &Id, Resources Capacity) {
  FakeWorker &W = Workers_[Id];
  W.Info_.Id_ = Id;
  W.Info_.Address_ = Id + ":1";
  W.Info_.Service_ = "s";
  W.Info_.Capacity_ = Capacity;
  W.Info_.StartedUnixMs_ = std::int64_t(NextStart_++);
  W.ClockShift_ = Milliseconds(std::int64_t(Random_.below(100'000)));
  for (auto &O : Owners_)
    scheduler::onWorker(O->State_, W.Info_, Now_);
  return W;
}

void FleetCell::addPlainQueue() {
  workflow::Queue Q;
  Q.Name_ = "q";
  Q.Service_ = "s";
  Q.MaxAttempts_ = 3;
  Q.Stretch_ = 2;
  Q.SlackMs_ = 500;
  addQueue(Q);
}

void FleetCell::submit(const JobId &Job, workflow::WorkflowSpec Spec) {
  submitTo(Catalog_.Queues_.front().Name_, Job, std::move(Spec));
}

void FleetCell::submitTo(const std::string &Queue, const JobId &Job,
                         workflow::WorkflowSpec Spec) {
  Specs_.emplace(Job, Spec);
  ledger::AcceptedJob Record{*workflow::findQueue(Catalog_, Queue), 0,
                             std::move(Spec)};
  append(ledger::makeJob(Job, Record));
}

void FleetCell::append(ledger::KeyedRecord R) {
  R.Offset_ = Store_.size();
  Store_.push_back(std::move(R));
  StoredAt_.push_back(Now_);
}

void FleetCell::cancel(const JobId &Job) {
  append(ledger::makeCancel(Job));
  CancelledAt_.emplace(Job, Now_);
}

void FleetCell::beginBusy(std::uint32_t Tasks, Milliseconds RunTime,
                          Milliseconds HeadStart) {
  setRunTime(RunTime);
  takeOver();
  submit("j1", plainJob({plainStep(Tasks)}));
  run(HeadStart);
}

void FleetCell::killOwner() { owner().Alive_ = false; }

void FleetCell::restartWorker(const WorkerId &Id, Milliseconds RegistryDelay) {
  FakeWorker &W = Workers_.at(Id);
  restart(W, W.Info_.StartedUnixMs_ + 1'000, Now_);
  at(Now_ + RegistryDelay, [this, Id, Info = W.Info_] {
    const FakeWorker &W = Workers_.at(Id);
    if (!W.Alive_ || W.Info_.StartedUnixMs_ != Info.StartedUnixMs_)
      return;
    note("registered " + Id);
    for (auto &O : Owners_)
      scheduler::onWorker(O->State_, W.Info_, Now_);
  });
}

void FleetCell::takeDown(const WorkerId &Id) {
  FakeWorker &W = Workers_.at(Id);
  W.Alive_ = false;
  W.Runs_.clear();
  forgetReportedEnds(Id);
  Waiting_.try_emplace(Id);
}

void FleetCell::comeBack(const WorkerId &Id, Milliseconds RegistryDelay) {
  Workers_.at(Id).Alive_ = true;
  restartWorker(Id, RegistryDelay);
  auto Calls = Waiting_.extract(Id);
  for (const auto &Call : Calls.mapped())
    at(Now_ + randomTripTime(), Call);
}

void FleetCell::deliver(const WorkerId &Id, std::function<void()> Call) {
  if (auto It = Waiting_.find(Id); It != Waiting_.end())
    It->second.push_back(std::move(Call));
  else if (reaches(Id))
    Call();
}

void FleetCell::cutOff(const WorkerId &Id, Milliseconds RegistryDelay) {
  Workers_.at(Id).Cut_ = true;
  at(Now_ + RegistryDelay, [this, Id] {
    if (Workers_.at(Id).Cut_)
      dropFromRegistry(Id);
  });
}

void FleetCell::reconnect(const WorkerId &Id) {
  FakeWorker &W = Workers_.at(Id);
  W.Cut_ = false;
  W.Listed_ = true;
  for (auto &O : Owners_)
    scheduler::onWorker(O->State_, W.Info_, Now_);
}

void FleetCell::drain(const WorkerId &Id) {
  FakeWorker &W = Workers_.at(Id);
  W.Info_.Draining_ = true;
  for (auto &O : Owners_)
    scheduler::onWorker(O->State_, W.Info_, Now_);
}

void FleetCell::leave(const WorkerId &Id) {
  crash(Id, Milliseconds(0));
  dropFromRegistry(Id);
}

void FleetCell::crash(const WorkerId &Id, Milliseconds RegistryDelay) {
  FakeWorker &W = Workers_.at(Id);
  W.Alive_ = false;
  W.Runs_.clear();
  forgetReportedEnds(Id);
  if (RegistryDelay.count() > 0)
    at(Now_ + RegistryDelay, [this, Id] { dropFromRegistry(Id); });
}

void FleetCell::dropFromRegistry(const WorkerId &Id) {
  Workers_.at(Id).Listed_ = false;
  for (auto &O : Owners_)
    scheduler::onWorkerGone(O->State_, Id, Now_);
}

void FleetCell::setInheritedLeasesEnd(const Owner &O, scheduler::Options &Opt) {
  constexpr Milliseconds Margin{400};
  auto End = [&](Milliseconds Longest, Milliseconds AfterFence) {
    return ownership::inheritedLeasesEnd(
        O.Claim_, O.InheritedRoster_.Roster_,
        {Longest + Margin, AfterFence + Margin}, SelfFence);
  };
  Milliseconds Misread = scheduler::longestOnClock(Opt.MaxLease_);
  Opt.InheritedLeasesEndAt_ = End(Opt.OutageLease_, Opt.LeaseAfterFence_);
  Opt.MisreadLeasesEndAt_ = End(Misread, Misread);
}

void FleetCell::tellOfPredecessor() {
  if (Owners_.size() < 2 || StoreDown_)
    return;
  const Owner &Former = *Owners_[Owners_.size() - 2];
  Owner &O = owner();
  bool Stopped = Former.Alive_ && !Former.CutFromStore_ && !isDown(Former) &&
                 Former.StoreContactAt_ > O.Claim_.ClaimedAt_;
  if (!Stopped || O.CutFromStore_ || O.Claim_.PredecessorEndedBy_)
    return;
  O.Claim_.PredecessorEndedBy_ = Now_;
  scheduler::Options Opt = O.State_.Options_;
  setInheritedLeasesEnd(O, Opt);
  scheduler::onInheritedLeasesEnd(O.State_, Opt.InheritedLeasesEndAt_,
                                  Opt.MisreadLeasesEndAt_);
}

Owner &FleetCell::takeOver(ownership::Predecessor Before) {
  auto O = std::make_unique<Owner>();
  Token Previous = Epoch_;
  O->Token_ = Epoch_ = ++ClaimRecords_;
  O->StoreContactAt_ = O->StoredHeartbeatAt_ = Now_;
  append(ledger::makeFence("s", O->Token_));
  // Most entries have read each record as it was stored.
  bool Loads = Random_.below(4) == 0;
  for (; O->Read_ < Store_.size(); ++O->Read_)
    ledger::apply(O->StoreReplica_, Store_[O->Read_],
                  Loads ? Now_ : StoredAt_[O->Read_]);
  scheduler::Options Opt;
  Opt.Slice_ = "s";
  Opt.Token_ = O->Token_;
  Opt.Generation_ = std::uint32_t(Owners_.size() + 1);
  Opt.ClaimedAt_ = Now_;
  O->Claim_ = {O->Token_, Opt.Generation_, Before, Previous, Now_};
  O->InheritedRoster_ = O->StoreReplica_.Rosters_["s"];
  if (!Owners_.empty()) {
    O->Claim_.PredecessorSeenAt_ = owner().State_.Options_.ClaimedAt_;
    O->Claim_.PredecessorFencedBy_ = owner().StoredHeartbeatAt_ + SelfFence;
  }
  if (Owners_.size() > 1)
    O->Claim_.EarlierFencedBy_ =
        Owners_[Owners_.size() - 2]->StoredHeartbeatAt_ + SelfFence;
  note("claim " + std::to_string(O->Token_) + " after one that is " +
       std::string(toString(Before)) + ", stored a heartbeat " +
       std::to_string(Owners_.empty()
                          ? 0
                          : elapsed(owner().StoredHeartbeatAt_, Now_).count()) +
       " ms ago");
  setInheritedLeasesEnd(*O, Opt);
  O->State_ = scheduler::makeState(Opt, Catalog_, O->InheritedRoster_);
  for (const auto &[Id, W] : Workers_)
    if (W.Listed_)
      scheduler::onWorker(O->State_, W.Info_, Now_);
  for (const auto &[Id, Row] : O->StoreReplica_.Jobs_)
    scheduler::onJob(O->State_, Id, Row, true, Now_, 0);
  Owners_.push_back(std::move(O));
  return owner();
}

void FleetCell::at(TimePoint When, std::function<void()> Run) {
  Events_.push_back({When, NextOrder_++, std::move(Run)});
  std::push_heap(Events_.begin(), Events_.end(),
                 [](const Event &A, const Event &B) {
                   return std::tie(A.At_, A.Order_) > std::tie(B.At_, B.Order_);
                 });
}

void FleetCell::step(TimePoint Limit) {
  auto Later = [](const Event &A, const Event &B) {
    return std::tie(A.At_, A.Order_) > std::tie(B.At_, B.Order_);
  };
  TimePoint End = std::min(Limit, Now_ + TickInterval);
  while (!Events_.empty() && Events_.front().At_ <= End) {
    std::pop_heap(Events_.begin(), Events_.end(), Later);
    Event E = std::move(Events_.back());
    Events_.pop_back();
    Now_ = std::max(Now_, E.At_);
    E.Run_();
    checkWorkers();
  }
  Now_ = End;
  for (std::size_t I = 0; I < Owners_.size(); ++I)
    turn(*Owners_[I]);
  tellOfPredecessor();
  checkWorkers();
}

void FleetCell::run(Milliseconds Time) {
  TimePoint End = Now_ + Time;
  while (Now_ < End)
    step(End);
}

bool FleetCell::runUntil(const std::function<bool()> &Condition,
                         Milliseconds Limit) {
  TimePoint End = Now_ + Limit;
  while (Now_ < End && !Condition())
    step(End);
  return Condition();
}

bool FleetCell::isDown(const Owner &O) const {
  return !O.Alive_ || O.FrozenUntil_ > Now_;
}

bool FleetCell::reaches(const WorkerId &Id) const {
  auto It = Workers_.find(Id);
  return It != Workers_.end() && It->second.Alive_ && !It->second.Cut_;
}

Milliseconds FleetCell::randomTripTime() {
  return Milliseconds(1 + std::int64_t(Random_.below(4)));
}

TaskTraits FleetCell::taskTraits() {
  return {
      FateOf_,
      [this](const TaskId &Id) {
        auto It = Specs_.find(Id.Step_.Job_);
        return It == Specs_.end()
                   ? Resources{}
                   : workflow::chargedSize(It->second.Steps_[Id.Step_.Step_]);
      },
      [this](const TaskId &Id) {
        auto It = Specs_.find(Id.Step_.Job_);
        return It != Specs_.end() && It->second.Steps_[Id.Step_.Step_].Gang_;
      }};
}

void FleetCell::readStore(Owner &O) {
  if (StoreDown_ || O.CutFromStore_)
    return;
  O.StoreContactAt_ = Now_;
  for (; O.Read_ < Store_.size(); ++O.Read_) {
    ledger::Change C = ledger::apply(O.StoreReplica_, Store_[O.Read_], Now_);
    if (C.Kind_ == ledger::Change::Kind::Fenced && C.Claim_ > O.Token_) {
      O.State_.Fenced_ = true;
      return;
    }
    if (C.Kind_ == ledger::Change::Kind::Accepted)
      scheduler::onJob(O.State_, C.Job_, O.StoreReplica_.Jobs_.at(C.Job_),
                       false, Now_, 0);
    else if (C.Kind_ == ledger::Change::Kind::Cancelled)
      scheduler::onCancel(O.State_, C.Job_, Now_);
  }
  if (Now_ - O.StoredHeartbeatAt_ < HeartbeatInterval)
    return;
  O.StoredHeartbeatAt_ = Now_;
  O.State_.NewestToken_ = ++ClaimRecords_;
}

void FleetCell::turn(Owner &O) {
  if (isDown(O) || O.State_.Fenced_ || Now_ < O.TurnDueAt_)
    return;
  O.TurnDueAt_ = Now_ + O.Lag_;
  readStore(O);
  O.State_.OrdersEndAt_ =
      std::min(O.StoreContactAt_, O.StoredHeartbeatAt_) + SelfFence;
  if (Now_ >= O.State_.OrdersEndAt_)
    return;
  O.State_.StoreUnreachable_ = Now_ - O.StoreContactAt_ > Milliseconds(1'300);
  scheduler::Outbox Out;
  if (O.RepeatedWrite_) {
    scheduler::WriteCall C = *O.RepeatedWrite_;
    O.RepeatedWrite_.reset();
    send(O, C);
  }
  scheduler::tick(O.State_, Now_, 0, Out);
  perform(O, Out);
  if (O.Policy_)
    runPolicyPool(O);
}

ledger::Replica FleetCell::stored() const {
  ledger::Replica Copy;
  for (const ledger::KeyedRecord &R : Store_)
    ledger::apply(Copy, R, Now_);
  return Copy;
}

workflow::JobState FleetCell::state(const JobId &Job) const {
  ledger::Replica Copy = stored();
  auto It = Copy.Jobs_.find(Job);
  return It == Copy.Jobs_.end() ? workflow::JobState::Queued
                                : ledger::effectiveState(It->second);
}

std::size_t FleetCell::jobs() const { return stored().Jobs_.size(); }

bool FleetCell::allClosed() const {
  ledger::Replica Copy = stored();
  return std::all_of(Copy.Jobs_.begin(), Copy.Jobs_.end(), [](const auto &J) {
    return workflow::isClosed(ledger::effectiveState(J.second));
  });
}

std::vector<WorkerId> FleetCell::whereIs(const TaskId &Id) const {
  std::vector<WorkerId> Out;
  for (const auto &[Name, W] : Workers_)
    if (W.Alive_ && W.Runs_.count(Id))
      Out.push_back(Name);
  return Out;
}

} // namespace pollenvale::fleettest
