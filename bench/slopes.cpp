/// \file
/// Slopes for docs/CAPACITY.md: bytes and processor time by worker, task, job,
/// peer and request, each as the difference of two sizes.
#include "harness/log_model.hpp"
#include "harness/worker_model.hpp"
#include "node/node.hpp"
#include "standin_wire/standin_wire.hpp"

#include <cstdio>
#include <ctime>
#include <malloc.h>

using namespace pollenvale;

namespace {

TimePoint Now{std::chrono::hours(1)};

double cpuSeconds() { return double(std::clock()) / CLOCKS_PER_SEC; }
double heapBytes() { return double(mallinfo2().uordblks); }

/// An entry that holds its workers, with models behind them.
struct Holder {
  node::Node Node_;
  std::map<WorkerId, harness::WorkerModel> Workers_;
  harness::LogModel Log_;
  std::optional<eventlog::ReadCall> Read_; ///< In flight.
  TimePoint NextRead_{};
  bool HasLog_ = false;
  std::uint64_t WorkerBytes_ = 0;
  std::uint64_t WorkerCalls_ = 0;
  double ModelSeconds_ = 0; ///< Spent in the models, not in the entry.
};

void answerWorker(Holder &H, const peering::WorkerCall &Call,
                  peering::Outbox &Out) {
  std::string Body = standin_wire::toJson(Call).dump();
  double Before = cpuSeconds();
  auto Reply = harness::handle(H.Workers_.at(Call.Worker_), Now, Call);
  std::string Text = harness::toJson(Reply).dump();
  H.ModelSeconds_ += cpuSeconds() - Before;
  H.WorkerBytes_ += Body.size() + Text.size();
  ++H.WorkerCalls_;
  node::onWorkerReply(
      H.Node_, Now,
      standin_wire::parseWorkerReply(
          Call, Reply.Status_ == peering::CallStatus::Ok ? 200 : 409, Text),
      Out);
}

/// Answers a read when there is something new or the long poll is over.
void answerRead(Holder &H, peering::Outbox &Out) {
  constexpr Milliseconds LongPoll{2'000};
  constexpr std::size_t ReadLimit = 5'000;
  if (!H.Read_ || (H.Read_->FirstOffset_ >= H.Log_.Next_ && Now < H.NextRead_))
    return;
  H.NextRead_ = Now + LongPoll;
  auto Call = *H.Read_;
  H.Read_.reset();
  node::onRead(H.Node_, Now, Call.Call_,
               harness::read(H.Log_, Call.FirstOffset_, ReadLimit), Out);
}

/// Answers every call until none is left, workers over JSON text as the binary
/// does.
void answer(Holder &H, peering::Outbox Out) {
  for (bool Busy = true; Busy;) {
    peering::Outbox Next;
    for (const auto &Call : Out.Workers_)
      answerWorker(H, Call, Next);
    for (const auto &Call : Out.Appends_) {
      harness::append(H.Log_, Call.Records_);
      node::onAppend(H.Node_, Now, Call.Call_, eventlog::AppendStatus::Appended,
                     Next);
    }
    for (const auto &Call : Out.Reads_)
      H.Read_ = Call;
    if (H.HasLog_)
      answerRead(H, Next);
    Busy = !Next.Workers_.empty() || !Next.Appends_.empty() ||
           !Next.Reads_.empty();
    Out = std::move(Next);
  }
}

void run(Holder &H, Milliseconds Length) {
  constexpr Milliseconds Tick{50};
  for (TimePoint End = Now + Length; Now < End; Now += Tick) {
    peering::Outbox Out;
    node::tick(H.Node_, Now, Out);
    if (Out.ListVms_)
      H.Node_.Members_.ListInFlight_ = false;
    answer(H, std::move(Out));
  }
}

std::unique_ptr<Holder> makeHolder(int Workers, int Tasks) {
  auto H = std::make_unique<Holder>();
  node::Options O;
  O.Self_ = "e1.00000000";
  O.Address_ = "127.0.0.1:1";
  O.Dc_ = "dc0";
  H->Node_ = node::makeNode(O, Now);
  membership::VmList List{1, {}};
  for (int I = 0; I < Workers; ++I) {
    membership::Vm V;
    V.Name_ = "worker-" + std::to_string(I);
    V.Address_ = "127.0.0.1:2/w/" + V.Name_;
    V.Rack_ = "rack-" + std::to_string(I / 4);
    V.Dc_ = "dc0";
    V.Labels_ = {{"pool", "planning"}};
    V.Capacity_ = {64'000, 131'072, 0};
    List.Vms_.push_back(V);
    harness::WorkerModel &W = H->Workers_[V.Name_];
    W.Name_ = V.Name_;
    W.Capacity_ = V.Capacity_;
    for (int T = 0; T < Tasks; ++T) {
      AttemptId Id{"j-e1.00000000-" + std::to_string(I * Tasks + T), 0,
                   "e1.00000000", 1};
      harness::ModelTask &M = W.Tasks_[Id];
      M.Endless_ = true;
      M.Revision_ = ++W.Revision_;
      M.Task_.Name_ = "season-calendar";
      M.Task_.Team_ = "mowing";
      M.Task_.Size_ = {2'000, 4'096, 0};
    }
  }
  peering::Outbox Out;
  node::onVmList(H->Node_, Now, true, List, Out);
  for (const auto &Call : Out.Reads_)
    H->Read_ = Call;
  return H;
}

struct Cost {
  double Heap_, CpuPerSecond_, BytesPerCall_, CallsPerSecond_;
};

Cost costOf(int Workers, int Tasks) {
  double Before = heapBytes();
  auto H = makeHolder(Workers, Tasks);
  double Models = heapBytes() - Before;
  run(*H, Milliseconds(10'000));
  double Heap = heapBytes() - Before - Models;
  constexpr double Seconds = 50;
  H->WorkerBytes_ = H->WorkerCalls_ = 0;
  H->ModelSeconds_ = 0;
  double Cpu = cpuSeconds();
  run(*H, Milliseconds(std::int64_t(Seconds * 1'000)));
  Cpu = cpuSeconds() - Cpu - H->ModelSeconds_;
  return {Heap, Cpu / Seconds,
          H->WorkerCalls_ ? double(H->WorkerBytes_) / H->WorkerCalls_ : 0,
          double(H->WorkerCalls_) / Seconds};
}

void printHolder() {
  Cost None = costOf(200, 0), Some = costOf(200, 28), Half = costOf(100, 28);
  std::printf("holder, 200 workers without tasks: %.2f%% of a core\n",
              None.CpuPerSecond_ * 100);
  std::printf("holder, 200 workers with 28 tasks each: %.2f%% of a core\n",
              Some.CpuPerSecond_ * 100);
  std::printf("holder, 100 workers with 28 tasks each: %.2f%% of a core\n",
              Half.CpuPerSecond_ * 100);
  std::printf("a worker with 28 tasks: %.0f us a second\n",
              (Some.CpuPerSecond_ - Half.CpuPerSecond_) / 100 * 1e6);
  std::printf("a worker: %.0f bytes of heap\n", None.Heap_ / 200);
  std::printf("a task at its holder: %.0f bytes of heap\n",
              (Some.Heap_ - None.Heap_) / (200 * 28));
  std::printf("a renewal: %.0f bytes without tasks, %.0f more a task, "
              "%.2f a worker and second\n",
              None.BytesPerCall_,
              (Some.BytesPerCall_ - None.BytesPerCall_) / 28,
              Some.CallsPerSecond_ / 200);
}

/// An entry that homes the jobs whose tasks run on its own workers.
double cpuWithJobs(int Workers, int Jobs, int TasksEach) {
  auto H = makeHolder(Workers, 0);
  H->HasLog_ = true;
  std::vector<eventlog::Record> Records;
  for (int I = 0; I < Jobs; ++I) {
    JobSpec Spec;
    Spec.Name_ = "season-calendar";
    Spec.Team_ = "mowing";
    Spec.Tasks_ = std::uint32_t(TasksEach);
    Spec.Size_ = {2'000, 4'096, 0};
    Records.push_back(eventlog::AcceptRecord{
        "j-e1.00000000-" + std::to_string(I), Spec, "e1.00000000", false});
  }
  harness::append(
      H->Log_, {eventlog::ConfigRecord{"c", 0, nlohmann::json::object(), ""}});
  harness::append(H->Log_, std::move(Records));
  run(*H, Milliseconds(60'000));
  std::size_t Running = 0;
  for (const auto &[Name, W] : H->Workers_)
    Running += W.Tasks_.size();
  if (Running != std::size_t(Jobs * TasksEach))
    std::printf("only %zu of %d tasks run\n", Running, Jobs * TasksEach);
  constexpr int Seconds = 50;
  H->ModelSeconds_ = 0;
  double Cpu = cpuSeconds();
  run(*H, std::chrono::seconds(Seconds));
  return (cpuSeconds() - Cpu - H->ModelSeconds_) / Seconds;
}

void printHome() {
  double Few = cpuWithJobs(200, 280, 10), Many = cpuWithJobs(200, 560, 10);
  std::printf("home and holder of 2800 / 5600 tasks on 200 workers: %.2f%% / "
              "%.2f%% of a core\n",
              Few * 100, Many * 100);
  std::printf("a task at its home and holder: %.2f us a second\n",
              (Many - Few) / 2'800 * 1e6);
}

eventlog::AcceptRecord acceptRecord(int I) {
  JobSpec Spec;
  Spec.Name_ = "season-calendar";
  Spec.Team_ = "mowing";
  Spec.Tasks_ = 3;
  Spec.Size_ = {2'000, 4'096, 0};
  return {"j-e1.00000000-" + std::to_string(I), Spec, "e1.00000000", false};
}

void printJobs() {
  constexpr int Jobs = 10'000;
  jobs::Table T;
  double Before = heapBytes();
  double Cpu = cpuSeconds();
  for (int I = 0; I < Jobs; ++I)
    jobs::apply(T, I + 1, acceptRecord(I));
  std::printf("an open job at every node: %.0f bytes of heap, %.1f us to "
              "apply\n",
              (heapBytes() - Before) / Jobs, (cpuSeconds() - Cpu) / Jobs * 1e6);
  std::printf("an accept record: %zu bytes in the log\n",
              eventlog::toJson(acceptRecord(1)).dump().size());
  std::printf(
      "an outcome record: %zu bytes in the log\n",
      eventlog::toJson(eventlog::OutcomeRecord{"j-e1.00000000-1", "done", ""})
          .dump()
          .size());
  std::printf("a task at its home: %zu bytes\n", sizeof(jobs::Task));
}

membership::Heartbeat makeHeartbeat(int Racks, int Teams, int Services) {
  membership::Heartbeat H;
  H.Sender_ = "e1.00000000";
  H.Address_ = "10.0.0.1:8200";
  H.Dc_ = "quetzaltenango";
  for (int I = 0; I < Racks; ++I)
    H.Racks_.push_back({"imagery-rack-" + std::to_string(I),
                        4,
                        {128'000, 262'144, 16},
                        {64'000, 131'072, 8}});
  for (int I = 0; I < Teams; ++I)
    H.TeamUsage_["team-" + std::to_string(I)] = {250'000, 500'000, 10};
  for (int I = 0; I < Services; ++I)
    H.FreeSlots_["service-" + std::to_string(I)] = 100;
  H.LivePeers_ = {"e2.00000000", "e3.00000000", "e4.00000000", "e5.00000000",
                  "e6.00000000"};
  return H;
}

std::size_t heartbeatBytes(int Racks, int Teams, int Services) {
  return peering::encode({"e1.00000000",
                          "@10.0.0.2:8200",
                          {makeHeartbeat(Racks, Teams, Services)}})
      .size();
}

/// Processor time to encode, decode and take in a full heartbeat.
double heartbeatSeconds(int Racks, int Teams) {
  constexpr int Rounds = 2'000;
  membership::State S;
  S.Self_ = "e2.00000000";
  double Cpu = cpuSeconds();
  for (int I = 0; I < Rounds; ++I) {
    auto Bytes = peering::encode(
        {"e1.00000000", "@10.0.0.2:8200", {makeHeartbeat(Racks, Teams, 2)}});
    auto Frame = peering::decode(Bytes);
    membership::onHeartbeat(
        S, Now,
        std::get<membership::Heartbeat>(Frame.value().Messages_.front()));
  }
  return (cpuSeconds() - Cpu) / Rounds;
}

void printPeers() {
  std::size_t Base = heartbeatBytes(0, 0, 0);
  std::printf("a heartbeat: %zu bytes, %.0f more a rack, %.0f a team, %.0f a "
              "service\n",
              Base, double(heartbeatBytes(100, 0, 0) - Base) / 100,
              double(heartbeatBytes(0, 100, 0) - Base) / 100,
              double(heartbeatBytes(0, 0, 100) - Base) / 100);
  std::printf("a full heartbeat of 54 racks and 100 teams, made, encoded, "
              "decoded and taken in: %.0f us\n",
              heartbeatSeconds(54, 100) * 1e6);
  auto Size = [](peering::PeerMessage M) {
    return peering::encode({"e1.00000000", "e2.00000000", {std::move(M)}})
        .size();
  };
  AttemptId Id{"svc:planning@e1.00000000-1", 12, "e1.00000000", 1};
  std::size_t Slots =
      Size(requests::SlotRequest{"planning", 1, 3'600'000, {}, false}) +
      Size(requests::SlotGrant{"planning", toString(Id), "10.0.0.9:80/i/12",
                               "solola", "planning-12", 9, 3'600'000, 2'000,
                               true}) +
      Size(requests::SlotReturn{toString(Id), 9, false});
  std::printf("slots of one request when they are scarce: %zu bytes\n", Slots);
  workers::HoldRequest Hold;
  Hold.Attempt_ = Id;
  Hold.Task_.Name_ = "season-calendar";
  Hold.Selector_["pool"] = {"planning"};
  std::size_t Start = Size(Hold) +
                      Size(workers::HoldReply{Id, true, "planning-12", {}}) +
                      Size(workers::Commit{Id, "planning-12"}) +
                      2 * Size(workers::TaskReport{Id, "planning-12", 1, ""}) +
                      Size(workers::TaskAck{Id, "planning-12"});
  std::printf("a task from hold to outcome at another holder: %zu bytes\n",
              Start);
}

} // namespace

int main() {
  printHolder();
  printHome();
  printJobs();
  printPeers();
  return 0;
}
