#include "node/node.hpp"

#include <charconv>

namespace pollenvale::node {

using nlohmann::json;
using peering::Outbox;

namespace {

constexpr std::string_view ServicePath = "/v1/services/";
constexpr std::string_view JobPath = "/v1/jobs/";
constexpr std::string_view ExplainSuffix = "/explain";
constexpr std::size_t ListLimit = 1'000;

struct Call {
  Node &N_;
  TimePoint Now_;
  const CallerRequest &R_;
  Outbox &Out_;

  void refuse(ErrorKind Kind, const std::string &Message) const {
    requests::answerError(N_.Requests_.Counters_, Out_, R_.Connection_, Kind,
                          Message);
  }
  void answer(int Code, const json &Body) const {
    Out_.Callers_.push_back({R_.Connection_, Code, Body.dump()});
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
  std::int64_t Value = 0;
  auto [End, Err] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Err != std::errc() || End != Text.data() + Text.size() || Value < 1 ||
      Milliseconds(Value) > requests::MaxDeadline)
    return std::nullopt;
  return Milliseconds(Value);
}

void callService(const Call &C, const std::string &Service) {
  if (C.N_.Stopping_)
    return C.refuse(ErrorKind::Stopping, "this entry is stopping");
  auto Mode = parseMode(C.R_.Mode_);
  auto Deadline = parseDeadline(C.R_.DeadlineMs_);
  if (!Mode)
    return C.refuse(ErrorKind::BadSpec,
                    "X-Pollenvale-Mode: expected repeatable, single or once, "
                    "found '" +
                        C.R_.Mode_ + "'");
  if (!Deadline)
    return C.refuse(ErrorKind::BadSpec,
                    "X-Pollenvale-Deadline-Ms: expected 1 to 600000, found '" +
                        C.R_.DeadlineMs_ + "'");
  requests::Request R;
  R.Connection_ = C.R_.Connection_;
  R.Service_ = Service;
  R.Class_ = C.R_.Class_;
  R.Mode_ = *Mode;
  R.Body_ = C.R_.Body_;
  R.ArrivedAt_ = C.Now_;
  R.Deadline_ = C.Now_ + *Deadline;
  auto Context = requestsContext(C.N_, C.Now_, C.Out_);
  requests::onRequest(C.N_.Requests_, Context, std::move(R));
}

/// Nothing when the job could run on the listed VMs, else why it never can.
std::optional<Error> checkFeasible(const Node &N, const JobSpec &Spec) {
  std::size_t Matching = 0;
  auto Selector = config::effectiveSelector(N.Config_.Doc_, Spec);
  // A gang needs all its tasks at once, other jobs one after another.
  std::uint64_t Need = Spec.Kind_ == JobKind::Gang ? Spec.Tasks_ : 1;
  std::uint64_t Fit =
      placement::couldEverRun(N.Fleet_, Selector, Spec.Size_, Need, Matching);
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

std::optional<Error> checkJob(const Node &N, const JobSpec &Spec) {
  if (!N.Config_.VersionKnown_ || N.Config_.Version_ == 0)
    return makeError(ErrorKind::NoConfig, "no configuration is in force yet");
  if (Spec.Kind_ == JobKind::Service)
    return makeError(ErrorKind::BadSpec,
                     "kind: services come from the configuration");
  if (Spec.Key_.rfind("svc:", 0) == 0)
    return makeError(ErrorKind::BadSpec, "key: must not begin with 'svc:'");
  auto Quota = N.Config_.Doc_.Quotas_.find(Spec.Team_);
  if (Quota != N.Config_.Doc_.Quotas_.end() && !Quota->second.MayBorrow_ &&
      !fits(Spec.Size_, Quota->second.Amount_))
    return makeError(ErrorKind::QuotaExceeded,
                     "one task is above the quota of team " + Spec.Team_);
  return checkFeasible(N, Spec);
}

void postJob(const Call &C) {
  if (C.N_.Stopping_)
    return C.refuse(ErrorKind::Stopping, "this entry is stopping");
  json Doc = json::parse(C.R_.Body_, nullptr, false);
  if (Doc.is_discarded())
    return C.refuse(ErrorKind::BadJson, "body: not valid JSON");
  auto Spec = parseJobSpec(Doc);
  if (!Spec)
    return C.refuse(Spec.error().Kind_, Spec.error().Message_);
  if (auto E = checkJob(C.N_, Spec.value()))
    return C.refuse(E->Kind_, E->Message_);
  if (C.N_.Log_.Unreachable_ || !C.N_.Log_.CaughtUp_)
    return C.refuse(ErrorKind::LogUnavailable,
                    "the log service does not answer; try again");
  JobId Id = "j-" + C.N_.Self_ + "-" + std::to_string(++C.N_.LastId_);
  C.N_.Accepting_[Id] = {C.R_.Connection_, C.Now_ + AcceptTimeout};
  eventlog::append(C.N_.Log_,
                   eventlog::AcceptRecord{Id, Spec.value(), C.N_.Self_, false},
                   false);
}

void getJob(const Call &C, const JobId &Id) {
  if (!jobs::find(C.N_.Table_, Id))
    return C.refuse(ErrorKind::UnknownId, "no job '" + Id + "'");
  C.answer(200, jobStatus(C.N_, Id));
}

void explainJob(const Call &C, const JobId &Id) {
  const jobs::Job *J = jobs::findWork(C.N_.Table_, Id);
  if (!J)
    return C.refuse(ErrorKind::UnknownId, "no job '" + Id + "'");
  C.N_.Querying_[C.R_.Connection_] = {C.R_.Connection_, C.Now_ + QueryTimeout};
  peering::send(C.Out_, J->Home_, peering::JobQuery{J->Id_, C.R_.Connection_});
}

void cancelJob(const Call &C, const JobId &Id) {
  const jobs::Job *J = jobs::findWork(C.N_.Table_, Id);
  if (!J)
    return C.refuse(ErrorKind::UnknownId, "no job '" + Id + "'");
  if (J->Closed_)
    return C.answer(200, jobStatus(C.N_, Id));
  if (C.N_.Log_.Unreachable_)
    return C.refuse(ErrorKind::LogUnavailable,
                    "the log service does not answer; try again");
  C.N_.Cancelling_.emplace(
      J->Id_, WaitingCaller{C.R_.Connection_, C.Now_ + CancelTimeout});
  if (!J->Cancelled_)
    eventlog::append(C.N_.Log_, eventlog::CancelRecord{J->Id_}, false);
}

void listJobs(const Call &C) {
  json Out = json::array();
  for (const auto &[Id, J] : C.N_.Table_.Jobs_)
    if (!J.Closed_ && Out.size() < ListLimit)
      Out.push_back(jobStatus(C.N_, Id));
  C.answer(200, Out);
}

void getConfig(const Call &C) {
  if (!C.N_.Config_.VersionKnown_)
    return C.refuse(ErrorKind::NoConfig, "no configuration is known yet");
  C.answer(200, {{"version", C.N_.Config_.Version_},
                 {"doc", C.N_.Config_.Version_ == 0 ? json::object()
                                                    : C.N_.Config_.Json_}});
}

void postConfig(const Call &C, bool OnlyValidate) {
  json Doc = json::parse(C.R_.Body_, nullptr, false);
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
  if (C.N_.Stopping_)
    return C.refuse(ErrorKind::Stopping, "this entry is stopping");
  if (!C.N_.Config_.VersionKnown_ || C.N_.Log_.Unreachable_)
    return C.refuse(ErrorKind::LogUnavailable,
                    "the log service does not answer; try again");
  if (Base.get<Offset>() < C.N_.Config_.Version_)
    return C.refuse(ErrorKind::ConfigConflict,
                    "base " + Base.dump() + " lost to version " +
                        std::to_string(C.N_.Config_.Version_) +
                        "; get it, merge and publish again");
  std::string Id = "c-" + C.N_.Self_ + "-" + std::to_string(++C.N_.LastId_);
  C.N_.Publishing_[Id] = {C.R_.Connection_, C.Now_ + PublishTimeout};
  eventlog::append(
      C.N_.Log_,
      eventlog::ConfigRecord{Id, Base.get<Offset>(), Doc["doc"], C.N_.Self_},
      false);
}

void listWorkers(const Call &C) {
  json Out = json::array();
  for (const auto &[Name, W] : C.N_.Workers_.Workers_) {
    if (!workers::isHeld(W, C.Now_))
      continue;
    json Tasks = json::array();
    for (const auto &[Id, A] : W.Attempts_)
      if (A.Phase_ == workers::Phase::Running)
        Tasks.push_back(toString(Id));
    Out.push_back({{"worker", Name},
                   {"rack", W.Vm_.Rack_},
                   {"dc", W.Vm_.Dc_},
                   {"leaving", W.Vm_.Leaving_},
                   {"set_aside", C.Now_ < W.AsideUntil_},
                   {"labels", W.Labels_},
                   {"capacity", toJson(W.Capacity_)},
                   {"free", toJson(workers::freeRoom(W))},
                   {"tasks", Tasks}});
  }
  C.answer(200, Out);
}

void getReady(const Call &C) {
  if (!isReady(C.N_))
    return C.refuse(C.N_.Stopping_ ? ErrorKind::Stopping : ErrorKind::NoConfig,
                    "not ready");
  C.answer(200, {{"ready", true}});
}

/// Picks the handler of a fixed path. Returns false for an unknown one.
bool routeFixed(const Call &C) {
  const std::string &Path = C.R_.Path_, &Method = C.R_.Method_;
  auto Need = [&](const char *Wanted) {
    if (Method == Wanted)
      return true;
    C.refuse(ErrorKind::WrongMethod,
             Path + ": expected " + Wanted + ", found " + Method);
    return false;
  };
  if (Path == "/v1/jobs") {
    if (Method == "GET")
      listJobs(C);
    else if (Need("POST"))
      postJob(C);
  } else if (Path == "/v1/config") {
    if (Method == "GET")
      getConfig(C);
    else if (Need("POST"))
      postConfig(C, false);
  } else if (Path == "/v1/config/validate") {
    if (Need("POST"))
      postConfig(C, true);
  } else if (Path == "/v1/status") {
    if (Need("GET"))
      C.answer(200, statusOf(C.N_, C.Now_));
  } else if (Path == "/v1/workers") {
    if (Need("GET"))
      listWorkers(C);
  } else if (Path == "/ready") {
    if (Need("GET"))
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
  bool Explain = isExplain(C.R_.Path_);
  if (C.R_.Method_ == "GET")
    return Explain ? explainJob(C, Id) : getJob(C, Id);
  if (C.R_.Method_ == "DELETE" && !Explain)
    return cancelJob(C, Id);
  C.refuse(ErrorKind::WrongMethod, C.R_.Path_ + ": expected GET or DELETE");
}

void routeJob(const Call &C) {
  JobId Id = jobInPath(C.R_.Path_);
  // Only ids of this form come from an entry.
  if (jobs::find(C.N_.Table_, Id) || Id.rfind("j-", 0) != 0)
    return routeKnownJob(C, Id);
  C.N_.Deferred_.push_back({C.R_, Id, C.Now_});
}

} // namespace

void resumeDeferred(Node &N, TimePoint Now, Outbox &Out) {
  auto Waiting = std::move(N.Deferred_);
  N.Deferred_.clear();
  for (DeferredCall &D : Waiting) {
    Call C{N, Now, D.Request_, Out};
    bool Fresh = N.Log_.FreshAsOf_ > D.ArrivedAt_;
    if (Fresh || jobs::find(N.Table_, D.Job_))
      routeKnownJob(C, D.Job_);
    else if (elapsed(D.ArrivedAt_, Now) >= LookTimeout)
      C.refuse(ErrorKind::LogUnavailable,
               "the log service does not answer and job '" + D.Job_ +
                   "' is not known here; try again");
    else
      N.Deferred_.push_back(std::move(D));
  }
}

void onCallerRequest(Node &N, TimePoint Now, const CallerRequest &R,
                     Outbox &Out) {
  Call C{N, Now, R, Out};
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
  settle(N, Now, Out);
}

json jobStatus(const Node &N, const JobId &Id) {
  const jobs::Job *Asked = jobs::find(N.Table_, Id);
  const jobs::Job *J = jobs::findWork(N.Table_, Id);
  if (!J || !Asked)
    return {{"job", Id}, {"state", "unknown"}};
  json Out = {{"job", Id},
              {"state", J->State_},
              {"kind", toString(J->Spec_.Kind_)},
              {"name", J->Spec_.Name_},
              {"tasks", J->Spec_.Tasks_},
              {"home", J->Home_},
              {"reason", J->Reason_}};
  if (J != Asked)
    Out["attached_to"] = J->Id_;
  if (J->Cancelled_ && !J->Closed_)
    Out["state"] = "cancelling";
  return Out;
}

void answerJobChange(Node &N, const jobs::Change &C, Outbox &Out) {
  using Kind = jobs::Change::Kind;
  if (C.Kind_ == Kind::Accepted || C.Kind_ == Kind::Attached) {
    auto Waiting = N.Accepting_.extract(C.Jobs_.front());
    if (!Waiting.empty()) {
      count(N.Counters_, "job-accepted");
      peering::noteJob(
          Out, "job-accepted", C.Jobs_.front(),
          {{"home", C.Home_},
           {"attached_to", C.Kind_ == Kind::Attached
                               ? jobs::findWork(N.Table_, C.Jobs_.front())->Id_
                               : ""}});
      Out.Callers_.push_back({Waiting.mapped().Connection_, 202,
                              jobStatus(N, C.Jobs_.front()).dump()});
    }
  }
  if (C.Kind_ != Kind::Closed)
    return;
  auto [First, Last] = N.Cancelling_.equal_range(C.Jobs_.front());
  for (auto It = First; It != Last; ++It)
    Out.Callers_.push_back(
        {It->second.Connection_, 200, jobStatus(N, C.Jobs_.front()).dump()});
  N.Cancelling_.erase(First, Last);
}

void answerVerdict(Node &N, const std::string &Id, const config::Verdict &V,
                   Outbox &Out) {
  auto Waiting = N.Publishing_.extract(Id);
  if (Waiting.empty())
    return;
  std::uint64_t Connection = Waiting.mapped().Connection_;
  if (V.Accepted_)
    Out.Callers_.push_back(
        {Connection, 200, json{{"version", V.Version_}}.dump()});
  else
    requests::answerError(N.Counters_, Out, Connection,
                          ErrorKind::ConfigConflict, V.Reason_);
}

namespace {

template <class Map>
void expire(Node &N, Map &Waiting, TimePoint Now, ErrorKind Kind,
            const std::string &Message, Outbox &Out) {
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (Now < It->second.Until_) {
      ++It;
      continue;
    }
    std::string Text;
    if constexpr (std::is_same_v<typename Map::key_type, std::string>)
      Text = It->first + ": ";
    Text += Message;
    requests::answerError(N.Counters_, Out, It->second.Connection_, Kind, Text);
    It = Waiting.erase(It);
  }
}

} // namespace

void expireCallers(Node &N, TimePoint Now, Outbox &Out) {
  expire(N, N.Accepting_, Now, ErrorKind::LogUnknown,
         "not known yet whether it is accepted; look it up later", Out);
  expire(N, N.Publishing_, Now, ErrorKind::LogUnknown,
         "not known yet whether it is in force; get the configuration", Out);
  expire(N, N.Cancelling_, Now, ErrorKind::CancelPending,
         "cancellation is not confirmed yet; look the job up later", Out);
  expire(N, N.Querying_, Now, ErrorKind::CancelPending,
         "the job's home did not answer", Out);
}

void onJobQuery(Node &N, const NodeId &From, const peering::JobQuery &Q,
                Outbox &Out) {
  json Answer = jobStatus(N, Q.Job_);
  Answer["task_list"] = jobs::explain(N.Jobs_, Q.Job_);
  peering::send(Out, From, peering::JobAnswer{Q.Connection_, Answer.dump()});
}

void onJobAnswer(Node &N, const peering::JobAnswer &A, Outbox &Out) {
  if (N.Querying_.erase(A.Connection_))
    Out.Callers_.push_back({A.Connection_, 200, A.Json_});
}

} // namespace pollenvale::node
