#include "harness/schedule.hpp"

#include "harness/fakes.hpp"

namespace pollenvale::harness {

namespace {

using nlohmann::json;

constexpr Milliseconds FaultPhase{90'000};
constexpr Milliseconds QuietPhase{200'000};

struct Schedule {
  Cell &C_;
  Random Random_;
  std::vector<std::string> Jobs_;
  std::uint64_t Names_ = 0;
  std::vector<Offset> Accepted_;

  std::string name(const char *Prefix) {
    return Prefix + std::to_string(++Names_);
  }
  std::string entry() {
    return "e" + std::to_string(1 + Random_.below(C_.Options_.Entries_));
  }
  std::string worker() {
    return "w" + std::to_string(1 + Random_.below(C_.Options_.Workers_));
  }
};

void submitSome(Schedule &S) {
  json Job = {{"run_ms", 500 + S.Random_.below(20'000)},
              {"size",
               {{"cpu", 500 + S.Random_.below(2'500)},
                {"memory", S.Random_.below(2'000)}}}};
  Job["tasks"] = 1 + S.Random_.below(4);
  if (S.Random_.below(4) == 0)
    Job["kind"] = "gang";
  if (S.Random_.below(4) == 0) {
    Job["key"] = "key" + std::to_string(S.Random_.below(2));
    Job["tasks"] = 1;
    Job["kind"] = "batch";
  }
  if (S.Random_.below(5) == 0)
    Job["urgent"] = true;
  std::string Name = S.name("job");
  Job["team"] = S.Names_ % 3 == 0 ? "roads" : "parks";
  if (S.Random_.below(12) == 0)
    Job["name"] = "poison-" + Name;
  // Some use more than they declare. Chosen without a random draw, so that the
  // other draws of a seed don't change.
  else if (S.Names_ % 9 == 0 && !Job.contains("key"))
    Job["name"] = "hungry-" + Name;
  S.Jobs_.push_back(Name);
  submit(S.C_, S.entry(), Job, Name);
}

void requestSome(Schedule &S) {
  static const char *const Modes[] = {"repeatable", "single", "once"};
  static const char *const Faults[] = {
      "", "", "", "truncate", "lost", "wrong-echo", "hang", "duplicate"};
  json Body = {{"run_ms", S.Random_.below(1'500)},
               {"fault", Faults[S.Random_.below(std::size(Faults))]}};
  request(S.C_, S.entry(), Modes[S.Random_.below(3)], Body, S.name("req"),
          Milliseconds(500 + S.Random_.below(15'000)));
}

void cancelSome(Schedule &S) {
  if (S.Jobs_.empty())
    return;
  JobId Id = jobOf(S.C_, S.Jobs_[S.Random_.below(S.Jobs_.size())]);
  if (!Id.empty())
    call(S.C_, S.entry(), {0, "DELETE", "/v1/jobs/" + Id, "", "", "", ""},
         S.name("cancel"));
}

void killOrStart(Schedule &S) {
  std::string Entry = S.entry();
  if (!S.C_.Entries_.at(Entry).Alive_)
    startEntry(S.C_, Entry);
  else if (S.Random_.below(3) == 0)
    stopEntry(S.C_, Entry);
  else
    killEntry(S.C_, Entry);
}

void freezeOrThaw(Schedule &S) {
  std::string Entry = S.entry();
  Process &P = S.C_.Entries_.at(Entry);
  if (P.Frozen_ || P.FreezeNext_)
    thawEntry(S.C_, Entry);
  else if (P.Alive_)
    freezeEntry(S.C_, Entry);
}

void cutOrHeal(Schedule &S) {
  std::string A = S.entry(), B;
  switch (S.Random_.below(4)) {
  case 0:
    B = S.entry();
    break;
  case 1:
    B = "log";
    break;
  case 2:
    B = "vms";
    break;
  default:
    B = S.worker();
  }
  if (A != B)
    cut(S.C_, A, B, !isCut(S.C_, A, B));
}

void changeLog(Schedule &S) {
  static const char *const Modes[] = {"up", "up", "down", "hang",
                                      "lose-answers"};
  setLogMode(S.C_, Modes[S.Random_.below(std::size(Modes))]);
}

void changeNoise(Schedule &S) {
  bool On = S.Random_.below(2) == 0;
  S.C_.Faults_.Loss_ = On ? 0.05 : 0;
  S.C_.Faults_.Duplication_ = On ? 0.05 : 0;
  S.C_.Faults_.Delay_ = On ? 0.05 : 0;
}

void changeSomeVm(Schedule &S) {
  std::string Worker = S.worker();
  auto It = S.C_.Vms_.find(Worker);
  // Keeps enough workers for the jobs to end.
  if (It != S.C_.Vms_.end() && S.Random_.below(4) == 0 &&
      S.C_.Vms_.size() > S.C_.Options_.Entries_ + 3)
    changeVm(S.C_, Worker, false, true);
  else if (It != S.C_.Vms_.end())
    changeVm(S.C_, Worker, !It->second.Leaving_, false);
}

void publishSome(Schedule &S) {
  json Doc = defaultConfig(1 + int(S.Random_.below(3)));
  Doc["labels"]["vm:" + S.worker()]["round"] = std::to_string(S.Names_);
  Doc["quotas"] = {
      {"roads", {{"cpu", 6'000}, {"memory", 6'000}, {"borrow", true}}},
      {"parks", {{"cpu", 9'000}, {"memory", 9'000}, {"borrow", true}}}};
  publish(S.C_, S.entry(), Doc, S.name("cfg"));
}

void act(Schedule &S) {
  using Action = void (*)(Schedule &);
  static constexpr Action Actions[] = {
      submitSome,   submitSome,  submitSome, requestSome, requestSome,
      requestSome,  requestSome, cancelSome, killOrStart, freezeOrThaw,
      freezeOrThaw, cutOrHeal,   cutOrHeal,  changeLog,   changeNoise,
      publishSome,  changeSomeVm};
  Actions[S.Random_.below(std::size(Actions))](S);
}

void healAll(Cell &C) {
  C.CutLinks_.clear();
  C.Faults_ = {};
  setLogMode(C, "up");
  for (auto &[Name, P] : C.Entries_) {
    if (P.Frozen_ || P.FreezeNext_)
      thawEntry(C, Name);
    if (!P.Alive_)
      startEntry(C, Name);
  }
  for (auto &[Name, V] : C.Vms_)
    if (V.Leaving_)
      changeVm(C, Name, false, false);
}

/// Restarts entries whose graceful stop, begun during the fault phase, has
/// completed since.
void restartStoppedEntries(Cell &C) {
  for (auto &[Name, P] : C.Entries_)
    if (!P.Alive_)
      startEntry(C, Name);
}

std::string explainJob(const Cell &C, const JobId &Id) {
  std::string Out;
  for (const auto &[Name, P] : C.Entries_) {
    auto Tasks = jobs::explain(P.Node_.Jobs_, Id);
    if (!Tasks.empty())
      Out += Name + " " + Tasks.dump();
  }
  return Out;
}

void checkJobsEnded(Schedule &S, ScheduleResult &Out) {
  Cell &C = S.C_;
  for (const auto &[Connection, Call] : C.Calls_) {
    if (!Call.Answered_ && !Call.Broken_)
      Out.Failures_.push_back("no answer for " + Call.Name_);
    if (Call.Code_ != 202)
      continue;
    ++Out.Jobs_;
    std::string State = jobState(C, Call.Body_["job"]);
    if (State != "done" && State != "failed" && State != "cancelled")
      Out.Failures_.push_back("job " + Call.Name_ + " " +
                              Call.Body_["job"].get<std::string>() +
                              " ended the schedule as " + State + " " +
                              explainJob(C, Call.Body_["job"]));
  }
}

void checkControl(Cell &C, ScheduleResult &Out) {
  std::set<Offset> Versions;
  std::map<WorkerId, int> Holders;
  for (const auto &[Name, P] : C.Entries_) {
    Versions.insert(P.Node_.Config_.Version_);
    for (const auto &[Worker, W] : P.Node_.Workers_.Workers_) {
      if (!workers::isHeld(W, C.Now_))
        continue;
      ++Holders[Worker];
      for (const auto &[Id, A] : W.Attempts_)
        if (A.Phase_ == workers::Phase::Holding &&
            elapsed(A.HoldUntil_, C.Now_) > Milliseconds(1'000))
          Out.Failures_.push_back("leaked hold " + toString(Id));
    }
  }
  if (Versions.size() != 1)
    Out.Failures_.push_back("configuration differs between entries");
  for (const auto &[Name, V] : C.Vms_)
    if (!V.Entry_ && Holders[Name] != 1)
      Out.Failures_.push_back("worker " + Name + " has " +
                              std::to_string(Holders[Name]) + " holders");
}

} // namespace

ScheduleResult runSchedule(std::uint64_t Seed) {
  ScheduleResult Out;
  Options O;
  O.Seed_ = Seed;
  Random Sizes{Seed};
  O.Entries_ = 2 + std::uint32_t(Sizes.below(4));
  O.Workers_ = 3 + std::uint32_t(Sizes.below(5));
  O.Dcs_ = 1 + std::uint32_t(Sizes.below(2));
  auto C = makeCell(O);
  Schedule S{*C, Random{Seed + 99}, {}, 0, {}};
  runUntil(*C, C->Now_ + Milliseconds(3'000));
  publish(*C, "e1", defaultConfig(2), "first");
  runUntil(*C, C->Now_ + Milliseconds(5'000));
  TimePoint End = C->Now_ + FaultPhase;
  while (C->Now_ < End) {
    act(S);
    runUntil(*C, C->Now_ + Milliseconds(50 + S.Random_.below(1'500)));
  }
  healAll(*C);
  runUntil(*C, C->Now_ + Milliseconds(40'000));
  restartStoppedEntries(*C);
  runUntil(*C, C->Now_ + QuietPhase);
  Out.Failures_ = C->Violations_;
  checkJobsEnded(S, Out);
  checkControl(*C, Out);
  for (const auto &[Id, Runs] : C->Runs_)
    Out.Requests_ += !Id.empty();
  for (const auto &[Id, Attempts] : C->Started_)
    Out.Attempts_ += Attempts.size();
  Out.Trace_ = std::move(C->Trace_);
  return Out;
}

} // namespace pollenvale::harness
