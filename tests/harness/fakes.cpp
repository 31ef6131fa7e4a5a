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

/// True when neither the VM list nor a peer had told the node of the change.
bool couldNotKnow(const Cell &C, const Decision &By, const Leaving &L) {
  return !C.Options_.PeersTell_ && By.ListVersion_ < L.Version_;
}

/// New work for a VM that has been leaving for longer than the bound.
void checkLeaving(Cell &C, const WorkerId &Worker, const Decision &By,
                  const std::string &What) {
  auto It = C.LeavingSince_.find(Worker);
  if (It != C.LeavingSince_.end() &&
      elapsed(It->second.Since_, By.At_) > LeavingBound &&
      !couldNotKnow(C, By, It->second))
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

/// The call reaches the worker.
peering::WorkerReply arrive(Cell &C, const std::string &Entry,
                            const peering::WorkerCall &Call,
                            const Decision &By) {
  checkWorkers(C);
  auto Reply = handle(C.Workers_.at(Call.Worker_), C.Now_, Call);
  traceWorkerCall(C, Entry, Call, Reply);
  if (Reply.Status_ == CallStatus::Refused && Reply.Reason_ == "no-room")
    violate(C, Entry + " asked " + Call.Worker_ + " for more than it has");
  if (Call.Op_ == WorkerOp::Start && Reply.Status_ == CallStatus::Ok) {
    C.Started_[Call.Attempt_.Job_].insert(Call.Attempt_);
    if (C.ToldCancelled_.count(Call.Attempt_.Job_))
      violate(C, "job " + Call.Attempt_.Job_ + " started after its cancel");
    if (C.ToldNotRun_.count(Call.Task_.Name_))
      violate(C, "job " + Call.Task_.Name_ + " ran after 'not run'");
    checkLeaving(C, Call.Worker_, By, "start of " + toString(Call.Attempt_));
  }
  checkWorkers(C);
  return Reply;
}

/// The instance behind an address runs only while its task does.
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

void arriveAtInstance(Cell &C, const std::string &Entry,
                      const peering::InstanceCall &Call, const Decision &By,
                      const std::function<void(peering::InstanceReply)> &Done) {
  Work W = parseWork(Call.Body_);
  if (!isInstanceUp(C, Call.Address_))
    return Done({Call.Call_, AnswerStatus::NotSent, "", 0, ""});
  if (C.Busy_[Call.Address_] >= SlotsPerInstance)
    return Done({Call.Call_, AnswerStatus::Busy, "", 0, ""});
  if (auto Since = C.SaysLeaving_.find(Call.Address_);
      Since != C.SaysLeaving_.end()) {
    if (elapsed(Since->second, By.At_) > LeavingBound)
      violate(C, "request given to " + Call.Address_ + ", which is leaving");
    return Done({Call.Call_, AnswerStatus::Leaving, "", 0, ""});
  }
  std::string Worker = Call.Address_.substr(0, Call.Address_.find('/'));
  checkLeaving(C, Worker, By, "request " + W.Id_);
  ++C.Busy_[Call.Address_];
  int Runs = ++C.Runs_[W.Id_];
  trace(C, Entry + " dispatches " + W.Id_ + " to " + Call.Address_);
  for (const auto &[Connection, Sent] : C.Calls_)
    if (Sent.Id_ == W.Id_ && !W.Id_.empty()) {
      if (Sent.Mode_ == "once" && Runs > 1)
        violate(C, "request " + W.Id_ + " marked once ran again");
      if (C.ToldNotRun_.count(W.Id_))
        violate(C, "request " + W.Id_ + " ran after 'not run'");
    }
  if (W.Fault_ == "hang")
    return;
  after(C, W.RunTime_,
        [&C, Call, W, Done] { finishInstanceCall(C, Call, W, Done); });
}

} // namespace

void after(Cell &C, Milliseconds Delay, std::function<void()> Run) {
  C.Events_.push({C.Now_ + Delay, ++C.LastEvent_, std::move(Run)});
}

bool chance(Cell &C, double Probability) {
  return Probability > 0 && C.Random_.unit() < Probability;
}

