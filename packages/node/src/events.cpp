#include "node/detail/heartbeat.hpp"
#include "node/node.hpp"

namespace pollenvale::node {

using peering::Outbox;

Node makeNode(Options O, TimePoint Now) {
  Node N;
  N.Self_ = O.Self_;
  N.Members_.Self_ = O.Self_;
  N.Members_.Address_ = O.Address_;
  N.Members_.Dc_ = O.Dc_;
  N.Members_.SeedAddresses_ = O.Seeds_;
  N.Members_.StartedAt_ = Now;
  N.Jobs_.Random_.State_ = O.Seed_;
  N.Slots_.Random_.State_ = O.Seed_ + 1;
  N.Requests_.Random_.State_ = O.Seed_ + 2;
  N.ConfigSeenAt_ = Now;
  N.Options_ = std::move(O);
  return N;
}

workers::JobsView jobsView(const Node &N) {
  workers::JobsView V;
  const jobs::Table &T = N.Table_;
  V.HomeOf_ = [&T](const JobId &Id) -> std::optional<NodeId> {
    const jobs::Job *J = jobs::find(T, Id);
    if (!J || J->Closed_)
      return std::nullopt;
    return J->Home_;
  };
  V.IsClosed_ = [&T](const JobId &Id) {
    const jobs::Job *J = jobs::find(T, Id);
    return J && J->Closed_;
  };
  V.FreshAsOf_ = N.Log_.FreshAsOf_;
  V.LogNext_ = N.Log_.Next_;
  return V;
}

jobs::Context jobsContext(Node &N, TimePoint Now, Outbox &Out) {
  return {N.Table_, N.Members_, N.Config_, N.Workers_,
          N.Log_,   N.Self_,    Now,       N.Options_.Retention_,
          Out};
}

requests::Context requestsContext(Node &N, TimePoint Now, Outbox &Out) {
  return {N.Config_, N.Members_, N.Slots_, N.Self_, Now, Out};
}

namespace {

struct Deliver {
  Node &N_;
  TimePoint Now_;
  const NodeId &From_;
  Outbox &Out_;

