#include "node/node.hpp"

#include <charconv>

namespace pollenvale::node {

using nlohmann::json;
using peering::Outbox;

namespace {

constexpr std::string_view ServicePath = "/v1/services/";
constexpr std::string_view JobPath = "/v1/jobs/";
constexpr std::string_view ExplainSuffix = "/explain";
constexpr std::size_t MaxListedJobs = 1'000;

struct Call {
  Node &Node_;
  TimePoint Now_;
  const CallerRequest &Req_;
  Outbox &Out_;

  void refuse(ErrorKind Kind, const std::string &Message) const {
    requests::answerError(Node_.Requests_.Counters_, Out_, Req_.Connection_,
                          Kind, Message);
  }
  void answer(int Code, const json &Body) const {
    Out_.Callers_.push_back({Req_.Connection_, Code, Body.dump()});
  }
};

std::optional<requests::Mode> parseMode(const std::string &Text) {
  if (Text.empty() || Text == "repeatable")
    return requests::Mode::Repeatable;
  if (Text == "single")
    return requests::Mode::Single;
  if (Text == "once")
    return requests::Mode::Once;
  return std::nullopt;
}

std::optional<Milliseconds> parseDeadline(const std::string &Text) {
  if (Text.empty())
    return requests::DefaultDeadline;
  std::int64_t Ms = 0;
  auto [End, Err] = std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  if (Err != std::errc() || End != Text.data() + Text.size() || Ms < 1 ||
      Milliseconds(Ms) > requests::MaxDeadline)
    return std::nullopt;
  return Milliseconds(Ms);
}

void callService(const Call &C, const std::string &Service) {
  if (C.Node_.Stopping_)
    return C.refuse(ErrorKind::Stopping, "this entry is stopping");
  auto Mode = parseMode(C.Req_.Mode_);
  auto Deadline = parseDeadline(C.Req_.DeadlineMs_);
  if (!Mode)
    return C.refuse(ErrorKind::BadSpec,
                    "X-Pollenvale-Mode: expected repeatable, single or once, "
                    "found '" +
                        C.Req_.Mode_ + "'");
  if (!Deadline)
    return C.refuse(ErrorKind::BadSpec,
                    "X-Pollenvale-Deadline-Ms: expected 1 to 600000, found '" +
                        C.Req_.DeadlineMs_ + "'");
  requests::Request R;
  R.Connection_ = C.Req_.Connection_;
  R.Service_ = Service;
  R.Class_ = C.Req_.Class_;
  R.Mode_ = *Mode;
  R.Body_ = C.Req_.Body_;
  R.ArrivedAt_ = C.Now_;
  R.Deadline_ = C.Now_ + *Deadline;
  auto Context = requestsContext(C.Node_, C.Now_, C.Out_);
  requests::onRequest(C.Node_.Requests_, Context, std::move(R));
}

/// Why the job cannot run even on empty workers; nothing if it can.
std::optional<Error> checkFeasible(const Node &Node, const JobSpec &Spec) {
  std::size_t Matching = 0;
  auto Selector = config::effectiveSelector(Node.Config_.Doc_, Spec);
  // Only the tasks of a gang must all run at the same time.
  std::uint64_t Need = Spec.Kind_ == JobKind::Gang ? Spec.Tasks_ : 1;
  std::uint64_t Fit = placement::maxRunnableTasks(Node.Fleet_, Selector,
                                                  Spec.Size_, Need, Matching);
  if (Matching == 0)
    return makeError(ErrorKind::SelectorMatchesNothing,
                     "selector " + toJson(Selector).dump() +
                         " matches no listed worker");
  if (Fit < Need)
    return makeError(ErrorKind::NoWorkerFits,
                     "size " + toJson(Spec.Size_).dump() + ": room for " +
                         std::to_string(Fit) + " of " + std::to_string(Need) +
                         " tasks on " + std::to_string(Matching) +
                         " matching workers if they were empty");
  return std::nullopt;
}

std::optional<Error> checkJob(const Node &Node, const JobSpec &Spec) {
  if (!Node.Config_.VersionKnown_ || Node.Config_.Version_ == 0)
    return makeError(ErrorKind::NoConfig, "no configuration is in force yet");
  if (Spec.Kind_ == JobKind::Service)
    return makeError(ErrorKind::BadSpec, "kind: expected batch or gang");
  if (Spec.Key_.rfind("svc:", 0) == 0)
    return makeError(ErrorKind::BadSpec, "key: must not begin with 'svc:'");
  auto Quota = Node.Config_.Doc_.Quotas_.find(Spec.Team_);
  if (Quota != Node.Config_.Doc_.Quotas_.end() && !Quota->second.MayBorrow_ &&
      !fits(Spec.Size_, Quota->second.Amount_))
    return makeError(ErrorKind::QuotaExceeded,
                     "one task exceeds the quota of team " + Spec.Team_);
  return checkFeasible(Node, Spec);
}

void postJob(const Call &C) {
  if (C.Node_.Stopping_)
    return C.refuse(ErrorKind::Stopping, "this entry is stopping");
  json Doc = json::parse(C.Req_.Body_, nullptr, false);
  if (Doc.is_discarded())
    return C.refuse(ErrorKind::BadJson, "body: not valid JSON");
  auto Spec = parseJobSpec(Doc);
  if (!Spec)
    return C.refuse(Spec.error().Kind_, Spec.error().Message_);
  if (auto E = checkJob(C.Node_, Spec.value()))
    return C.refuse(E->Kind_, E->Message_);
  if (C.Node_.Log_.Unreachable_ || !C.Node_.Log_.CaughtUp_)
    return C.refuse(ErrorKind::LogUnavailable,
                    "the log service does not answer; try again");
  JobId Id = "j-" + C.Node_.Self_ + "-" + std::to_string(++C.Node_.LastId_);
  C.Node_.PendingAccepts_[Id] = {C.Req_.Connection_, C.Now_ + AcceptTimeout};
  eventlog::append(
      C.Node_.Log_,
      eventlog::AcceptRecord{Id, Spec.value(), C.Node_.Self_, false}, false);
}

void getJob(const Call &C, const JobId &Id) {
  if (!jobs::findJob(C.Node_.Table_, Id))
    return C.refuse(ErrorKind::UnknownId, "no job '" + Id + "'");
  C.answer(200, jobStatus(C.Node_, Id));
}

void explainJob(const Call &C, const JobId &Id) {
  const jobs::Job *Job = jobs::findResultJob(C.Node_.Table_, Id);
  if (!Job)
    return C.refuse(ErrorKind::UnknownId, "no job '" + Id + "'");
  C.Node_.PendingQueries_[C.Req_.Connection_] = {C.Req_.Connection_,
                                                 C.Now_ + QueryTimeout};
  peering::send(C.Out_, Job->Home_,
                peering::JobQuery{Job->Id_, C.Req_.Connection_});
}

void cancelJob(const Call &C, const JobId &Id) {
  const jobs::Job *Job = jobs::findResultJob(C.Node_.Table_, Id);
  if (!Job)
    return C.refuse(ErrorKind::UnknownId, "no job '" + Id + "'");
  if (Job->Closed_)
    return C.answer(200, jobStatus(C.Node_, Id));
  if (C.Node_.Log_.Unreachable_)
    return C.refuse(ErrorKind::LogUnavailable,
                    "the log service does not answer; try again");
  C.Node_.PendingCancels_.emplace(
      Job->Id_, PendingCaller{C.Req_.Connection_, C.Now_ + CancelTimeout});
  if (!Job->Cancelled_)
    eventlog::append(C.Node_.Log_, eventlog::CancelRecord{Job->Id_}, false);
}

void listJobs(const Call &C) {
  json Out = json::array();
  for (const auto &[Id, J] : C.Node_.Table_.Jobs_)
    if (!J.Closed_ && Out.size() < MaxListedJobs)
      Out.push_back(jobStatus(C.Node_, Id));
  C.answer(200, Out);
}

void getConfig(const Call &C) {
  if (!C.Node_.Config_.VersionKnown_)
    return C.refuse(ErrorKind::NoConfig, "no configuration is known yet");
  C.answer(200,
           {{"version", C.Node_.Config_.Version_},
            {"doc", C.Node_.Config_.Version_ == 0 ? json::object()
                                                  : C.Node_.Config_.Json_}});
}

void postConfig(const Call &C, bool OnlyValidate) {
  json Doc = json::parse(C.Req_.Body_, nullptr, false);
  if (Doc.is_discarded() || !Doc.is_object() || !Doc.contains("doc"))
    return C.refuse(ErrorKind::BadJson, "body: expected {\"base\", \"doc\"}");
  auto Parsed = config::parseDocument(Doc["doc"]);
  if (!Parsed)
    return C.refuse(Parsed.error().Kind_, Parsed.error().Message_);
  if (OnlyValidate)
    return C.answer(200, {{"valid", true}});
  json Base = Doc.value("base", json());
  if (!Base.is_number_unsigned())
    return C.refuse(ErrorKind::BadSpec,
                    "base: expected the version the change starts from");
  if (C.Node_.Stopping_)
    return C.refuse(ErrorKind::Stopping, "this entry is stopping");
  if (!C.Node_.Config_.VersionKnown_ || C.Node_.Log_.Unreachable_)
    return C.refuse(ErrorKind::LogUnavailable,
                    "the log service does not answer; try again");
  if (Base.get<Offset>() < C.Node_.Config_.Version_)
    return C.refuse(ErrorKind::ConfigConflict,
                    "base " + Base.dump() + " lost to version " +
                        std::to_string(C.Node_.Config_.Version_) +
                        "; get it, merge and publish again");
  std::string Id =
      "c-" + C.Node_.Self_ + "-" + std::to_string(++C.Node_.LastId_);
  C.Node_.PendingPublishes_[Id] = {C.Req_.Connection_, C.Now_ + PublishTimeout};
  eventlog::append(
      C.Node_.Log_,
      eventlog::ConfigRecord{Id, Base.get<Offset>(), Doc["doc"], C.Node_.Self_},
      false);
}

void listWorkers(const Call &C) {
  json Out = json::array();
  for (const auto &[Name, Worker] : C.Node_.Workers_.Workers_) {
    if (!workers::isHeld(Worker, C.Now_))
      continue;
    json Tasks = json::array();
    for (const auto &[Id, Attempt] : Worker.Attempts_)
      if (Attempt.Phase_ == workers::Phase::Running)
        Tasks.push_back(toString(Id));
    Out.push_back({{"worker", Name},
                   {"rack", Worker.Vm_.Rack_},
                   {"dc", Worker.Vm_.Dc_},
                   {"leaving", Worker.Vm_.Leaving_},
                   {"set_aside", C.Now_ < Worker.SetAsideUntil_},
                   {"labels", Worker.Labels_},
                   {"capacity", toJson(Worker.Capacity_)},
                   {"free", toJson(workers::freeRoom(Worker))},
                   {"tasks", Tasks}});
  }
  C.answer(200, Out);
}

void getReady(const Call &C) {
  if (!isReady(C.Node_))
    return C.refuse(C.Node_.Stopping_ ? ErrorKind::Stopping
                                      : ErrorKind::NoConfig,
                    "not ready");
  C.answer(200, {{"ready", true}});
}

/// Calls the handler of a path without parameters; false for an unknown path.
bool routeFixed(const Call &C) {
  const std::string &Path = C.Req_.Path_, &Method = C.Req_.Method_;
  auto RequireMethod = [&](const char *Wanted) {
    if (Method == Wanted)
      return true;
    C.refuse(ErrorKind::WrongMethod,
             Path + ": expected " + Wanted + ", found " + Method);
    return false;
  };
  if (Path == "/v1/jobs") {
    if (Method == "GET")
      listJobs(C);
    else if (RequireMethod("POST"))
      postJob(C);
  } else if (Path == "/v1/config") {
    if (Method == "GET")
      getConfig(C);
    else if (RequireMethod("POST"))
      postConfig(C, false);
  } else if (Path == "/v1/config/validate") {
    if (RequireMethod("POST"))
      postConfig(C, true);
  } else if (Path == "/v1/status") {
    if (RequireMethod("GET"))
      C.answer(200, statusOf(C.Node_, C.Now_));
  } else if (Path == "/v1/workers") {
    if (RequireMethod("GET"))
      listWorkers(C);
  } else if (Path == "/ready") {
    if (RequireMethod("GET"))
      getReady(C);
  } else {
    return false;
  }
  return true;
}

bool isExplain(const std::string &Path) {
  return Path.size() > ExplainSuffix.size() && Path.ends_with(ExplainSuffix);
}

JobId jobInPath(const std::string &Path) {
  std::string Id = Path.substr(JobPath.size());
  if (isExplain(Id))
    Id.resize(Id.size() - ExplainSuffix.size());
  return Id;
}

void routeKnownJob(const Call &C, const JobId &Id) {
  bool Explain = isExplain(C.Req_.Path_);
  if (C.Req_.Method_ == "GET")
    return Explain ? explainJob(C, Id) : getJob(C, Id);
  if (C.Req_.Method_ == "DELETE" && !Explain)
    return cancelJob(C, Id);
  C.refuse(ErrorKind::WrongMethod, C.Req_.Path_ + ": expected GET or DELETE");
}

void routeJob(const Call &C) {
  JobId Id = jobInPath(C.Req_.Path_);
  // Entries only assign ids of this form.
  if (jobs::findJob(C.Node_.Table_, Id) || Id.rfind("j-", 0) != 0)
    return routeKnownJob(C, Id);
  C.Node_.DeferredCalls_.push_back({C.Req_, Id, C.Now_});
}

} // namespace

void resumeDeferred(Node &Node, TimePoint Now, Outbox &Out) {
  auto Calls = std::move(Node.DeferredCalls_);
  Node.DeferredCalls_.clear();
  for (DeferredCall &Deferred : Calls) {
    Call C{Node, Now, Deferred.Request_, Out};
    bool LogIsFresh = Node.Log_.FreshAsOf_ > Deferred.ArrivedAt_;
    if (LogIsFresh || jobs::findJob(Node.Table_, Deferred.Job_))
      routeKnownJob(C, Deferred.Job_);
    else if (elapsed(Deferred.ArrivedAt_, Now) >= UnknownJobTimeout)
      C.refuse(ErrorKind::LogUnavailable,
               "the log service does not answer and job '" + Deferred.Job_ +
                   "' is not known here; try again");
    else
      Node.DeferredCalls_.push_back(std::move(Deferred));
  }
}

void onCallerRequest(Node &Node, TimePoint Now, const CallerRequest &R,
                     Outbox &Out) {
  Call C{Node, Now, R, Out};
  if (R.Path_.rfind(ServicePath, 0) == 0) {
    if (R.Method_ == "POST")
      callService(C, R.Path_.substr(ServicePath.size()));
    else
      C.refuse(ErrorKind::WrongMethod, R.Path_ + ": expected POST");
  } else if (R.Path_.rfind(JobPath, 0) == 0) {
    routeJob(C);
  } else if (!routeFixed(C)) {
    C.refuse(ErrorKind::UnknownPath, "no path '" + R.Path_ + "'");
  }
  finishEvent(Node, Now, Out);
}

json jobStatus(const Node &Node, const JobId &Id) {
  const jobs::Job *Submitted = jobs::findJob(Node.Table_, Id);
  const jobs::Job *Job = jobs::findResultJob(Node.Table_, Id);
  if (!Job || !Submitted)
    return {{"job", Id}, {"state", "unknown"}};
  json Out = {{"job", Id},
              {"state", Job->State_},
              {"kind", toString(Job->Spec_.Kind_)},
              {"name", Job->Spec_.Name_},
              {"tasks", Job->Spec_.Tasks_},
              {"home", Job->Home_},
              {"reason", Job->Reason_}};
  if (Job != Submitted)
    Out["attached_to"] = Job->Id_;
  if (Job->Cancelled_ && !Job->Closed_)
    Out["state"] = "cancelling";
  return Out;
}

void answerJobChange(Node &Node, const jobs::Change &C, Outbox &Out) {
  using Kind = jobs::Change::Kind;
  if (C.Kind_ == Kind::Accepted || C.Kind_ == Kind::Attached) {
    auto Caller = Node.PendingAccepts_.extract(C.Jobs_.front());
    if (!Caller.empty()) {
      count(Node.Counters_, "job-accepted");
      peering::noteJob(
          Out, "job-accepted", C.Jobs_.front(),
          {{"home", C.Home_},
           {"attached_to",
            C.Kind_ == Kind::Attached
                ? jobs::findResultJob(Node.Table_, C.Jobs_.front())->Id_
                : ""}});
      Out.Callers_.push_back({Caller.mapped().Connection_, 202,
                              jobStatus(Node, C.Jobs_.front()).dump()});
    }
  }
  if (C.Kind_ != Kind::Closed)
    return;
  auto [First, Last] = Node.PendingCancels_.equal_range(C.Jobs_.front());
  for (auto It = First; It != Last; ++It)
    Out.Callers_.push_back(
        {It->second.Connection_, 200, jobStatus(Node, C.Jobs_.front()).dump()});
  Node.PendingCancels_.erase(First, Last);
}

void answerVerdict(Node &Node, const std::string &Id,
                   const config::Verdict &Verdict, Outbox &Out) {
  auto Caller = Node.PendingPublishes_.extract(Id);
  if (Caller.empty())
    return;
  std::uint64_t Connection = Caller.mapped().Connection_;
  if (Verdict.Accepted_)
    Out.Callers_.push_back(
        {Connection, 200, json{{"version", Verdict.Version_}}.dump()});
  else
    requests::answerError(Node.Counters_, Out, Connection,
                          ErrorKind::ConfigConflict, Verdict.Reason_);
}

namespace {

template <class Map>
void expire(Node &N, Map &Pending, TimePoint Now, ErrorKind Kind,
            const std::string &Message, Outbox &Out) {
  for (auto It = Pending.begin(); It != Pending.end();) {
    if (Now < It->second.ExpiresAt_) {
      ++It;
      continue;
    }
    std::string Text;
    if constexpr (std::is_same_v<typename Map::key_type, std::string>)
      Text = It->first + ": ";
    Text += Message;
    requests::answerError(N.Counters_, Out, It->second.Connection_, Kind, Text);
    It = Pending.erase(It);
  }
}

} // namespace

void expireCallers(Node &Node, TimePoint Now, Outbox &Out) {
  expire(Node, Node.PendingAccepts_, Now, ErrorKind::LogUnknown,
         "not known yet whether it is accepted; look it up later", Out);
  expire(Node, Node.PendingPublishes_, Now, ErrorKind::LogUnknown,
         "not known yet whether it is in force; get the configuration", Out);
  expire(Node, Node.PendingCancels_, Now, ErrorKind::CancelPending,
         "cancellation is not confirmed yet; look the job up later", Out);
  expire(Node, Node.PendingQueries_, Now, ErrorKind::CancelPending,
         "the job's home did not answer", Out);
}

void onJobQuery(Node &Node, const NodeId &From, const peering::JobQuery &Q,
                Outbox &Out) {
  json Answer = jobStatus(Node, Q.Job_);
  Answer["task_list"] = jobs::explain(Node.Jobs_, Q.Job_);
  peering::send(Out, From, peering::JobAnswer{Q.Connection_, Answer.dump()});
}

void onJobAnswer(Node &Node, const peering::JobAnswer &A, Outbox &Out) {
  if (Node.PendingQueries_.erase(A.Connection_))
    Out.Callers_.push_back({A.Connection_, 200, A.Json_});
}

} // namespace pollenvale::node