bool isCut(const Cell &C, const std::string &A, const std::string &B) {
  return C.Cuts_.count(std::minmax(A, B)) > 0;
}

void cut(Cell &C, const std::string &A, const std::string &B, bool On) {
  std::pair<std::string, std::string> Link = std::minmax(A, B);
  trace(C, (On ? "cut " : "heal ") + A + " - " + B);
  if (On)
    C.Cuts_.insert(Link);
  else
    C.Cuts_.erase(Link);
}

Milliseconds networkDelay(Cell &C) {
  if (chance(C, C.Noise_.Delay_))
    return Milliseconds(C.Random_.below(C.Noise_.MaxDelay_.count()));
  return Milliseconds(1 + C.Random_.below(2));
}

void fakeWorkerCall(Cell &C, const std::string &Entry,
                    const peering::WorkerCall &Call,
                    std::function<void(peering::WorkerReply)> Done) {
  peering::WorkerReply Failed;
  Failed.Call_ = Call.Call_;
  Failed.Worker_ = Call.Worker_;
  if (!C.Vms_.count(Call.Worker_) || isCut(C, Entry, Call.Worker_)) {
    bool Refused = chance(C, 0.5);
    Failed.Status_ = Refused ? CallStatus::Unreachable : CallStatus::Lost;
    after(C, Refused ? Milliseconds(1) : WorkerTimeout,
          [Failed, Done] { Done(Failed); });
    return;
  }
  // The call may arrive long after the entry gave up on its answer.
  Milliseconds There = networkDelay(C), Back = networkDelay(C);
  bool LoseCall = chance(C, C.Noise_.Lose_);
  bool LoseAnswer = chance(C, C.Noise_.Lose_);
  bool Late = LoseCall || LoseAnswer || There + Back > WorkerTimeout;
  if (!LoseCall)
    after(C, There, [&C, Entry, Call, Done, Late, Back, By = C.Decision_] {
      if (!C.Vms_.count(Call.Worker_))
        return;
      auto Reply = arrive(C, Entry, Call, By);
      if (!Late)
        after(C, Back, [Reply, Done] { Done(Reply); });
    });
  if (Late) {
    Failed.Status_ = CallStatus::Lost;
    after(C, WorkerTimeout, [Failed, Done] { Done(Failed); });
  }
}

