#include "harness/cell.hpp"

#include "harness/fakes.hpp"

namespace pollenvale::harness {

namespace {

constexpr Milliseconds TickInterval{100};

void perform(Cell &C, const std::string &Name, peering::Outbox Out,
             Decision Basis);

/// Runs one event of a process. Events of a frozen process are deferred. The
/// outputs of the event during which it froze are sent when it thaws.
void deliver(Cell &C, const std::string &Name, std::uint32_t Incarnation,
             const std::function<void(node::Node &, peering::Outbox &)> &Step) {
  Process &P = C.Entries_.at(Name);
  if (!P.Alive_ || P.Incarnation_ != Incarnation)
    return;
  if (P.Frozen_) {
    P.Deferred_.push_back(
        [&C, Name, Incarnation, Step] { deliver(C, Name, Incarnation, Step); });
    return;
  }
  peering::Outbox Out;
  Step(P.Node_, Out);
  Offset Version = P.Node_.Config_.Version_;
  if (Version < P.HighestConfig_)
    violate(C, Name + " reverted its configuration");
  P.HighestConfig_ = std::max(P.HighestConfig_, Version);
  perform(C, Name, std::move(Out), {C.Now_, P.Node_.Members_.ListVersion_});
}

void scheduleTick(Cell &C, const std::string &Name, std::uint32_t Incarnation) {
  Process &P = C.Entries_.at(Name);
  if (!P.Alive_ || P.Incarnation_ != Incarnation)
    return;
  if (!P.Frozen_)
    deliver(C, Name, Incarnation, [&C](node::Node &N, peering::Outbox &Out) {
      node::tick(N, C.Now_, Out);
    });
  if (P.Alive_ && !P.Frozen_ && node::isStopped(P.Node_, C.Now_)) {
    trace(C, Name + " stopped");
    if (!P.OpenConnections_.empty())
      violate(C, Name + " stopped with an unanswered caller");
    P.Alive_ = false;
    return;
  }
  runAfter(C, TickInterval,
           [&C, Name, Incarnation] { scheduleTick(C, Name, Incarnation); });
}

void sendFrames(Cell &C, const std::string &Name, peering::Outbox &Out) {
  node::Node &N = C.Entries_.at(Name).Node_;
  std::map<NodeId, std::vector<peering::PeerMessage>> ByNode;
  for (peering::Addressed &A : Out.Peers_)
    ByNode[A.To_].push_back(std::move(A.Message_));
  for (auto &[To, Messages] : ByNode) {
    // Addresses of entries are their names.
    std::string Target = To[0] == '@' ? To.substr(1) : nodeName(To);
    auto Bytes = peering::encode({N.Self_, To, std::move(Messages)});
    C.PeerBytes_ += Bytes.size();
    if (!C.Entries_.count(Target) || isCut(C, Name, Target) ||
        draw(C, C.Faults_.Loss_))
      continue;
    int Copies = draw(C, C.Faults_.Duplication_) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      runAfter(C, networkDelay(C), [&C, Target, Bytes] {
        Process &P = C.Entries_.at(Target);
        deliver(C, Target, P.Incarnation_,
                [&C, Bytes](node::Node &N, peering::Outbox &Out) {
                  node::onFrame(N, C.Now_, peering::decode(Bytes).value(), Out);
                });
      });
  }
}

void answerCaller(Cell &C, const std::string &Name,
                  const peering::CallerReply &R) {
  auto It = C.Calls_.find(R.Connection_);
  if (It == C.Calls_.end())
    return;
  Call &Done = It->second;
  C.Entries_.at(Name).OpenConnections_.erase(R.Connection_);
  if (Done.Answered_)
    violate(C, "two answers for " + Done.Name_);
  Done.Answered_ = true;
  Done.Code_ = R.Code_;
  Done.Body_ = nlohmann::json::parse(R.Body_, nullptr, false);
  checkAnswer(C, Done);
  if (!Done.Body_.is_object() && !Done.Body_.is_array())
    Done.Body_ = nlohmann::json::object();
  trace(C, Name + " answers " + Done.Name_ + " " + std::to_string(R.Code_) +
               " " + summary(Done));
}

void perform(Cell &C, const std::string &Name, peering::Outbox Out,
             Decision Basis) {
  Process &P = C.Entries_.at(Name);
  if (P.FreezeNext_) {
    P.FreezeNext_ = false;
    P.Frozen_ = true;
    trace(C, Name + " frozen before it sent");
  }
  if (P.Frozen_) {
    auto Held = std::make_shared<peering::Outbox>(std::move(Out));
    P.Deferred_.push_back(
        [&C, Name, Held, Basis] { perform(C, Name, *Held, Basis); });
    return;
  }
  C.Decision_ = Basis;
  std::uint32_t Incarnation = P.Incarnation_;
  sendFrames(C, Name, Out);
  // Answers are delivered only to the incarnation that sent the call.
  auto Back = [&C, Name, Incarnation](auto Step) {
    return [&C, Name, Incarnation, Step](auto... Answer) {
      deliver(C, Name, Incarnation,
              [Step, Answer...](node::Node &N, peering::Outbox &O) {
                Step(N, O, Answer...);
              });
    };
  };
  for (const auto &Call : Out.Workers_)
    fakeWorkerCall(C, Name, Call, Back([&C](auto &N, auto &O, auto Reply) {
                     node::onWorkerReply(N, C.Now_, Reply, O);
                   }));
  for (const auto &Call : Out.Instances_)
    fakeInstanceCall(C, Name, Call, Back([&C](auto &N, auto &O, auto Reply) {
                       node::onInstanceReply(N, C.Now_, Reply, O);
                     }));
  for (const auto &Call : Out.Appends_)
    fakeAppend(C, Name, Call,
               Back([&C, Id = Call.Call_](auto &N, auto &O, auto Status) {
                 node::onAppend(N, C.Now_, Id, Status, O);
               }));
  for (const auto &Call : Out.Reads_)
    fakeRead(C, Name, Call,
             Back([&C, Id = Call.Call_](auto &N, auto &O, auto Reply) {
               node::onRead(N, C.Now_, Id, Reply, O);
             }));
  if (Out.ListVms_)
    fakeVmList(C, Name, Back([&C](auto &N, auto &O, bool Ok, auto List) {
                 node::onVmList(N, C.Now_, Ok, List, O);
               }));
  for (const auto &Reply : Out.Callers_)
    answerCaller(C, Name, Reply);
}

std::string numbered(const char *Prefix, std::uint32_t Number) {
  return Prefix + std::to_string(Number);
}

void addVms(Cell &C) {
  const Options &O = C.Options_;
  for (std::uint32_t I = 0; I < O.Entries_; ++I) {
    membership::Vm V;
    V.Name_ = V.Address_ = numbered("e", I + 1);
    V.Dc_ = numbered("dc", I % O.Dcs_);
    V.Entry_ = true;
    C.Vms_[V.Name_] = V;
    C.Entries_[V.Name_];
  }
  for (std::uint32_t I = 0; I < O.Workers_; ++I) {
    membership::Vm V;
    V.Name_ = V.Address_ = numbered("w", I + 1);
    std::uint32_t Rack = I / O.PerRack_;
    V.Rack_ = numbered("r", Rack);
    V.Dc_ = numbered("dc", Rack % O.Dcs_);
    V.Labels_ = {{"pool", "all"}};
    V.Capacity_ = O.Capacity_;
    C.Vms_[V.Name_] = V;
    WorkerModel &W = C.Workers_[V.Name_];
    W.Name_ = V.Name_;
    W.Capacity_ = O.Capacity_;
    W.InstanceBase_ = V.Name_;
  }
  C.VmHistory_.push_back({C.StartTime_, {1, {}}});
  for (const auto &[Name, V] : C.Vms_)
    C.VmHistory_.back().second.Vms_.push_back(V);
}

} // namespace

std::unique_ptr<Cell> makeCell(Options O) {
  auto C = std::make_unique<Cell>();
  C->Options_ = O;
  C->Random_.State_ = O.Seed_ * 7919 + 17;
  addVms(*C);
  for (auto &[Name, P] : C->Entries_)
    startEntry(*C, Name);
  return C;
}

void startEntry(Cell &C, const std::string &Name) {
  Process &P = C.Entries_.at(Name);
  std::uint32_t Incarnation = P.Incarnation_ + 1;
  P = Process();
  P.Incarnation_ = Incarnation;
  P.Alive_ = true;
  node::Options O;
  O.Self_ = Name + "." + std::to_string(Incarnation);
  O.Address_ = Name;
  O.Dc_ = C.Vms_.count(Name) ? C.Vms_.at(Name).Dc_ : "dc0";
  O.Retention_ = C.Options_.Retention_;
  O.Seed_ = C.Random_.next();
  P.Node_ = node::makeNode(std::move(O), C.Now_);
  trace(C, Name + " starts as incarnation " + std::to_string(Incarnation));
  runAfter(C, Milliseconds(C.Random_.below(TickInterval.count())),
           [&C, Name, Incarnation] { scheduleTick(C, Name, Incarnation); });
}

void killEntry(Cell &C, const std::string &Name) {
  Process &P = C.Entries_.at(Name);
  P.Alive_ = false;
  P.Deferred_.clear();
  for (std::uint64_t Connection : P.OpenConnections_)
    C.Calls_.at(Connection).Broken_ = true;
  P.OpenConnections_.clear();
  trace(C, Name + " killed");
}

void freezeEntry(Cell &C, const std::string &Name) {
  // The process freezes after its next event, before the outputs are sent.
  C.Entries_.at(Name).FreezeNext_ = true;
  trace(C, Name + " freezes");
}

void thawEntry(Cell &C, const std::string &Name) {
  Process &P = C.Entries_.at(Name);
  P.Frozen_ = P.FreezeNext_ = false;
  trace(C, Name + " thawed");
  auto Deferred = std::move(P.Deferred_);
  P.Deferred_.clear();
  for (const auto &Run : Deferred)
    Run();
}

void stopEntry(Cell &C, const std::string &Name) {
  Process &P = C.Entries_.at(Name);
  trace(C, Name + " asked to stop");
  deliver(C, Name, P.Incarnation_, [&C](node::Node &N, peering::Outbox &) {
    node::beginStop(N, C.Now_);
  });
}

std::uint64_t call(Cell &C, const std::string &Entry, node::CallerRequest R,
                   const std::string &Name, const std::string &Id,
                   const std::string &JobName) {
  std::uint64_t Connection = R.Connection_ = ++C.LastConnection_;
  C.Calls_[Connection] = {Name,  Entry, Id, R.Mode_, JobName,
                          false, false, 0,  {}};
  C.CallByName_[Name] = Connection;
  Process &P = C.Entries_.at(Entry);
  if (!P.Alive_) {
    C.Calls_[Connection].Broken_ = true;
    return Connection;
  }
  P.OpenConnections_.insert(Connection);
  deliver(C, Entry, P.Incarnation_,
          [&C, R](node::Node &N, peering::Outbox &Out) {
            node::onCallerRequest(N, C.Now_, R, Out);
          });
  return Connection;
}

bool runUntil(Cell &C, TimePoint Until, const std::function<bool()> &Done) {
  while (!C.Events_.empty() && C.Events_.top().At_ <= Until) {
    if (Done())
      return true;
    Event E = C.Events_.top();
    C.Events_.pop();
    C.Now_ = E.At_;
    E.Run_();
  }
  C.Now_ = std::max(C.Now_, Until);
  checkWorkers(C);
  return Done();
}

void trace(Cell &C, const std::string &Line) {
  char Time[32];
  std::snprintf(Time, sizeof Time, "%9.3f ",
                double(elapsed(C.StartTime_, C.Now_).count()) / 1000);
  C.Trace_.push_back(Time + Line);
}

void violate(Cell &C, const std::string &What) {
  if (!C.KnownViolations_.insert(What).second)
    return;
  trace(C, "VIOLATION " + What);
  C.Violations_.push_back(C.Trace_.back());
}

} // namespace pollenvale::harness
