#include "fleet/slice_owner.hpp"

#include "fleet/clock.hpp"
#include "observe/observe.hpp"

namespace pollenvale::fleet {

using ledger::StoreStatus;
using observe::Level;

namespace {

constexpr Milliseconds FenceRetryInterval{200};
/// Added to the longest lease that a former owner may have granted.
constexpr Milliseconds LeaseMargin{400};
/// Limit of log lines of one event.
constexpr unsigned LinesPerSecond = 50;
/// Time for a start to reach its worker after the records were read.
constexpr Milliseconds StartMargin{500};
/// The copy of the jobs counts as behind when stored records have not been read
/// for this long, or earlier if cancellations must take effect sooner.
constexpr Milliseconds MaxReadDelay{2'500};
/// How long the workers are kept after the last job of a service that has left
/// the configuration, for the ends of its tasks to be acknowledged.
constexpr Milliseconds WorkerReleaseDelay{5'000};

} // namespace

SliceOwner::SliceOwner(SliceContext Context, ownership::SliceName Slice,
                       ownership::OwnedSlice Claim, Milliseconds SelfFence)
    : Context_(std::move(Context)), Slice_(std::move(Slice)), Claim_(Claim),
      SelfFence_(SelfFence), LogLimit_(LinesPerSecond) {
  // Sequence number 0 is that of the fence.
  Writer_ = {{intake::JobTopic, Context_.PartitionNumber_},
             {Slice_, Claim_.Number_, 1}};
}

void SliceOwner::loseSlice(const char *Reason) {
  if (Stage_ == Stage::Ended)
    return;
  Stage_ = Stage::Ended;
  observe::log(
      Level::Warning, "slice-lost",
      {{"slice", Slice_}, {"claim", Claim_.Number_}, {"reason", Reason}});
}

void SliceOwner::sendFence() {
  if (FenceInFlight_ || now() < FenceDueAt_)
    return;
  FenceInFlight_ = true;
  ledger::AppendCall Call;
  Call.Partition_ = {intake::JobTopic, Context_.PartitionNumber_};
  Call.Fence_ = ledger::Fence{Slice_, Claim_.Number_, 0};
  Call.Records_ = {ledger::makeFence(Slice_, Claim_.Number_)};
  Context_.Store_->append(std::move(Call), [Self = shared_from_this()](
                                               const ledger::AppendReply &R) {
    Self->FenceInFlight_ = false;
    if (Self->Stage_ != Stage::Fencing)
      return;
    if (R.Status_ == StoreStatus::Fenced)
      return Self->loseSlice("fenced");
    if (R.Status_ != StoreStatus::Done) {
      Self->FenceDueAt_ = now() + FenceRetryInterval;
      return;
    }
    Self->Stage_ = Stage::CatchingUp;
    Self->FenceOffset_ = R.First_;
    Self->Context_.PostDueWork_();
  });
}

bool SliceOwner::ownsJob(const JobId &Job) const {
  const auto &Jobs = Context_.Partition_->Replica_.Jobs_;
  auto It = Jobs.find(Job);
  return It != Jobs.end() && It->second.Accepted_.Queue_.Service_ == Slice_;
}

bool SliceOwner::isOwnVoidJob(const JobId &Job) const {
  const auto &Void = Context_.Partition_->Replica_.VoidJobs_;
  auto It = Void.find(Job);
  return ownsJob(Job) ||
         (It != Void.end() && It->second.Queue_.Service_ == Slice_);
}

void SliceOwner::setInheritedLeasesEnd(scheduler::Options &O) const {
  auto End = [this](Milliseconds Longest, Milliseconds AfterFence) {
    return ownership::inheritedLeasesEnd(
        Claim_, InheritedRoster_.Roster_,
        {Longest + LeaseMargin, AfterFence + LeaseMargin}, SelfFence_);
  };
  Milliseconds Misread = scheduler::longestOnClock(O.MaxLease_);
  O.InheritedLeasesEndAt_ =
      End(std::max(O.Lease_, O.OutageLease_), O.LeaseAfterFence_);
  O.MisreadLeasesEndAt_ = End(Misread, Misread);
}

void SliceOwner::onClaim(const ownership::OwnedSlice &Claim) {
  if (Claim.PredecessorEndedBy_ == Claim_.PredecessorEndedBy_)
    return;
  Claim_ = Claim;
  if (Stage_ != Stage::Running || !State_.InheritancePending_)
    return;
  scheduler::Options New = State_.Options_;
  setInheritedLeasesEnd(New);
  scheduler::onInheritedLeasesEnd(State_, New.InheritedLeasesEndAt_,
                                  New.MisreadLeasesEndAt_);
}

void SliceOwner::startScheduling() {
  const ledger::Replica &Copy = Context_.Partition_->Replica_;
  scheduler::Options Options;
  Options.Slice_ = Slice_;
  Options.Token_ = Claim_.Number_;
  Options.Generation_ = Claim_.Generation_;
  Options.ClaimedAt_ = Claim_.ClaimedAt_;
  Options.MaxLease_ = Context_.MaxLease_;
  Options.KeepClosed_ = Context_.ClosedJobRetention_;
  Options.StoreLimits_ = Context_.StoreLimits_;
  auto Stored = Copy.Rosters_.find(Slice_);
  if (Stored != Copy.Rosters_.end())
    InheritedRoster_ = Stored->second;
  setInheritedLeasesEnd(Options);
  State_ = scheduler::makeState(std::move(Options), *Context_.Catalog_,
                                InheritedRoster_);
  Configured_ = workflow::hasService(*Context_.Catalog_, Slice_);
  WorkersNeededAt_ = now();
  addWorkersOfRegistry();
  std::size_t Jobs = 0, Closed = 0, WithProgress = 0;
  for (const auto &[Id, Job] : Copy.Jobs_)
    if (ownsJob(Id)) {
      scheduler::onJob(State_, Id, Job, true, now(), nowUnixMs());
      ++Jobs;
      Closed += workflow::isClosed(Job.Progress_.state());
      WithProgress += Job.ProgressOffset_ > 0;
    }
  Stage_ = Stage::Running;
  observe::log(Level::Info, "slice-owned",
               {{"slice", Slice_},
                {"claim", Claim_.Number_},
                {"generation", Claim_.Generation_},
                {"predecessor", toString(Claim_.Predecessor_)},
                {"after_ms", elapsed(Claim_.ClaimedAt_, now()).count()},
                {"leases_end_ms", elapsed(Claim_.ClaimedAt_,
                                          State_.Options_.InheritedLeasesEndAt_)
                                      .count()},
                {"jobs", Jobs},
                {"jobs_closed", Closed},
                {"jobs_with_progress", WithProgress},
                {"fence_offset", FenceOffset_},
                {"read_up_to", Context_.Partition_->Tail_.Next_},
                {"workers", State_.Workers_.size()},
                {"unaccounted", State_.UnconfirmedWorkers_.size()}});
}

void SliceOwner::runDueWork(const ownership::Authority &Authority,
                            bool StoreStale) {
  if (Stage_ == Stage::Fencing)
    sendFence();
  const ledger::Tail &Tail = Context_.Partition_->Tail_;
  if (Stage_ == Stage::CatchingUp && Tail.Loaded_ && !Tail.Loading_ &&
      Tail.Next_ > FenceOffset_ && Context_.Registry_->isLoaded())
    startScheduling();
  if ((Stage_ != Stage::Running && Stage_ != Stage::Retiring) ||
      now() >= Authority.OrdersEndAt_)
    return;
  if (auto Append = ledger::repeatWrite(Writer_, now()))
    send(std::move(*Append), RepeatedWriteId_);
  if (Stage_ == Stage::Retiring)
    return;
  updateWorkers();
  State_.StoreUnreachable_ = StoreStale;
  State_.OrdersEndAt_ = Authority.OrdersEndAt_;
  State_.NewestToken_ = Authority.Token_;
  State_.BehindStore_ = isBehind();
  scheduler::Outbox Out;
  scheduler::tick(State_, now(), nowUnixMs(), Out);
  perform(Out);
  if (State_.Fenced_)
    loseSlice("a worker has seen a higher token");
  else if (!Configured_ && scheduler::isEmpty(State_))
    beginRetirement();
}

void SliceOwner::addWorkersOfRegistry() {
  for (const auto &[Id, Info] : Context_.Registry_->workers())
    if (Info.Service_ == Slice_)
      scheduler::onWorker(State_, Info, now());
}

void SliceOwner::updateWorkers() {
  if (Configured_ || scheduler::hasOpenJobs(State_))
    WorkersNeededAt_ = now();
  bool Needed = now() - WorkersNeededAt_ < WorkerReleaseDelay;
  if (Needed == HasWorkers_)
    return;
  HasWorkers_ = Needed;
  if (Needed)
    addWorkersOfRegistry();
  else
    scheduler::releaseWorkers(State_, now());
}

void SliceOwner::beginRetirement() {
  Stage_ = Stage::Retiring;
  observe::log(Level::Info, "slice-retiring",
               {{"slice", Slice_}, {"claim", Claim_.Number_}});
  send(ledger::beginWrite(Writer_, ledger::makeSliceRemoval(Slice_)), 0);
}

bool SliceOwner::isBehind() const {
  Milliseconds ForCancels =
      std::min(MaxReadDelay, Context_.CancelLimit_ - StartMargin);
  return ledger::isBehind(Context_.Partition_->Tail_, ForCancels, now()) ||
         Context_.Registry_->isBehind(Context_.DrainLimit_ - StartMargin);
}

bool SliceOwner::isLate() const {
  return Stage_ == Stage::Running && now() < State_.LateUntil_;
}

TimePoint SliceOwner::nextDue() const {
  if (Stage_ == Stage::Running)
    return scheduler::nextDue(State_, now());
  return now() + Milliseconds(20);
}

void SliceOwner::onRecord(const ledger::Change &Change) {
  using Kind = ledger::Change::Kind;
  // Jobs after the fence of a later owner belong to that owner, even if its
  // claim has not been read yet.
  if (Change.Kind_ == Kind::Fenced && Change.Slice_ == Slice_ &&
      Change.Claim_ > Claim_.Number_)
    return loseSlice("a higher claim has fenced the jobs");
  if (Stage_ != Stage::Running)
    return;
  if (Change.Kind_ == Kind::Accepted && ownsJob(Change.Job_)) {
    const ledger::ReplicatedJob &Job =
        Context_.Partition_->Replica_.Jobs_.at(Change.Job_);
    scheduler::onJob(State_, Change.Job_, Job, false, now(), nowUnixMs());
    observe::log(Level::Info, "job-taken",
                 {{"job", Change.Job_},
                  {"queue", Job.Accepted_.Queue_.Name_},
                  {"steps", Job.Accepted_.Spec_.Steps_.size()}});
  } else if (Change.Kind_ == Kind::Cancelled) {
    scheduler::onCancel(State_, Change.Job_, now());
  } else if (Change.Kind_ == Kind::Void && isOwnVoidJob(Change.Job_)) {
    scheduler::onVoidJob(State_, Change.Job_);
  }
  Context_.PostDueWork_();
}

void SliceOwner::onWorker(const scheduler::WorkerInfo &Info) {
  if (Stage_ == Stage::Running && HasWorkers_ && Info.Service_ == Slice_)
    scheduler::onWorker(State_, Info, now());
  else if (Stage_ == Stage::Running)
    scheduler::onWorkerGone(State_, Info.Id_, now());
}

void SliceOwner::onWorkerGone(const WorkerId &Id) {
  if (Stage_ == Stage::Running)
    scheduler::onWorkerGone(State_, Id, now());
}

void SliceOwner::onCatalog() {
  if (Stage_ != Stage::Running)
    return;
  Configured_ = workflow::hasService(*Context_.Catalog_, Slice_);
  scheduler::onCatalog(State_, *Context_.Catalog_);
}

void SliceOwner::onAdvice(const scheduler::AdviceCall &Call,
                          const scheduler::AdviceReply &Reply) {
  if (Stage_ == Stage::Running)
    scheduler::onAdviceReply(State_, Call, Reply, now());
  Context_.PostDueWork_();
}

void SliceOwner::perform(scheduler::Outbox &Out) {
  for (const scheduler::StopCall &Call : Out.Stops_)
    send(Call);
  for (const scheduler::StartCall &Call : Out.Starts_)
    send(Call);
  for (const scheduler::ThrottleCall &Call : Out.Throttles_)
    send(Call);
  for (const scheduler::RenewCall &Call : Out.Renewals_)
    send(Call);
  for (scheduler::AdviceCall &Call : Out.Advice_)
    Context_.RequestAdvice_(std::move(Call));
  for (scheduler::WriteCall &Call : Out.Writes_)
    send(ledger::beginWrite(Writer_, std::move(Call.Records_)), Call.Id_);
  for (scheduler::Note &N : Out.Notes_)
    writeNote(N);
}

void SliceOwner::writeNote(scheduler::Note &N) {
  if (N.RateLimited_) {
    std::optional<std::uint64_t> Suppressed = LogLimit_.admit(N.Event_, now());
    if (!Suppressed)
      return count(State_.Counters_, "line-left-out");
    if (*Suppressed > 0)
      N.Fields_["left_out"] = *Suppressed;
  }
  observe::log(Level::Info, N.Event_, N.Fields_);
}

template <class Reply, class Handler>
std::function<void(Reply)> SliceOwner::whileRunning(Handler Handle) {
  return [Self = shared_from_this(), Handle](const Reply &R) {
    if (Self->Stage_ != Stage::Running)
      return;
    scheduler::Outbox Out;
    Handle(Self->State_, R, Out);
    Self->perform(Out);
    Self->Context_.PostDueWork_();
  };
}

void SliceOwner::send(const scheduler::RenewCall &C) {
  Context_.Client_->renew(
      C, whileRunning<scheduler::RenewReply>(
             [C, SentAt = now()](auto &State, const auto &R, auto &Out) {
               scheduler::onRenewReply(State, C, R, SentAt, now(), Out);
             }));
}

void SliceOwner::send(const scheduler::StartCall &C) {
  Context_.Starts_->start(C, Context_.PartitionNumber_,
                          whileRunning<scheduler::OrderReply>(
                              [C](auto &State, const auto &R, auto &Out) {
                                scheduler::onStartReply(State, C, R, now(),
                                                        Out);
                              }));
}

void SliceOwner::send(const scheduler::StopCall &C) {
  Context_.Client_->stop(C, whileRunning<scheduler::OrderReply>(
                                [C](auto &State, const auto &R, auto &) {
                                  scheduler::onStopReply(State, C, R, now());
                                }));
}

void SliceOwner::send(const scheduler::ThrottleCall &C) {
  Context_.Client_->throttle(C, whileRunning<scheduler::OrderReply>(
                                    [C](auto &State, const auto &R, auto &) {
                                      scheduler::onThrottleReply(State, C, R);
                                    }));
}

void SliceOwner::send(ledger::AppendCall Append, std::uint64_t WriteId) {
  Context_.Store_->append(
      std::move(Append),
      [Self = shared_from_this(), WriteId](const ledger::AppendReply &R) {
        if (Self->Stage_ == Stage::Running)
          Self->onWritten(WriteId, R);
        else if (Self->Stage_ == Stage::Retiring)
          Self->onRemovalWritten(R);
      });
}

void SliceOwner::onWritten(std::uint64_t WriteId,
                           const ledger::AppendReply &Reply) {
  ledger::Fence Sent = Writer_.Fence_;
  ledger::WriteOutcome Outcome = ledger::onAppended(Writer_, Reply, now());
  if (Outcome != ledger::WriteOutcome::Stored)
    logUnstored(Sent, Reply);
  switch (Outcome) {
  case ledger::WriteOutcome::Stored:
  case ledger::WriteOutcome::NotStored:
    scheduler::onWriteReply(State_, WriteId,
                            Outcome == ledger::WriteOutcome::Stored, now());
    break;
  case ledger::WriteOutcome::Fenced:
    return loseSlice("the store rejected a write because of a higher claim");
  case ledger::WriteOutcome::Pending:
    RepeatedWriteId_ = WriteId;
  }
  Context_.PostDueWork_();
}

void SliceOwner::onRemovalWritten(const ledger::AppendReply &Reply) {
  switch (ledger::onAppended(Writer_, Reply, now())) {
  case ledger::WriteOutcome::Stored:
    Stage_ = Stage::Retired;
    break;
  case ledger::WriteOutcome::NotStored:
    return beginRetirement();
  case ledger::WriteOutcome::Fenced:
    return loseSlice("the store rejected a write because of a higher claim");
  case ledger::WriteOutcome::Pending:
    break;
  }
  Context_.PostDueWork_();
}

void SliceOwner::logUnstored(const ledger::Fence &Sent,
                             const ledger::AppendReply &Reply) {
  scheduler::Note N{"write-not-stored",
                    {{"slice", Slice_},
                     {"status", ledger::toString(Reply.Status_)},
                     {"sent", Sent.Sequence_},
                     {"next", Writer_.Fence_.Sequence_},
                     {"records", Writer_.Records_.size()},
                     {"first", Reply.First_},
                     {"end", Reply.End_}},
                    true};
  writeNote(N);
}

} // namespace pollenvale::fleet