void fakeInstanceCall(Cell &C, const std::string &Entry,
                      const peering::InstanceCall &Call,
                      std::function<void(peering::InstanceReply)> Done) {
  // Exactly one of answer and time-out reaches the entry.
  auto Answered = std::make_shared<bool>(false);
  auto Once = [Answered, Done](peering::InstanceReply R) {
    if (!*Answered || R.Status_ == AnswerStatus::Whole)
      Done(R);
    *Answered = true;
  };
  after(C, Call.Timeout_, [Once, Answered, Id = Call.Call_] {
    if (!*Answered)
      Once({Id, AnswerStatus::Timeout, "", 0, ""});
  });
  if (isCut(C, Entry, "instances")) {
    after(C, Milliseconds(1), [Once, Id = Call.Call_] {
      Once({Id, AnswerStatus::NotSent, "", 0, ""});
    });
    return;
  }
  bool Lose = chance(C, C.Noise_.Lose_);
  after(C, Milliseconds(1), [&C, Entry, Call, Once, Lose, By = C.Decision_] {
    arriveAtInstance(C, Entry, Call, By,
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
    after(C, Milliseconds(1), [Done] { Done(AppendStatus::Refused); });
    return;
  }
  bool Hang = C.LogMode_ == "hang" || chance(C, C.Noise_.Lose_);
  bool Lose = Hang || C.LogMode_ == "lose-answers" || chance(C, C.Noise_.Lose_);
  // A hung append may take effect after its answer was given up.
  Milliseconds There =
      Hang ? Milliseconds(C.Random_.below(8'000)) : Milliseconds(2);
  after(C, There, [&C, Entry, Call, Done, Lose] {
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
      after(C, Milliseconds(2), [Done] { Done(AppendStatus::Appended); });
  });
  if (Lose)
    after(C, LogTimeout, [Done] { Done(AppendStatus::Lost); });
}

void fakeRead(Cell &C, const std::string &Entry, const eventlog::ReadCall &Call,
              std::function<void(eventlog::ReadReply)> Done) {
  auto Fail = [Done] { Done(eventlog::ReadReply()); };
  if (C.LogMode_ == "down" || isCut(C, Entry, "log")) {
    after(C, Milliseconds(1), Fail);
    return;
  }
  if (C.LogMode_ == "hang") {
    after(C, LogTimeout, Fail);
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
    after(C, Milliseconds(1), [Reply, Done] { Done(Reply); });
  };
  if (Call.FirstOffset_ < C.Log_.Next_ || Call.Wait_ == Milliseconds(0)) {
    after(C, Milliseconds(1), Answer);
    return;
  }
  C.LogReaders_.push_back(Answer);
  after(C, Call.Wait_, Answer);
}

void fakeVmList(Cell &C, const std::string &Entry,
                std::function<void(bool, membership::VmList)> Done) {
  if (isCut(C, Entry, "vms")) {
    after(C, Milliseconds(1), [Done] { Done(false, {}); });
    return;
  }
  const membership::VmList *Shown = &C.VmHistory_.front().second;
  for (const auto &[At, List] : C.VmHistory_)
    if (At + C.VmLag_ <= C.Now_)
      Shown = &List;
  after(C, Milliseconds(2), [Done, List = *Shown] { Done(true, List); });
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

void letInstancesLeave(Cell &C, const WorkerId &Worker) {
  for (const auto &[Id, T] : C.Workers_.at(Worker).Tasks_)
    if (T.State_ == workers::AttemptState::Running && !T.Address_.empty()) {
      trace(C, "instance " + T.Address_ + " leaves");
      C.SaysLeaving_[T.Address_] = C.Now_;
    }
}

std::size_t servingInstances(Cell &C, const std::string &Service) {
  std::size_t Count = 0;
  for (auto &[Name, W] : C.Workers_)
    for (const auto &[Id, T] : W.Tasks_)
      Count += T.Task_.Name_ == Service &&
               T.State_ == workers::AttemptState::Running &&
               !C.SaysLeaving_.count(T.Address_);
  return Count;
}

std::size_t overusedWorkers(Cell &C) {
  std::size_t Count = 0;
  for (auto &[Name, W] : C.Workers_) {
    advance(W, C.Now_);
    Count += !fits(takenBy(W), W.Capacity_);
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
      continue; // The VM is gone, and what ran there with it.
    advance(W, C.Now_);
    if (!fits(inUse(W), W.Capacity_))
      violate(C, "worker " + Name + " is above its capacity");
    for (const auto &[Id, T] : W.Tasks_) {
      if (T.State_ != workers::AttemptState::Running)
        continue;
      if (!Running.emplace(taskKey(Id), Name).second)
        violate(C, "task " + taskKey(Id) + " runs twice");
      auto Key = C.KeyOf_.find(T.Task_.Name_);
      if (Key == C.KeyOf_.end())
        continue;
      auto [First, New] = RunningKey.emplace(Key->second, Id.Job_);
      if (!New && First->second != Id.Job_)
        violate(C, "key " + Key->second + " runs in two jobs");
    }
  }
}

std::size_t runningTasks(Cell &C, const JobId &Job) {
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
    C.ToldCancelled_.insert(Done.Body_.value("job", ""));
  if (NotRun && !Done.JobName_.empty())
    C.ToldNotRun_.insert(Done.JobName_);
  if (Done.Id_.empty())
    return;
  if (Done.Code_ == 200) {
    if (Done.Body_.is_discarded() || Done.Body_.value("id", "") != Done.Id_ ||
        !Done.Body_.value("whole", false))
      violate(C, Done.Name_ + " got an answer that is not its own and whole");
    return;
  }
  if (NotRun) {
    C.ToldNotRun_.insert(Done.Id_);
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
