#include "harness/fakes.hpp"

namespace pollenvale::harness {

using peering::AnswerStatus;
using peering::CallStatus;
using peering::WorkerOp;

namespace {

constexpr Milliseconds WorkerTimeout{2'000};
constexpr Milliseconds LogTimeout{4'000};
constexpr std::size_t ReadLimit = 5'000;
constexpr int SlotsPerInstance = 8;

const char *opName(WorkerOp Op) {
  static const char *const Names[] = {
      "acquire", "renew", "release", "start", "stop", "checkpoint", "throttle"};
  return Names[std::size_t(Op)];
}

/// True if neither the VM list nor a peer had reported the change to the entry.
bool isUnawareOf(const Cell &C, const Decision &Basis, const Leaving &L) {
  return !C.Options_.PeersReportLeaving_ && Basis.ListVersion_ < L.Version_;
}

/// Reports new work for a VM that has been leaving for too long.
void checkLeaving(Cell &C, const WorkerId &Worker, const Decision &Basis,
                  const std::string &What) {
  auto It = C.LeavingSince_.find(Worker);
  if (It != C.LeavingSince_.end() &&
      elapsed(It->second.Since_, Basis.At_) > LeavingBound &&
      !isUnawareOf(C, Basis, It->second))
    violate(C, What + " given to leaving " + Worker);
}

std::string taskKey(const AttemptId &Id) {
  return Id.Job_ + "/" + std::to_string(Id.Index_);
}

void traceWorkerCall(Cell &C, const std::string &Entry,
                     const peering::WorkerCall &Call,
                     const peering::WorkerReply &Reply) {
  bool Ok = Reply.Status_ == CallStatus::Ok;
  if (Call.Op_ == WorkerOp::Renew && Ok)
    return;
  std::string Line = Entry + " " + opName(Call.Op_) + " " + Call.Worker_;
  if (!Call.Attempt_.Job_.empty())
    Line += " " + toString(Call.Attempt_);
  trace(C, Line + (Ok ? " ok" : " refused " + Reply.Reason_));
}

/// Executes a call on the worker and checks it.
peering::WorkerReply handleWorkerCall(Cell &C, const std::string &Entry,
                                      const peering::WorkerCall &Call,
                                      const Decision &Basis) {
  checkWorkers(C);
  auto Reply = handle(C.Workers_.at(Call.Worker_), C.Now_, Call);
  traceWorkerCall(C, Entry, Call, Reply);
  if (Reply.Status_ == CallStatus::Refused && Reply.Reason_ == "no-room")
    violate(C, Entry + " asked " + Call.Worker_ + " for more than it has");
  if (Call.Op_ == WorkerOp::Start && Reply.Status_ == CallStatus::Ok) {
    C.Started_[Call.Attempt_.Job_].insert(Call.Attempt_);
    if (C.ReportedCancelled_.count(Call.Attempt_.Job_))
      violate(C, "job " + Call.Attempt_.Job_ + " started after its cancel");
    if (C.ReportedNotRun_.count(Call.Task_.Name_))
      violate(C, "job " + Call.Task_.Name_ + " ran after 'not run'");
    checkLeaving(C, Call.Worker_, Basis, "start of " + toString(Call.Attempt_));
  }
  checkWorkers(C);
  return Reply;
}

/// True if the task of the instance at \p Address is running.
bool isInstanceUp(Cell &C, const std::string &Address) {
  std::size_t Slash = Address.find('/');
  auto W = C.Workers_.find(Address.substr(0, Slash));
  if (W == C.Workers_.end() || !C.Vms_.count(W->first))
    return false;
  advance(W->second, C.Now_);
  auto T = W->second.Tasks_.find(parseAttemptId(Address.substr(Slash + 1)));
  return T != W->second.Tasks_.end() &&
         T->second.State_ == workers::AttemptState::Running;
}

struct Work {
  std::string Id_;
  Milliseconds RunTime_{5};
  std::string Fault_;
};

Work parseWork(const std::string &Body) {
  auto Doc = nlohmann::json::parse(Body, nullptr, false);
  if (!Doc.is_object())
    return {};
  return {Doc.value("id", ""), Milliseconds(Doc.value("run_ms", 5)),
          Doc.value("fault", "")};
}

void finishInstanceCall(
    Cell &C, const peering::InstanceCall &Call, const Work &W,
    const std::function<void(peering::InstanceReply)> &Done) {
  --C.Busy_[Call.Address_];
  if (!isInstanceUp(C, Call.Address_))
    return Done({Call.Call_, AnswerStatus::Lost, "", 0, ""});
  nlohmann::json Body = {{"id", W.Id_}, {"whole", true}};
  peering::InstanceReply R{Call.Call_, AnswerStatus::Whole, Call.Echo_, 200,
                           Body.dump()};
  if (W.Fault_ == "truncate") {
    R.Status_ = AnswerStatus::Truncated;
    R.Body_.resize(R.Body_.size() / 2);
  } else if (W.Fault_ == "wrong-echo") {
    R.Echo_ = "another/1/1";
    R.Body_ = R"({"id":"of another caller","whole":true})";
  } else if (W.Fault_ == "lost") {
    R = {Call.Call_, AnswerStatus::Lost, "", 0, ""};
  }
  Done(R);
  if (W.Fault_ == "duplicate")
    Done(R);
}

void callInstance(Cell &C, const std::string &Entry,
                  const peering::InstanceCall &Call, const Decision &Basis,
                  const std::function<void(peering::InstanceReply)> &Done) {
  Work W = parseWork(Call.Body_);
  if (!isInstanceUp(C, Call.Address_))
    return Done({Call.Call_, AnswerStatus::NotSent, "", 0, ""});
  if (C.Busy_[Call.Address_] >= SlotsPerInstance)
    return Done({Call.Call_, AnswerStatus::Busy, "", 0, ""});
  if (auto Since = C.LeavingInstances_.find(Call.Address_);
      Since != C.LeavingInstances_.end()) {
    if (elapsed(Since->second, Basis.At_) > LeavingBound)
      violate(C, "request given to " + Call.Address_ + ", which is leaving");
    return Done({Call.Call_, AnswerStatus::Leaving, "", 0, ""});
  }
  std::string Worker = Call.Address_.substr(0, Call.Address_.find('/'));
  checkLeaving(C, Worker, Basis, "request " + W.Id_);
  ++C.Busy_[Call.Address_];
  int Runs = ++C.Runs_[W.Id_];
  trace(C, Entry + " dispatches " + W.Id_ + " to " + Call.Address_);
  for (const auto &[Connection, Sent] : C.Calls_)
    if (Sent.Id_ == W.Id_ && !W.Id_.empty()) {
      if (Sent.Mode_ == "once" && Runs > 1)
        violate(C, "request " + W.Id_ + " marked once ran again");
      if (C.ReportedNotRun_.count(W.Id_))
        violate(C, "request " + W.Id_ + " ran after 'not run'");
    }
  if (W.Fault_ == "hang")
    return;
  runAfter(C, W.RunTime_,
           [&C, Call, W, Done] { finishInstanceCall(C, Call, W, Done); });
}

} // namespace

void runAfter(Cell &C, Milliseconds Delay, std::function<void()> Run) {
  C.Events_.push({C.Now_ + Delay, ++C.LastEvent_, std::move(Run)});
}

bool draw(Cell &C, double Probability) {
  return Probability > 0 && C.Random_.unit() < Probability;
}

bool isCut(const Cell &C, const std::string &A, const std::string &B) {
  return C.CutLinks_.count(std::minmax(A, B)) > 0;
}

void cut(Cell &C, const std::string &A, const std::string &B, bool On) {
  std::pair<std::string, std::string> Link = std::minmax(A, B);
  trace(C, (On ? "cut " : "heal ") + A + " - " + B);
  if (On)
    C.CutLinks_.insert(Link);
  else
    C.CutLinks_.erase(Link);
}

Milliseconds networkDelay(Cell &C) {
  if (draw(C, C.Faults_.Delay_))
    return Milliseconds(C.Random_.below(C.Faults_.MaxDelay_.count()));
  return Milliseconds(1 + C.Random_.below(2));
}

void fakeWorkerCall(Cell &C, const std::string &Entry,
                    const peering::WorkerCall &Call,
                    std::function<void(peering::WorkerReply)> Done) {
  peering::WorkerReply Failed;
  Failed.Call_ = Call.Call_;
  Failed.Worker_ = Call.Worker_;
  if (!C.Vms_.count(Call.Worker_) || isCut(C, Entry, Call.Worker_)) {
    bool Refused = draw(C, 0.5);
    Failed.Status_ = Refused ? CallStatus::Unreachable : CallStatus::Lost;
    runAfter(C, Refused ? Milliseconds(1) : WorkerTimeout,
             [Failed, Done] { Done(Failed); });
    return;
  }
  // The call may arrive long after its timeout at the entry.
  Milliseconds There = networkDelay(C), Back = networkDelay(C);
  bool LoseCall = draw(C, C.Faults_.Loss_);
  bool LoseAnswer = draw(C, C.Faults_.Loss_);
  bool Late = LoseCall || LoseAnswer || There + Back > WorkerTimeout;
  if (!LoseCall)
    runAfter(C, There,
             [&C, Entry, Call, Done, Late, Back, Basis = C.Decision_] {
               if (!C.Vms_.count(Call.Worker_))
                 return;
               auto Reply = handleWorkerCall(C, Entry, Call, Basis);
               if (!Late)
                 runAfter(C, Back, [Reply, Done] { Done(Reply); });
             });
  if (Late) {
    Failed.Status_ = CallStatus::Lost;
    runAfter(C, WorkerTimeout, [Failed, Done] { Done(Failed); });
  }
}

void fakeInstanceCall(Cell &C, const std::string &Entry,
                      const peering::InstanceCall &Call,
                      std::function<void(peering::InstanceReply)> Done) {
  // After the first answer or timeout, only complete answers are passed on.
  auto Answered = std::make_shared<bool>(false);
  auto Once = [Answered, Done](peering::InstanceReply R) {
    if (!*Answered || R.Status_ == AnswerStatus::Whole)
      Done(R);
    *Answered = true;
  };
  runAfter(C, Call.Timeout_, [Once, Answered, Id = Call.Call_] {
    if (!*Answered)
      Once({Id, AnswerStatus::Timeout, "", 0, ""});
  });
  if (isCut(C, Entry, "instances")) {
    runAfter(C, Milliseconds(1), [Once, Id = Call.Call_] {
      Once({Id, AnswerStatus::NotSent, "", 0, ""});
    });
    return;
  }
  bool Lose = draw(C, C.Faults_.Loss_);
  runAfter(C, Milliseconds(1),
           [&C, Entry, Call, Once, Lose, Basis = C.Decision_] {
             callInstance(C, Entry, Call, Basis,
                          [Once, Lose](peering::InstanceReply R) {
                            if (Lose && R.Status_ == AnswerStatus::Whole)
                              R.Status_ = AnswerStatus::Lost;
                            Once(R);
                          });
           });
}

void fakeAppend(Cell &C, const std::string &Entry,
                const eventlog::AppendCall &Call,
                std::function<void(eventlog::AppendStatus)> Done) {
  using eventlog::AppendStatus;
  if (C.LogMode_ == "down" || isCut(C, Entry, "log")) {
    runAfter(C, Milliseconds(1), [Done] { Done(AppendStatus::Refused); });
    return;
  }
  bool Hang = C.LogMode_ == "hang" || draw(C, C.Faults_.Loss_);
  bool Lose = Hang || C.LogMode_ == "lose-answers" || draw(C, C.Faults_.Loss_);
  // A hung append may take effect after its timeout at the entry.
  Milliseconds There =
      Hang ? Milliseconds(C.Random_.below(8'000)) : Milliseconds(2);
  runAfter(C, There, [&C, Entry, Call, Done, Lose] {
    if (C.LogMode_ == "down") {
      if (!Lose)
        Done(AppendStatus::Refused);
      return;
    }
    ++C.Appends_;
    for (const auto &R : Call.Records_)
      if (!std::holds_alternative<eventlog::UsesRecord>(R))
        trace(C, Entry + " appends " + eventlog::toJson(R).value("type", "") +
                     " " +
                     eventlog::toJson(R).value(
                         "job", eventlog::toJson(R).value("dead", "")));
    append(C.Log_, Call.Records_);
    auto Readers = std::move(C.LogReaders_);
    C.LogReaders_.clear();
    for (const auto &Wake : Readers)
      Wake();
    if (!Lose)
      runAfter(C, Milliseconds(2), [Done] { Done(AppendStatus::Appended); });
  });
  if (Lose)
    runAfter(C, LogTimeout, [Done] { Done(AppendStatus::Lost); });
}

void fakeRead(Cell &C, const std::string &Entry, const eventlog::ReadCall &Call,
              std::function<void(eventlog::ReadReply)> Done) {
  auto Fail = [Done] { Done(eventlog::ReadReply()); };
  if (C.LogMode_ == "down" || isCut(C, Entry, "log")) {
    runAfter(C, Milliseconds(1), Fail);
    return;
  }
  if (C.LogMode_ == "hang") {
    runAfter(C, LogTimeout, Fail);
    return;
  }
  auto Answered = std::make_shared<bool>(false);
  auto Answer = [&C, Entry, Call, Done, Answered] {
    if (*Answered)
      return;
    *Answered = true;
    bool Ok = C.LogMode_ != "down" && !isCut(C, Entry, "log");
    auto Reply =
        Ok ? read(C.Log_, Call.FirstOffset_, ReadLimit) : eventlog::ReadReply();
    runAfter(C, Milliseconds(1), [Reply, Done] { Done(Reply); });
  };
  if (Call.FirstOffset_ < C.Log_.Next_ || Call.Wait_ == Milliseconds(0)) {
    runAfter(C, Milliseconds(1), Answer);
    return;
  }
  C.LogReaders_.push_back(Answer);
  runAfter(C, Call.Wait_, Answer);
}

void fakeVmList(Cell &C, const std::string &Entry,
                std::function<void(bool, membership::VmList)> Done) {
  if (isCut(C, Entry, "vms")) {
    runAfter(C, Milliseconds(1), [Done] { Done(false, {}); });
    return;
  }
  const membership::VmList *Shown = &C.VmHistory_.front().second;
  for (const auto &[At, List] : C.VmHistory_)
    if (At + C.VmLag_ <= C.Now_)
      Shown = &List;
  runAfter(C, Milliseconds(2), [Done, List = *Shown] { Done(true, List); });
}

void changeVm(Cell &C, const std::string &Name, bool Leaving, bool Gone) {
  trace(C, "VM " + Name + (Gone ? " gone" : Leaving ? " leaving" : " back"));
  if (Gone)
    C.Vms_.erase(Name);
  else
    C.Vms_.at(Name).Leaving_ = Leaving;
  membership::VmList List{C.VmHistory_.size() + 1, {}};
  if (Leaving && !Gone)
    C.LeavingSince_[Name] = {C.Now_ + C.VmLag_, List.Version_};
  else
    C.LeavingSince_.erase(Name);
  for (const auto &[Key, V] : C.Vms_)
    List.Vms_.push_back(V);
  C.VmHistory_.emplace_back(C.Now_, std::move(List));
}

void markInstancesLeaving(Cell &C, const WorkerId &Worker) {
  for (const auto &[Id, T] : C.Workers_.at(Worker).Tasks_)
    if (T.State_ == workers::AttemptState::Running && !T.Address_.empty()) {
      trace(C, "instance " + T.Address_ + " leaves");
      C.LeavingInstances_[T.Address_] = C.Now_;
    }
}

std::size_t countServingInstances(Cell &C, const std::string &Service) {
  std::size_t Count = 0;
  for (auto &[Name, W] : C.Workers_)
    for (const auto &[Id, T] : W.Tasks_)
      Count += T.Task_.Name_ == Service &&
               T.State_ == workers::AttemptState::Running &&
               !C.LeavingInstances_.count(T.Address_);
  return Count;
}

std::size_t countOverusedWorkers(Cell &C) {
  std::size_t Count = 0;
  for (auto &[Name, W] : C.Workers_) {
    advance(W, C.Now_);
    Count += !fits(totalActualUse(W), W.Capacity_);
  }
  return Count;
}

void setLogMode(Cell &C, const std::string &Mode) {
  C.LogMode_ = Mode;
  trace(C, "log " + Mode);
  if (Mode != "up") {
    auto Readers = std::move(C.LogReaders_);
    C.LogReaders_.clear();
    for (const auto &Wake : Readers)
      Wake();
  }
}

void checkWorkers(Cell &C) {
  std::map<std::string, WorkerId> Running;
  std::map<std::string, JobId> RunningKey;
  for (auto &[Name, W] : C.Workers_) {
    if (!C.Vms_.count(Name))
      continue; // The VM and its tasks are gone.
    advance(W, C.Now_);
    if (!fits(inUse(W), W.Capacity_))
      violate(C, "worker " + Name + " is above its capacity");
    for (const auto &[Id, T] : W.Tasks_) {
      if (T.State_ != workers::AttemptState::Running)
        continue;
      if (!Running.emplace(taskKey(Id), Name).second)
        violate(C, "task " + taskKey(Id) + " runs twice");
      auto Key = C.KeyByJobName_.find(T.Task_.Name_);
      if (Key == C.KeyByJobName_.end())
        continue;
      auto [First, New] = RunningKey.emplace(Key->second, Id.Job_);
      if (!New && First->second != Id.Job_)
        violate(C, "key " + Key->second + " runs in two jobs");
    }
  }
}

std::size_t countRunningTasks(Cell &C, const JobId &Job) {
  std::size_t Count = 0;
  for (auto &[Name, W] : C.Workers_) {
    if (!C.Vms_.count(Name))
      continue;
    advance(W, C.Now_);
    for (const auto &[Id, T] : W.Tasks_)
      Count += Id.Job_ == Job && T.State_ == workers::AttemptState::Running;
  }
  return Count;
}

void checkAnswer(Cell &C, const Call &Done) {
  bool NotRun =
      Done.Body_.is_object() && Done.Body_.value("run", "") == "not-run";
  if (Done.Body_.is_object() && Done.Body_.value("state", "") == "cancelled")
    C.ReportedCancelled_.insert(Done.Body_.value("job", ""));
  if (NotRun && !Done.JobName_.empty())
    C.ReportedNotRun_.insert(Done.JobName_);
  if (Done.Id_.empty())
    return;
  if (Done.Code_ == 200) {
    if (Done.Body_.is_discarded() || Done.Body_.value("id", "") != Done.Id_ ||
        !Done.Body_.value("whole", false))
      violate(C, Done.Name_ + " got an answer that is not its own and whole");
    return;
  }
  if (NotRun) {
    C.ReportedNotRun_.insert(Done.Id_);
    if (C.Runs_[Done.Id_] > 0)
      violate(C, Done.Name_ + " was told 'not run' but ran");
  }
}

std::string summary(const Call &Done) {
  if (Done.Body_.is_object())
    for (const char *Key : {"error", "state", "version", "id"})
      if (Done.Body_.contains(Key))
        return Done.Body_[Key].dump();
  return "";
}

} // namespace pollenvale::harness
