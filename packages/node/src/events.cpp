#include "node/detail/heartbeat.hpp"
#include "node/node.hpp"

namespace pollenvale::node {

using peering::Outbox;

Node makeNode(Options Options, TimePoint Now) {
  Node Node;
  Node.Self_ = Options.Self_;
  Node.Members_.Self_ = Options.Self_;
  Node.Members_.Address_ = Options.Address_;
  Node.Members_.Dc_ = Options.Dc_;
  Node.Members_.SeedAddresses_ = Options.Seeds_;
  Node.Members_.StartedAt_ = Now;
  Node.Jobs_.Random_.State_ = Options.Seed_;
  Node.Slots_.Random_.State_ = Options.Seed_ + 1;
  Node.Requests_.Random_.State_ = Options.Seed_ + 2;
  Node.ConfigSeenAt_ = Now;
  Node.Options_ = std::move(Options);
  return Node;
}

workers::JobsView jobsView(const Node &Node) {
  workers::JobsView View;
  const jobs::Table &Table = Node.Table_;
  View.HomeOf_ = [&Table](const JobId &Id) -> std::optional<NodeId> {
    const jobs::Job *Job = jobs::findJob(Table, Id);
    if (!Job || Job->Closed_)
      return std::nullopt;
    return Job->Home_;
  };
  View.IsClosed_ = [&Table](const JobId &Id) {
    const jobs::Job *Job = jobs::findJob(Table, Id);
    return Job && Job->Closed_;
  };
  View.FreshAsOf_ = Node.Log_.FreshAsOf_;
  View.LogNext_ = Node.Log_.Next_;
  return View;
}

jobs::Context jobsContext(Node &Node, TimePoint Now, Outbox &Out) {
  return {Node.Table_, Node.Members_, Node.Config_, Node.Workers_,
          Node.Log_,   Node.Self_,    Now,          Node.Options_.Retention_,
          Out};
}

requests::Context requestsContext(Node &Node, TimePoint Now, Outbox &Out) {
  return {Node.Config_, Node.Members_, Node.Slots_, Node.Self_, Now, Out};
}

namespace {

/// Passes a peer's message to the package that handles it.
struct MessageHandler {
  Node &Node_;
  TimePoint Now_;
  const NodeId &From_;
  Outbox &Out_;

