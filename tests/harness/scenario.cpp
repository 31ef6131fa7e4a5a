#include "harness/scenario.hpp"

#include "harness/fakes.hpp"

#include <yaml-cpp/yaml.h>

namespace pollenvale::harness {

using nlohmann::json;

json defaultConfig(int Instances) {
  json Doc = {{"policies",
               {{"spread", {{"placement", "spread"}}},
                {"pack", {{"placement", "pack"}}}}},
              {"selectors",
               {{"services",
                 {{"work", {{"kind", "service"}}},
                  {"vms", {{"pool", "all"}}},
                  {"policy", "spread"}}}}}};
  if (Instances > 0)
    Doc["services"]["planning"] = {{"instances", Instances},
                                   {"slots", 8},
                                   {"size", {{"cpu", 1000}, {"memory", 512}}}};
  return Doc;
}

void publish(Cell &C, const std::string &Entry, const json &Doc,
             const std::string &Name) {
  json Body = {{"base", C.Entries_.at(Entry).Node_.Config_.Version_},
               {"doc", Doc}};
  call(C, Entry, {0, "POST", "/v1/config", Body.dump(), "", "", ""}, Name);
}

void submit(Cell &C, const std::string &Entry, json Job,
            const std::string &Name) {
  if (!Job.contains("name"))
    Job["name"] = Name;
  std::string JobName = Job["name"];
  if (Job.contains("key"))
    C.KeyByJobName_[JobName] = Job["key"];
  call(C, Entry, {0, "POST", "/v1/jobs", Job.dump(), "", "", ""}, Name, "",
       JobName);
}

void request(Cell &C, const std::string &Entry, const std::string &Mode,
             const json &Body, const std::string &Name, Milliseconds Deadline) {
  json Full = Body;
  Full["id"] = Name;
  call(C, Entry,
       {0, "POST", "/v1/services/planning", Full.dump(), Mode,
        Full.value("class", ""), std::to_string(Deadline.count())},
       Name, Name);
}

JobId jobOf(const Cell &C, const std::string &Name) {
  auto It = C.CallByName_.find(Name);
  if (It == C.CallByName_.end())
    return "";
  const Call &Done = C.Calls_.at(It->second);
  return Done.Code_ == 202 ? Done.Body_.value("job", "") : "";
}

std::string jobState(const Cell &C, const JobId &Id) {
  std::string State = "unknown";
  Offset Newest = 0;
  for (const auto &[Name, P] : C.Entries_)
    if (P.Alive_ && !P.Frozen_ && P.Node_.Log_.Next_ >= Newest) {
      Newest = P.Node_.Log_.Next_;
      State = node::jobStatus(P.Node_, Id).value("state", "unknown");
    }
  return State;
}

namespace {

json toJson(const YAML::Node &N) {
  if (N.IsMap()) {
    json Out = json::object();
    for (const auto &Entry : N)
      Out[Entry.first.as<std::string>()] = toJson(Entry.second);
    return Out;
  }
  if (N.IsSequence()) {
    json Out = json::array();
    for (const auto &Item : N)
      Out.push_back(toJson(Item));
    return Out;
  }
  auto Parsed = json::parse(N.Scalar(), nullptr, false);
  return Parsed.is_discarded() || Parsed.is_string() ? json(N.Scalar())
                                                     : Parsed;
}

Milliseconds duration(const json &Value) {
  std::string Text = Value;
  std::size_t Unit = 0;
  auto Number = std::stol(Text, &Unit);
  return Milliseconds(Text.substr(Unit) == "ms" ? Number : Number * 1'000);
}

struct Run {
  Cell &C_;
  Outcome &Out_;

  void fail(const std::string &What) const {
    trace(C_, "FAILED " + What);
    Out_.Failures_.push_back(C_.Trace_.back());
  }
};

const Call *findCall(const Cell &C, const std::string &Name) {
  auto It = C.CallByName_.find(Name);
  return It == C.CallByName_.end() ? nullptr : &C.Calls_.at(It->second);
}

bool areAllWorkersHeld(const Cell &C) {
  for (const auto &[Name, W] : C.Workers_) {
    if (!C.Vms_.count(Name))
      continue;
    bool Held = false;
    for (const auto &[Entry, P] : C.Entries_) {
      auto It = P.Node_.Workers_.Workers_.find(Name);
      Held |= P.Alive_ && !P.Frozen_ && It != P.Node_.Workers_.Workers_.end() &&
              workers::isHeld(It->second, C.Now_);
    }
    if (!Held)
      return false;
  }
  return true;
}

bool isConfigEverywhere(const Cell &C, Offset Version) {
  for (const auto &[Name, P] : C.Entries_)
    if (P.Alive_ && !P.Frozen_ && P.Node_.Config_.Version_ < Version)
      return false;
  return true;
}

std::uint64_t sumOfCounter(const Cell &C, const std::string &Name) {
  std::uint64_t Sum = 0;
  for (const auto &[Entry, P] : C.Entries_) {
    auto All = node::allCounters(P.Node_);
    auto It = All.find(Name);
    Sum += It == All.end() ? 0 : It->second;
  }
  return Sum;
}

/// True if every condition of an "expect" step holds.
bool holds(Cell &C, const json &E) {
  auto Attempts = [&](const std::string &Name) {
    return C.Started_[jobOf(C, Name)].size();
  };
  if (E.contains("job")) {
    JobId Id = jobOf(C, E["job"]);
    if (E.contains("state") && jobState(C, Id) != E["state"])
      return false;
    if (E.contains("running") &&
        countRunningTasks(C, Id) != E["running"].get<std::size_t>())
      return false;
    if (E.contains("attempts") && Attempts(E["job"]) != E["attempts"])
      return false;
  }
  if (E.contains("answer")) {
    const Call *Done = findCall(C, E["answer"]);
    if (!Done || !Done->Answered_)
      return false;
    if (E.contains("code") && Done->Code_ != E["code"])
      return false;
    if (E.contains("error") && Done->Body_.value("error", "") != E["error"])
      return false;
    if (E.contains("run") && Done->Body_.value("run", "") != E["run"])
      return false;
  }
  if (E.contains("answer_all"))
    for (int I = 1; I <= E["count"].get<int>(); ++I) {
      const Call *Done = findCall(C, E["answer_all"].get<std::string>() + "-" +
                                         std::to_string(I));
      if (!Done || !Done->Answered_ || Done->Code_ != E["code"])
        return false;
    }
  if (E.contains("broken")) {
    const Call *Done = findCall(C, E["broken"]);
    if (!Done || !Done->Broken_)
      return false;
  }
  if (E.contains("runs") && C.Runs_[E["runs"]] != E["times"].get<int>())
    return false;
  if (E.contains("config_of")) {
    const Call *Done = findCall(C, E["config_of"]);
    if (!Done || Done->Code_ != 200 ||
        !isConfigEverywhere(C, Done->Body_["version"]))
      return false;
  }
  if (E.contains("serving") &&
      countServingInstances(C, "planning") != E["serving"].get<std::size_t>())
    return false;
  if (E.contains("overused") &&
      countOverusedWorkers(C) != E["overused"].get<std::size_t>())
    return false;
  if (E.value("all_held", false) && !areAllWorkersHeld(C))
    return false;
  if (E.contains("counter") &&
      (sumOfCounter(C, E["counter"]) <
           E.value("at_least", std::uint64_t(E.contains("at_most") ? 0 : 1)) ||
       sumOfCounter(C, E["counter"]) > E.value("at_most", UINT64_MAX)))
    return false;
  if (E.contains("stopped") &&
      C.Entries_.at(E["stopped"].get<std::string>()).Alive_)
    return false;
  return true;
}

void expect(const Run &R, const json &E) {
  Cell &C = R.C_;
  Milliseconds Within = duration(E.value("within", json("0s")));
  TimePoint From = C.Now_;
  if (!runUntil(C, C.Now_ + Within, [&] { return holds(C, E); }))
    return R.fail("expect " + E.dump());
  if (E.contains("measure")) {
    std::string Line = E["measure"].get<std::string>() + ": " +
                       std::to_string(elapsed(From, C.Now_).count()) + " ms";
    trace(C, "measured " + Line);
    R.Out_.Summary_ += Line + "\n";
  }
}

void doRequest(const Run &R, const json &A) {
  json Body = json::object();
  for (const char *Key : {"run_ms", "fault", "class"})
    if (A.contains(Key))
      Body[Key] = A[Key];
  int Count = A.value("count", 1);
  for (int I = 1; I <= Count; ++I) {
    std::string Name = A["as"];
    if (Count > 1)
      Name += "-" + std::to_string(I);
    request(R.C_, A["entry"], A.value("mode", ""), Body, Name,
            duration(A.value("deadline", json("20s"))));
  }
}

void doSubmit(const Run &R, const json &A) {
  int Count = A.value("count", 1);
  for (int I = 1; I <= Count; ++I)
    submit(R.C_, A["entry"], A["job"],
           A["as"].get<std::string>() +
               (Count > 1 ? "-" + std::to_string(I) : ""));
}

void doPublish(const Run &R, const json &A) {
  json Doc = defaultConfig(A.value("instances", 2));
  if (A.contains("labels"))
    Doc["labels"] = A["labels"];
  if (A.contains("quotas"))
    Doc["quotas"] = A["quotas"];
  publish(R.C_, A["entry"], Doc, A["as"]);
}

void doCancel(const Run &R, const json &A) {
  int Count = A.value("count", 1);
  for (int I = 1; I <= Count; ++I) {
    std::string End = Count > 1 ? "-" + std::to_string(I) : "";
    call(R.C_, A["entry"],
         {0, "DELETE",
          "/v1/jobs/" + jobOf(R.C_, A["job"].get<std::string>() + End), "", "",
          "", ""},
         A["as"].get<std::string>() + End);
  }
}

using Action = void (*)(const Run &, const json &);

void doRun(const Run &R, const json &A) {
  runUntil(R.C_, R.C_.Now_ + duration(A));
}

const std::map<std::string, Action> &actions() {
  static const std::map<std::string, Action> Actions = {
      {"run", doRun},
      {"expect", expect},
      {"request", doRequest},
      {"submit", doSubmit},
      {"publish", doPublish},
      {"cancel", doCancel},
      {"kill", [](const Run &R, const json &A) { killEntry(R.C_, A); }},
      {"start", [](const Run &R, const json &A) { startEntry(R.C_, A); }},
      {"freeze", [](const Run &R, const json &A) { freezeEntry(R.C_, A); }},
      {"thaw", [](const Run &R, const json &A) { thawEntry(R.C_, A); }},
      {"stop", [](const Run &R, const json &A) { stopEntry(R.C_, A); }},
      {"cut", [](const Run &R, const json &A) { cut(R.C_, A[0], A[1], true); }},
      {"heal",
       [](const Run &R, const json &A) { cut(R.C_, A[0], A[1], false); }},
      {"log", [](const Run &R, const json &A) { setLogMode(R.C_, A); }},
      {"trim_log",
       [](const Run &R, const json &A) {
         trim(R.C_.Log_, R.C_.Log_.Next_ - A.get<Offset>());
       }},
      {"vm",
       [](const Run &R, const json &A) {
         changeVm(R.C_, A["name"], A.value("leaving", false),
                  A.value("gone", false));
       }},
      {"instances_leave",
       [](const Run &R, const json &A) { markInstancesLeaving(R.C_, A); }},
      {"vm_lag",
       [](const Run &R, const json &A) { R.C_.VmLag_ = duration(A); }},
      {"bad_worker",
       [](const Run &R, const json &A) {
         R.C_.Workers_.at(A.get<std::string>()).Bad_ = true;
       }},
      {"noise", [](const Run &R, const json &A) {
         R.C_.Faults_.Loss_ = A.value("lose", 0.0);
         R.C_.Faults_.Duplication_ = A.value("duplicate", 0.0);
         R.C_.Faults_.Delay_ = A.value("delay", 0.0);
       }}};
  return Actions;
}

Options readOptions(const json &Doc) {
  Options O;
  O.Seed_ = Doc.value("seed", 1);
  O.Entries_ = Doc.value("entries", 3);
  O.Workers_ = Doc.value("workers", 4);
  O.PerRack_ = Doc.value("per_rack", 2);
  O.Dcs_ = Doc.value("dcs", 1);
  O.PeersReportLeaving_ = Doc.value("peers_tell", false);
  if (Doc.contains("retention"))
    O.Retention_ = duration(Doc["retention"]);
  if (Doc.contains("capacity"))
    O.Capacity_ = parseResources(Doc["capacity"], "capacity").value();
  return O;
}

} // namespace

Outcome runScenario(const std::string &File) {
  json Doc = toJson(YAML::LoadFile(File));
  Outcome Out;
  Out.Golden_ = Doc.value("golden", false);
  auto C = makeCell(readOptions(Doc.value("cell", json::object())));
  Run R{*C, Out};
  for (const json &Step : Doc.at("steps")) {
    const auto &[Name, Arguments] = *Step.items().begin();
    actions().at(Name)(R, Arguments);
  }
  for (const std::string &V : C->Violations_)
    Out.Failures_.push_back(V);
  Out.Summary_ += std::to_string(C->PeerBytes_) + " bytes between entries, " +
                  std::to_string(sumOfCounter(*C, "hold-refused")) +
                  " holds refused\n";
  Out.Trace_ = std::move(C->Trace_);
  return Out;
}

} // namespace pollenvale::harness