  void operator()(const membership::Heartbeat &M) const {
    membership::onHeartbeat(N_.Members_, Now_, M);
    if (M.ConfigVersion_ <= N_.Config_.Version_ || Now_ < N_.NextConfigPull_)
      return;
    N_.NextConfigPull_ = Now_ + Milliseconds(500);
    peering::send(Out_, M.Sender_, membership::ConfigPull{N_.Config_.Version_});
  }
  void operator()(const membership::ConfigPull &M) const {
    if (N_.Config_.Version_ > M.KnownVersion_)
      peering::send(
          Out_, From_,
          membership::ConfigPush{N_.Config_.Version_, N_.Config_.Json_.dump()});
  }
  void operator()(const membership::ConfigPush &M) const {
    auto Doc = nlohmann::json::parse(M.Json_, nullptr, false);
    if (!Doc.is_discarded() && config::adopt(N_.Config_, M.Version_, Doc))
      count(N_.Counters_, "config-from-peer");
  }
  void operator()(const workers::HoldRequest &M) const {
    workers::onHoldRequest(N_.Workers_, Now_, From_, M, jobsView(N_), Out_);
  }
  void operator()(const workers::Commit &M) const {
    workers::onCommit(N_.Workers_, Now_, From_, N_.Options_.Self_, M,
                      jobsView(N_), Out_);
  }
  void operator()(const workers::Release &M) const {
    workers::onRelease(N_.Workers_, Now_, From_, M, Out_);
  }
  void operator()(const workers::TaskAck &M) const {
    workers::onAck(N_.Workers_, M);
  }
  void operator()(const workers::LocateRequest &M) const {
    workers::onLocate(N_.Workers_, Now_, From_, M, jobsView(N_), Out_);
  }
  void operator()(const workers::HoldReply &M) const {
    auto C = jobsContext(N_, Now_, Out_);
    jobs::onHoldReply(N_.Jobs_, C, From_, M);
  }
  void operator()(const workers::TaskReport &M) const {
    auto C = jobsContext(N_, Now_, Out_);
    jobs::onReport(N_.Jobs_, C, From_, M);
  }
  void operator()(const workers::LocateReply &M) const {
    auto C = jobsContext(N_, Now_, Out_);
    jobs::onLocateReply(N_.Jobs_, C, From_, M);
  }
  void operator()(const requests::SlotRequest &M) const {
    requests::onSlotRequest(N_.Slots_, N_.Members_, Now_, From_, M, Out_);
  }
  void operator()(const requests::SlotGrant &M) const {
    auto C = requestsContext(N_, Now_, Out_);
    requests::onGrant(N_.Requests_, C, From_, M);
  }
  void operator()(const requests::SlotReturn &M) const {
    requests::onReturn(N_.Slots_, N_.Members_, Now_, From_, M, Out_);
    if (M.Leaving_)
      workers::drain(N_.Workers_, parseAttemptId(M.Instance_));
  }
  void operator()(const workers::HandOverRequest &M) const {
    workers::onHandOverRequest(N_.Workers_, Now_, From_, M);
  }
  void operator()(const membership::RoomNotice &M) const {
    membership::onRoomNotice(N_.Members_, From_, M);
  }
  void operator()(const peering::JobQuery &M) const {
    onJobQuery(N_, From_, M, Out_);
  }
  void operator()(const peering::JobAnswer &M) const {
    onJobAnswer(N_, M, Out_);
  }
};

bool isRecordDue(Node &N, const std::string &Key, TimePoint Now) {
  TimePoint &Next = N.NextRecord_[Key];
  if (Now < Next)
    return false;
  Next = Now + RecordRetry;
  return true;
}

/// Appends take-overs of dead homes that this node should take.
void takeOverDead(Node &N, TimePoint Now) {
  for (const auto &[Home, Jobs] : N.Table_.OpenByHome_) {
    if (Jobs.empty() || Home == N.Self_ ||
        !membership::shouldTakeOver(N.Members_, Now, Home) ||
        !isRecordDue(N, "takeover " + Home, Now))
      continue;
    count(N.Counters_, "takeover-proposed");
    eventlog::append(N.Log_, eventlog::TakeoverRecord{Home, N.Self_}, false);
  }
}

/// Appends the job of each configured service that has none.
void ensureServices(Node &N, TimePoint Now) {
  auto Nodes = membership::candidates(N.Members_, Now);
  for (const auto &[Name, Service] : N.Config_.Doc_.Services_) {
    std::string Key = "svc:" + Name;
    if (N.Table_.OpenByKey_.count(Key))
      continue;
    auto Ranked = membership::rankNodes(Key, "", Nodes);
    if (Ranked.empty() || Ranked.front() != N.Self_ ||
        !isRecordDue(N, Key, Now))
      continue;
    JobSpec Spec = Service.Spec_;
    Spec.Key_ = Key;
    JobId Id = Key + "@" + N.Self_ + "-" + std::to_string(++N.LastId_);
    eventlog::append(N.Log_, eventlog::AcceptRecord{Id, Spec, N.Self_, false},
                     false);
  }
}

/// Repeats the configuration before retention removes its record.
void repeatConfig(Node &N, TimePoint Now) {
  if (N.Config_.Version_ == 0 ||
      elapsed(N.ConfigSeenAt_, Now) < N.Options_.Retention_ / 2)
    return;
  auto Ranked = membership::rankNodes("config", "",
                                      membership::candidates(N.Members_, Now));
  if (Ranked.empty() || Ranked.front() != N.Self_)
    return;
  N.ConfigSeenAt_ = Now;
  eventlog::append(
      N.Log_, eventlog::ConfigSnapshot{N.Config_.Version_, N.Config_.Json_},
      true);
}

void syncFleet(Node &N, TimePoint Now) {
  if (N.FleetVersion_ == N.Members_.VmsVersion_ &&
      N.FleetConfig_ == N.Config_.Version_)
    return;
  N.FleetVersion_ = N.Members_.VmsVersion_;
  N.FleetConfig_ = N.Config_.Version_;
  auto LabelsOf = [&](const membership::Vm &V) {
    return config::labelsOf(N.Config_.Doc_, V.Name_, V.Rack_, V.Dc_, V.Labels_);
  };
  workers::syncVms(N.Workers_, N.Members_, LabelsOf, Now);
  N.Fleet_ = {};
  for (const auto &[Name, V] : N.Members_.Vms_) {
    if (V.Entry_ || V.Leaving_)
      continue;
    Labels Here = LabelsOf(V);
    if (!config::isDrained(Here))
      placement::upsert(N.Fleet_, {V.Name_, V.Rack_, V.Dc_, std::move(Here),
                                   V.Capacity_, V.Capacity_, true});
  }
}

/// This node's jobs have another home now. It goes on as a new incarnation.
void retire(Node &N, TimePoint Now) {
  count(N.Counters_, "taken-over");
  jobs::reset(N.Jobs_);
  if (N.Stopping_)
    return;
  N.Self_ = N.Options_.Self_ + "~" + std::to_string(++N.Lives_);
  N.Members_.Self_ = N.Self_;
  N.Members_.NextHeartbeat_ = Now;
}

/// Retention removed records that this node did not read: it starts over.
void rebuild(Node &N, TimePoint Now) {
  count(N.Counters_, "log-gap-rebuild");
  N.Table_ = {};
  retire(N, Now);
}

void applyConfig(Node &N, TimePoint Now, const eventlog::StoredRecord &Entry,
                 Outbox &Out) {
  if (auto *R = std::get_if<eventlog::ConfigRecord>(&Entry.Record_)) {
    if (auto V = config::apply(N.Config_, Entry.Offset_, *R)) {
      if (V->Accepted_)
        N.ConfigSeenAt_ = Now;
      answerVerdict(N, R->Id_, N.Config_.Verdicts_.at(R->Id_), Out);
    }
  } else if (auto *S = std::get_if<eventlog::ConfigSnapshot>(&Entry.Record_)) {
    config::apply(N.Config_, *S);
    if (S->Version_ == N.Config_.Version_)
      N.ConfigSeenAt_ = Now;
  }
}

void applyRecord(Node &N, TimePoint Now, const eventlog::StoredRecord &Entry,
                 Outbox &Out) {
  applyConfig(N, Now, Entry, Out);
  auto Change = jobs::apply(N.Table_, Entry.Offset_, Entry.Record_);
  auto C = jobsContext(N, Now, Out);
  bool Mine =
      Change.Kind_ == jobs::Change::Kind::Moved && Change.Dead_ == N.Self_;
  if (Mine)
    retire(N, Now);
  else
    jobs::onChange(N.Jobs_, C, Change);
  answerJobChange(N, Change, Out);
}

void deliverAll(Node &N, TimePoint Now, const NodeId &From,
                const std::vector<peering::PeerMessage> &Messages,
                Outbox &Out) {
  for (const peering::PeerMessage &M : Messages)
    std::visit(Deliver{N, Now, From, Out}, M);
}

} // namespace

void settle(Node &N, TimePoint Now, Outbox &Out) {
  // Messages of this node to itself are steps of the same event.
  for (std::size_t I = 0; I < Out.Peers_.size(); ++I) {
    if (Out.Peers_[I].To_ != N.Self_)
      continue;
    peering::PeerMessage M = std::move(Out.Peers_[I].Message_);
    Out.Peers_[I].To_.clear();
    NodeId Self = N.Self_;
    std::visit(Deliver{N, Now, Self, Out}, M);
  }
  std::erase_if(Out.Peers_,
                [](const peering::Addressed &A) { return A.To_.empty(); });
  if (auto Append = eventlog::nextAppend(N.Log_, Now))
    Out.Appends_.push_back(std::move(*Append));
  if (auto Read = eventlog::nextRead(N.Log_, Now))
    Out.Reads_.push_back(*Read);
}

void tick(Node &N, TimePoint Now, Outbox &Out) {
  // Whatever lapsed while the process was paused goes first.
  syncFleet(N, Now);
  workers::tickLeases(N.Workers_, N.Members_, Now, Out);
  membership::updateAssignment(N.Members_, Now);
  auto InUse = [&](const AttemptId &Id) {
    return requests::isInUse(N.Slots_, Id);
  };
  workers::tickTasks(N.Workers_, Now, N.Options_.Self_, jobsView(N), InUse,
                     Out);
  requests::syncInstances(N.Slots_, N.Workers_, Now);
  requests::tickSlots(N.Slots_, N.Members_, Now, Out);
  auto RC = requestsContext(N, Now, Out);
  requests::tick(N.Requests_, RC);
  auto JC = jobsContext(N, Now, Out);
  jobs::tick(N.Jobs_, JC);
  membership::Heartbeat Own;
  if (membership::isHeartbeatDue(N.Members_, Now))
    Own = makeHeartbeat(N, Now);
  membership::tick(N.Members_, Now, Own, Out);
  tellFreedRoom(N, Now, Out);
  if (N.Log_.CaughtUp_ && !N.Stopping_) {
    takeOverDead(N, Now);
    ensureServices(N, Now);
    repeatConfig(N, Now);
  }
  resumeDeferred(N, Now, Out);
  expireCallers(N, Now, Out);
  settle(N, Now, Out);
}

void onFrame(Node &N, TimePoint Now, const peering::Frame &F, Outbox &Out) {
  bool ForMe = F.To_ == N.Self_ || F.To_ == "@" + N.Members_.Address_;
  if (!ForMe) {
    count(N.Counters_, "frame-for-other-incarnation");
    return;
  }
  syncFleet(N, Now);
  deliverAll(N, Now, F.From_, F.Messages_, Out);
  settle(N, Now, Out);
}

void onVmList(Node &N, TimePoint Now, bool Ok, membership::VmList List,
              Outbox &Out) {
  if (!Ok)
    count(N.Counters_, "vm-list-failed");
  membership::onVmList(N.Members_, Now, Ok, std::move(List));
  syncFleet(N, Now);
  settle(N, Now, Out);
}

void onAppend(Node &N, TimePoint Now, CallId Call,
              eventlog::AppendStatus Status, Outbox &Out) {
  if (Status == eventlog::AppendStatus::Refused)
    count(N.Counters_, "append-refused");
  if (Status == eventlog::AppendStatus::Lost)
    count(N.Counters_, "append-answer-lost");
  for (const auto &R : eventlog::onAppend(N.Log_, Now, Call, Status)) {
    std::map<std::string, WaitingCaller>::node_type Waiting;
    if (auto *A = std::get_if<eventlog::AcceptRecord>(&R))
      Waiting = N.Accepting_.extract(A->Job_);
    else if (auto *P = std::get_if<eventlog::ConfigRecord>(&R))
      Waiting = N.Publishing_.extract(P->Id_);
    else if (auto *X = std::get_if<eventlog::CancelRecord>(&R))
      Waiting = N.Cancelling_.extract(X->Job_);
    if (!Waiting.empty())
      requests::answerError(N.Counters_, Out, Waiting.mapped().Connection_,
                            ErrorKind::LogUnavailable,
                            "the log service refused the record; try again");
  }
  settle(N, Now, Out);
}

void onRead(Node &N, TimePoint Now, CallId Call, eventlog::ReadReply Reply,
            Outbox &Out) {
  if (!Reply.Ok_)
    count(N.Counters_, "log-read-failed");
  bool Fresh = N.Log_.Next_ == 0;
  auto Result = eventlog::onRead(N.Log_, Now, Call, std::move(Reply));
  if (Result.Gap_)
    rebuild(N, Now);
  if (Fresh && N.Log_.Next_ > 0 && N.Log_.Earliest_ <= 1 &&
      !N.Config_.VersionKnown_)
    config::startFromEmpty(N.Config_);
  for (const eventlog::StoredRecord &Entry : Result.NewRecords_)
    applyRecord(N, Now, Entry, Out);
  resumeDeferred(N, Now, Out);
  settle(N, Now, Out);
}

void onWorkerReply(Node &N, TimePoint Now, const peering::WorkerReply &R,
                   Outbox &Out) {
  workers::onReply(N.Workers_, Now, R, jobsView(N), Out);
  settle(N, Now, Out);
}

void onInstanceReply(Node &N, TimePoint Now, const peering::InstanceReply &R,
                     Outbox &Out) {
  auto C = requestsContext(N, Now, Out);
  requests::onAnswer(N.Requests_, C, R);
  settle(N, Now, Out);
}

void beginStop(Node &N, TimePoint Now) {
  N.Stopping_ = true;
  N.StopAt_ = Now;
  N.Members_.Leaving_ = true;
  N.Members_.NextHeartbeat_ = Now;
}

bool isStopped(const Node &N, TimePoint Now) {
  bool Answered = requests::isIdle(N.Requests_) && N.Accepting_.empty() &&
                  N.Cancelling_.empty() && N.Publishing_.empty() &&
                  N.Querying_.empty() && N.Deferred_.empty();
  if (!N.Stopping_ || !Answered)
    return false;
  if (elapsed(N.StopAt_, Now) >= StopTimeout)
    return true;
  auto Home = N.Table_.OpenByHome_.find(N.Self_);
  bool Homeless = Home == N.Table_.OpenByHome_.end() || Home->second.empty();
  return Homeless && N.Log_.Queue_.empty() && N.Log_.InFlight_.empty() &&
         workers::isIdle(N.Workers_, Now);
}

bool isReady(const Node &N) {
  return !N.Stopping_ && N.Config_.VersionKnown_ && N.Config_.Version_ > 0;
}

} // namespace pollenvale::node