  void operator()(const membership::Heartbeat &Message) const {
    membership::onHeartbeat(Node_.Members_, Now_, Message);
    if (Message.ConfigVersion_ <= Node_.Config_.Version_ ||
        Now_ < Node_.NextConfigPull_)
      return;
    Node_.NextConfigPull_ = Now_ + Milliseconds(500);
    peering::send(Out_, Message.Sender_,
                  membership::ConfigPull{Node_.Config_.Version_});
  }
  void operator()(const membership::ConfigPull &Message) const {
    if (Node_.Config_.Version_ > Message.KnownVersion_)
      peering::send(Out_, From_,
                    membership::ConfigPush{Node_.Config_.Version_,
                                           Node_.Config_.Json_.dump()});
  }
  void operator()(const membership::ConfigPush &Message) const {
    auto Doc = nlohmann::json::parse(Message.Json_, nullptr, false);
    if (!Doc.is_discarded() &&
        config::adopt(Node_.Config_, Message.Version_, Doc))
      count(Node_.Counters_, "config-from-peer");
  }
  void operator()(const workers::HoldRequest &Message) const {
    workers::onHoldRequest(Node_.Workers_, Now_, From_, Message,
                           jobsView(Node_), Out_);
  }
  void operator()(const workers::Commit &Message) const {
    workers::onCommit(Node_.Workers_, Now_, From_, Node_.Options_.Self_,
                      Message, jobsView(Node_), Out_);
  }
  void operator()(const workers::Release &Message) const {
    workers::onRelease(Node_.Workers_, Now_, From_, Message, Out_);
  }
  void operator()(const workers::TaskAck &Message) const {
    workers::onAck(Node_.Workers_, Message);
  }
  void operator()(const workers::LocateRequest &Message) const {
    workers::onLocate(Node_.Workers_, Now_, From_, Message, jobsView(Node_),
                      Out_);
  }
  void operator()(const workers::HoldReply &Message) const {
    auto Context = jobsContext(Node_, Now_, Out_);
    jobs::onHoldReply(Node_.Jobs_, Context, From_, Message);
  }
  void operator()(const workers::TaskReport &Message) const {
    auto Context = jobsContext(Node_, Now_, Out_);
    jobs::onReport(Node_.Jobs_, Context, From_, Message);
  }
  void operator()(const workers::LocateReply &Message) const {
    auto Context = jobsContext(Node_, Now_, Out_);
    jobs::onLocateReply(Node_.Jobs_, Context, From_, Message);
  }
  void operator()(const requests::SlotRequest &Message) const {
    requests::onSlotRequest(Node_.Slots_, Node_.Members_, Now_, From_, Message,
                            Out_);
  }
  void operator()(const requests::SlotGrant &Message) const {
    auto Context = requestsContext(Node_, Now_, Out_);
    requests::onGrant(Node_.Requests_, Context, From_, Message);
  }
  void operator()(const requests::SlotReturn &Message) const {
    requests::onReturn(Node_.Slots_, Node_.Members_, Now_, From_, Message,
                       Out_);
    if (Message.Leaving_)
      workers::drain(Node_.Workers_, parseAttemptId(Message.Instance_));
  }
  void operator()(const workers::HandOverRequest &Message) const {
    workers::onHandOverRequest(Node_.Workers_, Now_, From_, Message);
  }
  void operator()(const membership::RoomNotice &Message) const {
    membership::onRoomNotice(Node_.Members_, From_, Message);
  }
  void operator()(const peering::JobQuery &Message) const {
    onJobQuery(Node_, From_, Message, Out_);
  }
  void operator()(const peering::JobAnswer &Message) const {
    onJobAnswer(Node_, Message, Out_);
  }
};

/// True if the record \p Key was not appended within RecordRetry. Marks it as
/// appended now.
bool isRecordDue(Node &Node, const std::string &Key, TimePoint Now) {
  TimePoint &Next = Node.NextRecord_[Key];
  if (Now < Next)
    return false;
  Next = Now + RecordRetry;
  return true;
}

/// Appends take-overs of dead nodes whose jobs this node should take over.
void takeOverDeadHomes(Node &Node, TimePoint Now) {
  for (const auto &[Home, Jobs] : Node.Table_.OpenByHome_) {
    if (Jobs.empty() || Home == Node.Self_ ||
        !membership::shouldTakeOver(Node.Members_, Now, Home) ||
        !isRecordDue(Node, "takeover " + Home, Now))
      continue;
    count(Node.Counters_, "takeover-proposed");
    eventlog::append(Node.Log_, eventlog::TakeoverRecord{Home, Node.Self_},
                     false);
  }
}

/// Accepts a job for each configured service without an open one, if this node
/// is the best-ranked one for the service.
void createServiceJobs(Node &Node, TimePoint Now) {
  auto Nodes = membership::candidates(Node.Members_, Now);
  for (const auto &[Name, Service] : Node.Config_.Doc_.Services_) {
    std::string Key = "svc:" + Name;
    if (Node.Table_.OpenByKey_.count(Key))
      continue;
    auto Ranked = membership::rankNodes(Key, "", Nodes);
    if (Ranked.empty() || Ranked.front() != Node.Self_ ||
        !isRecordDue(Node, Key, Now))
      continue;
    JobSpec Spec = Service.Spec_;
    Spec.Key_ = Key;
    JobId Id = Key + "@" + Node.Self_ + "-" + std::to_string(++Node.LastId_);
    eventlog::append(
        Node.Log_, eventlog::AcceptRecord{Id, Spec, Node.Self_, false}, false);
  }
}

/// Appends the configuration again before retention removes its record, if this
/// node is the best-ranked one to do so.
void repeatConfig(Node &Node, TimePoint Now) {
  if (Node.Config_.Version_ == 0 ||
      elapsed(Node.ConfigSeenAt_, Now) < Node.Options_.Retention_ / 2)
    return;
  auto Ranked = membership::rankNodes(
      "config", "", membership::candidates(Node.Members_, Now));
  if (Ranked.empty() || Ranked.front() != Node.Self_)
    return;
  Node.ConfigSeenAt_ = Now;
  eventlog::append(
      Node.Log_,
      eventlog::ConfigSnapshot{Node.Config_.Version_, Node.Config_.Json_},
      true);
}

/// Updates workers and Fleet_ after a change of VMs or configuration.
void syncFleet(Node &Node, TimePoint Now) {
  if (Node.FleetVmsVersion_ == Node.Members_.VmsVersion_ &&
      Node.FleetConfigVersion_ == Node.Config_.Version_)
    return;
  Node.FleetVmsVersion_ = Node.Members_.VmsVersion_;
  Node.FleetConfigVersion_ = Node.Config_.Version_;
  auto LabelsOf = [&](const membership::Vm &Vm) {
    return config::labelsOf(Node.Config_.Doc_, Vm.Name_, Vm.Rack_, Vm.Dc_,
                            Vm.Labels_);
  };
  workers::syncVms(Node.Workers_, Node.Members_, LabelsOf, Now);
  Node.Fleet_ = {};
  for (const auto &[Name, Vm] : Node.Members_.Vms_) {
    if (Vm.Entry_ || Vm.Leaving_)
      continue;
    Labels VmLabels = LabelsOf(Vm);
    if (!config::isDrained(VmLabels))
      placement::upsert(Node.Fleet_,
                        {Vm.Name_, Vm.Rack_, Vm.Dc_, std::move(VmLabels),
                         Vm.Capacity_, Vm.Capacity_, true});
  }
}

/// Called when another node took over this node's jobs: drops them and
/// continues as a new incarnation.
void startNewIncarnation(Node &Node, TimePoint Now) {
  count(Node.Counters_, "taken-over");
  jobs::reset(Node.Jobs_);
  if (Node.Stopping_)
    return;
  Node.Self_ = Node.Options_.Self_ + "~" + std::to_string(++Node.Incarnations_);
  Node.Members_.Self_ = Node.Self_;
  Node.Members_.NextHeartbeat_ = Now;
}

/// Called when retention removed records that this node did not read: empties
/// the job table, which the remaining records fill again.
void rebuildJobTable(Node &Node, TimePoint Now) {
  count(Node.Counters_, "log-gap-rebuild");
  Node.Table_ = {};
  startNewIncarnation(Node, Now);
}

void applyConfig(Node &Node, TimePoint Now,
                 const eventlog::StoredRecord &Stored, Outbox &Out) {
  if (auto *Change = std::get_if<eventlog::ConfigRecord>(&Stored.Record_)) {
    if (auto Verdict = config::apply(Node.Config_, Stored.Offset_, *Change)) {
      if (Verdict->Accepted_)
        Node.ConfigSeenAt_ = Now;
      answerVerdict(Node, Change->Id_, Node.Config_.Verdicts_.at(Change->Id_),
                    Out);
    }
  } else if (auto *Snapshot =
                 std::get_if<eventlog::ConfigSnapshot>(&Stored.Record_)) {
    config::apply(Node.Config_, *Snapshot);
    if (Snapshot->Version_ == Node.Config_.Version_)
      Node.ConfigSeenAt_ = Now;
  }
}

void applyRecord(Node &Node, TimePoint Now,
                 const eventlog::StoredRecord &Stored, Outbox &Out) {
  applyConfig(Node, Now, Stored, Out);
  auto Change = jobs::apply(Node.Table_, Stored.Offset_, Stored.Record_);
  auto Context = jobsContext(Node, Now, Out);
  bool TakenOver =
      Change.Kind_ == jobs::Change::Kind::Moved && Change.Dead_ == Node.Self_;
  if (TakenOver)
    startNewIncarnation(Node, Now);
  else
    jobs::onChange(Node.Jobs_, Context, Change);
  answerJobChange(Node, Change, Out);
}

void handleMessages(Node &Node, TimePoint Now, const NodeId &From,
                    const std::vector<peering::PeerMessage> &Messages,
                    Outbox &Out) {
  for (const peering::PeerMessage &M : Messages)
    std::visit(MessageHandler{Node, Now, From, Out}, M);
}

} // namespace

void finishEvent(Node &Node, TimePoint Now, Outbox &Out) {
  // Messages of this node to itself belong to the same event.
  for (std::size_t I = 0; I < Out.Peers_.size(); ++I) {
    if (Out.Peers_[I].To_ != Node.Self_)
      continue;
    peering::PeerMessage M = std::move(Out.Peers_[I].Message_);
    Out.Peers_[I].To_.clear();
    NodeId Self = Node.Self_;
    std::visit(MessageHandler{Node, Now, Self, Out}, M);
  }
  std::erase_if(Out.Peers_,
                [](const peering::Addressed &A) { return A.To_.empty(); });
  if (auto Append = eventlog::nextAppend(Node.Log_, Now))
    Out.Appends_.push_back(std::move(*Append));
  if (auto Read = eventlog::nextRead(Node.Log_, Now))
    Out.Reads_.push_back(*Read);
}

void tick(Node &Node, TimePoint Now, Outbox &Out) {
  // First expire what timed out while the process was paused.
  syncFleet(Node, Now);
  workers::tickLeases(Node.Workers_, Node.Members_, Now, Out);
  membership::updateAssignment(Node.Members_, Now);
  auto InUse = [&](const AttemptId &Id) {
    return requests::isInUse(Node.Slots_, Id);
  };
  workers::tickTasks(Node.Workers_, Now, Node.Options_.Self_, jobsView(Node),
                     InUse, Out);
  requests::syncInstances(Node.Slots_, Node.Workers_, Now);
  requests::tickSlots(Node.Slots_, Node.Members_, Now, Out);
  auto RequestsContext = requestsContext(Node, Now, Out);
  requests::tick(Node.Requests_, RequestsContext);
  auto JobsContext = jobsContext(Node, Now, Out);
  jobs::tick(Node.Jobs_, JobsContext);
  membership::Heartbeat Own;
  if (membership::isHeartbeatDue(Node.Members_, Now))
    Own = makeHeartbeat(Node, Now);
  membership::tick(Node.Members_, Now, Own, Out);
  sendRoomNotices(Node, Now, Out);
  if (Node.Log_.CaughtUp_ && !Node.Stopping_) {
    takeOverDeadHomes(Node, Now);
    createServiceJobs(Node, Now);
    repeatConfig(Node, Now);
  }
  resumeDeferred(Node, Now, Out);
  expireCallers(Node, Now, Out);
  finishEvent(Node, Now, Out);
}

void onFrame(Node &Node, TimePoint Now, const peering::Frame &Frame,
             Outbox &Out) {
  bool IsForThisNode =
      Frame.To_ == Node.Self_ || Frame.To_ == "@" + Node.Members_.Address_;
  if (!IsForThisNode) {
    count(Node.Counters_, "frame-for-other-incarnation");
    return;
  }
  syncFleet(Node, Now);
  handleMessages(Node, Now, Frame.From_, Frame.Messages_, Out);
  finishEvent(Node, Now, Out);
}

void onVmList(Node &Node, TimePoint Now, bool Ok, membership::VmList List,
              Outbox &Out) {
  if (!Ok)
    count(Node.Counters_, "vm-list-failed");
  membership::onVmList(Node.Members_, Now, Ok, std::move(List));
  syncFleet(Node, Now);
  finishEvent(Node, Now, Out);
}

void onAppend(Node &Node, TimePoint Now, CallId Call,
              eventlog::AppendStatus Status, Outbox &Out) {
  if (Status == eventlog::AppendStatus::Refused)
    count(Node.Counters_, "append-refused");
  if (Status == eventlog::AppendStatus::Lost)
    count(Node.Counters_, "append-answer-lost");
  for (const auto &Record : eventlog::onAppend(Node.Log_, Now, Call, Status)) {
    std::map<std::string, PendingCaller>::node_type Caller;
    if (auto *Accept = std::get_if<eventlog::AcceptRecord>(&Record))
      Caller = Node.PendingAccepts_.extract(Accept->Job_);
    else if (auto *Change = std::get_if<eventlog::ConfigRecord>(&Record))
      Caller = Node.PendingPublishes_.extract(Change->Id_);
    else if (auto *Cancel = std::get_if<eventlog::CancelRecord>(&Record))
      Caller = Node.PendingCancels_.extract(Cancel->Job_);
    if (!Caller.empty())
      requests::answerError(Node.Counters_, Out, Caller.mapped().Connection_,
                            ErrorKind::LogUnavailable,
                            "the log service refused the record; try again");
  }
  finishEvent(Node, Now, Out);
}

void onRead(Node &Node, TimePoint Now, CallId Call, eventlog::ReadReply Reply,
            Outbox &Out) {
  if (!Reply.Ok_)
    count(Node.Counters_, "log-read-failed");
  bool FirstRead = Node.Log_.Next_ == 0;
  auto Result = eventlog::onRead(Node.Log_, Now, Call, std::move(Reply));
  if (Result.Gap_)
    rebuildJobTable(Node, Now);
  if (FirstRead && Node.Log_.Next_ > 0 && Node.Log_.Earliest_ <= 1 &&
      !Node.Config_.VersionKnown_)
    config::startFromEmpty(Node.Config_);
  for (const eventlog::StoredRecord &Stored : Result.NewRecords_)
    applyRecord(Node, Now, Stored, Out);
  resumeDeferred(Node, Now, Out);
  finishEvent(Node, Now, Out);
}

void onWorkerReply(Node &Node, TimePoint Now, const peering::WorkerReply &R,
                   Outbox &Out) {
  workers::onReply(Node.Workers_, Now, R, jobsView(Node), Out);
  finishEvent(Node, Now, Out);
}

void onInstanceReply(Node &Node, TimePoint Now, const peering::InstanceReply &R,
                     Outbox &Out) {
  auto Context = requestsContext(Node, Now, Out);
  requests::onAnswer(Node.Requests_, Context, R);
  finishEvent(Node, Now, Out);
}

void beginStop(Node &Node, TimePoint Now) {
  Node.Stopping_ = true;
  Node.StopStartedAt_ = Now;
  Node.Members_.Leaving_ = true;
  Node.Members_.NextHeartbeat_ = Now;
}

bool isStopped(const Node &Node, TimePoint Now) {
  bool Answered =
      requests::isIdle(Node.Requests_) && Node.PendingAccepts_.empty() &&
      Node.PendingCancels_.empty() && Node.PendingPublishes_.empty() &&
      Node.PendingQueries_.empty() && Node.DeferredCalls_.empty();
  if (!Node.Stopping_ || !Answered)
    return false;
  if (elapsed(Node.StopStartedAt_, Now) >= StopTimeout)
    return true;
  auto Home = Node.Table_.OpenByHome_.find(Node.Self_);
  bool NoOpenJobs =
      Home == Node.Table_.OpenByHome_.end() || Home->second.empty();
  return NoOpenJobs && Node.Log_.Queue_.empty() &&
         Node.Log_.InFlight_.empty() && workers::isIdle(Node.Workers_, Now);
}

bool isReady(const Node &Node) {
  return !Node.Stopping_ && Node.Config_.VersionKnown_ &&
         Node.Config_.Version_ > 0;
}

} // namespace pollenvale::node
