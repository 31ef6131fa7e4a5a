/// \file
/// Stand-in for all workers of a cell. The second argument is the VM list file,
/// the third the address prefix of instances. POST /admin {"name", "bad"} makes
/// all tasks of a worker fail. GET /stats returns the attempts that ran and the
/// number of violations seen.
#include "harness/worker_model.hpp"
#include "standin.hpp"
#include "standin_wire/standin_wire.hpp"

#include <fstream>

using namespace pollenvale;
using namespace pollenvale::standins;

namespace {

struct Fleet {
  std::mutex Mutex_;
  std::map<std::string, harness::WorkerModel> Workers_;
  std::set<AttemptId> Started_;
  std::map<std::string, int> Frozen_;
  std::uint64_t DoubleRuns_ = 0;
  std::uint64_t Overcommits_ = 0;
};

TimePoint now() { return std::chrono::steady_clock::now(); }

/// Counts tasks with more than one running attempt and workers above their
/// capacity.
void countViolations(Fleet &F) {
  std::map<std::pair<JobId, std::uint32_t>, int> Running;
  for (auto &[Name, W] : F.Workers_) {
    harness::advance(W, now());
    if (!fits(harness::inUse(W), W.Capacity_))
      ++F.Overcommits_;
    for (const auto &[Id, T] : W.Tasks_)
      if (T.State_ == workers::AttemptState::Running &&
          ++Running[{Id.Job_, Id.Index_}] > 1)
        ++F.DoubleRuns_;
  }
}

json stats(Fleet &F) {
  countViolations(F);
  json Out = {{"double_runs", F.DoubleRuns_},
              {"overcommits", F.Overcommits_},
              {"attempts_started", F.Started_.size()},
              {"running", json::object()}};
  Counters Sum;
  std::map<std::string, std::set<std::string>> Attempts;
  for (const AttemptId &Id : F.Started_)
    Attempts[Id.Job_ + "/" + std::to_string(Id.Index_)].insert(toString(Id));
  for (const auto &[Task, Ids] : Attempts)
    Out["attempts"][Task] = Ids.size();
  for (auto &[Name, W] : F.Workers_) {
    for (const auto &[Key, Value] : W.Counters_)
      Sum[Key] += Value;
    for (const auto &[Id, T] : W.Tasks_)
      if (T.State_ == workers::AttemptState::Running)
        Out["running"][Name].push_back(toString(Id));
  }
  Out["counters"] = Sum;
  return Out;
}

peering::WorkerCall parseCall(const std::string &Op, const json &Doc) {
  peering::WorkerCall Call;
  for (auto Kind : {peering::WorkerOp::Acquire, peering::WorkerOp::Renew,
                    peering::WorkerOp::Release, peering::WorkerOp::Start,
                    peering::WorkerOp::Stop, peering::WorkerOp::Checkpoint,
                    peering::WorkerOp::Throttle})
    if (standin_wire::pathOf(Kind) == Op)
      Call.Op_ = Kind;
  Call.Holder_ = Doc.value("holder", "");
  Call.Token_ = Doc.value("token", Token(0));
  Call.Since_ = Doc.value("since", std::uint64_t(0));
  Call.CpuLimit_ = Doc.value("cpu_limit", std::int64_t(0));
  Call.Ttl_ = Milliseconds(Doc.value("ttl_ms", 0));
  if (Doc.contains("attempt"))
    Call.Attempt_ = parseAttemptId(Doc["attempt"]);
  if (Doc.contains("task"))
    Call.Task_ = standin_wire::parseTask(Doc["task"]);
  for (const json &Id : Doc.value("forget", json::array()))
    Call.Forget_.push_back(parseAttemptId(Id));
  return Call;
}

void onWorker(Fleet &F, const http::ServerRequest &R,
              const http::Responder &Respond) {
  constexpr std::string_view Prefix = "/w/";
  std::size_t Slash = R.Path_.rfind('/');
  auto It = R.Path_.rfind(Prefix, 0) == 0
                ? F.Workers_.find(
                      R.Path_.substr(Prefix.size(), Slash - Prefix.size()))
                : F.Workers_.end();
  json Doc = json::parse(R.Body_, nullptr, false);
  if (It == F.Workers_.end() || Doc.is_discarded())
    return Respond(reply(404, {{"error", "unknown worker"}}));
  auto Call = parseCall(R.Path_.substr(Slash), Doc);
  auto Reply = harness::handle(It->second, now(), Call);
  if (Call.Op_ == peering::WorkerOp::Start &&
      Reply.Status_ == peering::CallStatus::Ok)
    F.Started_.insert(Call.Attempt_);
  countViolations(F);
  Respond(reply(Reply.Status_ == peering::CallStatus::Ok ? 200 : 409,
                harness::toJson(Reply)));
}

} // namespace

int main(int Count, char **Values) {
  asio::io_context Io;
  Fleet F;
  if (Count < 4) {
    std::cerr << "worker: expected PORT VMS INSTANCES\n";
    return 2;
  }
  std::ifstream In(Values[2]);
  auto Vms = standin_wire::parseVmList(
      std::string(std::istreambuf_iterator<char>(In), {}));
  for (const membership::Vm &V : Vms.value().Vms_) {
    if (V.Entry_)
      continue;
    harness::WorkerModel &W = F.Workers_[V.Name_];
    W.Name_ = V.Name_;
    W.Capacity_ = V.Capacity_;
    W.InstanceBase_ = Values[3];
  }
  return serve(Io, Count, Values,
               [&](http::ServerRequest R, http::Responder Respond) {
                 std::lock_guard Lock(F.Mutex_);
                 if (R.Path_ == "/stats")
                   return Respond(reply(200, stats(F)));
                 if (R.Path_ == "/admin") {
                   json Doc = json::parse(R.Body_, nullptr, false);
                   F.Workers_.at(Doc.at("name")).Bad_ = Doc.at("bad");
                   return Respond(reply(200, json::object()));
                 }
                 onWorker(F, R, Respond);
               });
}
