/// \file
/// Owners of one slice, its workers and the store on a virtual clock, with
/// failures that a test sets. Every event is followed by a check of what must
/// always hold.
#pragma once

#include "advice/advice.hpp"
#include "fleet/fake_worker.hpp"
#include "ledger/ledger.hpp"
#include "ownership/ownership.hpp"

#include <functional>
#include <memory>

namespace pollenvale::fleettest {

/// One entry that owns the slice, or believes so.
struct Owner {
  scheduler::State State_;
  ledger::Replica Copy_;
  std::size_t Read_ = 0; ///< Records of the store read so far.
  Token Token_ = 0;
  bool Alive_ = true;
  bool CutFromStore_ = false;
  TimePoint FrozenUntil_{};
  /// How late its event loop comes to everything: answers wait for so long to
  /// be read, and turns are that far apart.
  Milliseconds Lag_{0};
  TimePoint TurnDueAt_{};
  TimePoint StoreContactAt_{};
  std::optional<scheduler::WriteCall> Rewrite_;
};

/// Shares of calls that go wrong, 0 to 1.
struct Failures {
  double LostAnswer_ = 0; ///< Carried out; the answer is lost.
  double LateOrder_ = 0;  ///< No answer; carried out 2 to 12 s later.
  double LostAppend_ = 0; ///< Stored; the answer is lost.
};

/// An answer of a worker that has told of an end `done`. From then on no run of
/// the task may start, and none may have started since the end.
struct ReportedEnd {
  WorkerId Worker_;
  std::int64_t Incarnation_ = 0; ///< Of the worker.
};

class FleetCell {
public:
  explicit FleetCell(std::uint64_t Seed = 1) : Random_{Seed} {}
  /// With a plain queue and these workers.
  explicit FleetCell(const std::vector<WorkerId> &Workers) : FleetCell() {
    addPlainQueue();
    for (const WorkerId &Id : Workers)
      addWorker(Id);
  }
  FleetCell(const FleetCell &) = delete;
  FleetCell &operator=(const FleetCell &) = delete;

  /// Adds a worker of 8 cores that the registry names.
  FakeWorker &addWorker(const WorkerId &Id,
                        Resources Capacity = {8'000, 8'000, 0});
  void addQueue(workflow::Queue Q) { Catalog_.Queues_.push_back(std::move(Q)); }
  /// A queue "q" of the service "s" with 3 attempts a task.
  void addPlainQueue();
  void submit(const JobId &Job, workflow::WorkflowSpec Spec);
  void submitTo(const std::string &Queue, const JobId &Job,
                workflow::WorkflowSpec Spec);
  void cancel(const JobId &Job);
  /// A new owner claims the slice.
  Owner &
  takeOver(ownership::Predecessor Before = ownership::Predecessor::MayRun);
  /// The first owner begins with job "j1" of so many tasks, each of which takes
  /// \p RunTime, and has worked on it for \p HeadStart.
  void beginBusy(std::uint32_t Tasks, Milliseconds RunTime,
                 Milliseconds HeadStart);
  void killOwner();
  /// The worker says that it will leave.
  void drain(const WorkerId &Id);
  /// It ends with all that runs on it, and the registry drops it.
  void leave(const WorkerId &Id);
  /// Every run takes this long and is done.
  void setRunTime(Milliseconds Length) {
    FateOf_ = [Length](const TaskId &, std::uint32_t) { return Fate{Length}; };
  }

  /// Runs until the time has come.
  void run(Milliseconds Time);
  /// Runs until \p Condition or the time is over; false if it is over.
  bool runUntil(const std::function<bool()> &Condition,
                Milliseconds Limit = Milliseconds(30'000));

  /// Adds a line to the trace.
  void note(const std::string &What);

  workflow::JobState state(const JobId &Job) const;
  bool allClosed() const;
  /// Jobs that the store knows.
  std::size_t jobs() const;
  Owner &owner() { return *Owners_.back(); }
  FakeWorker &worker(const WorkerId &Id) { return Workers_.at(Id); }
  /// Workers on which a run of the task is at work.
  std::vector<WorkerId> whereIs(const TaskId &Id) const;

  TimePoint Now_{std::chrono::seconds(1'000)};
  std::map<WorkerId, FakeWorker> Workers_;
  std::vector<std::unique_ptr<Owner>> Owners_;
  workflow::Catalog Catalog_;
  Failures Failures_;
  bool StoreDown_ = false;
  Random Random_;
  /// How runs go; by default each is done after 200 ms.
  std::function<Fate(const TaskId &, std::uint32_t)> FateOf_ =
      [](const TaskId &, std::uint32_t) { return Fate{Milliseconds(200)}; };
  std::vector<std::string> Starts_;    ///< "TASK#RUN@WORKER" in order.
  std::vector<scheduler::Note> Notes_; ///< Lines that the owners logged.
  std::vector<std::string> Trace_;     ///< What happened, for a reader.
  std::vector<std::string> Broken_;    ///< Rules broken so far.
  std::uint64_t AdviceCalls_ = 0;
  /// With one, calls to the policy wait for an entry and take their time; by
  /// default each is answered after 20 ms. Of one owner only.
  std::optional<advice::Pool> Policy_;
  /// Answer of the policy; by default it allows every worker.
  std::function<bool(const WorkerId &)> Allows_ = [](const WorkerId &) {
    return true;
  };

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Run_;
  };

  void at(TimePoint When, std::function<void()> Run);
  void step(TimePoint Limit);
  void turn(Owner &O);
  void perform(Owner &O, scheduler::Outbox &Out);
  void send(Owner &O, const scheduler::RenewCall &C);
  void send(Owner &O, const scheduler::StartCall &C);
  void send(Owner &O, const scheduler::StopCall &C);
  void send(Owner &O, const scheduler::AdviceCall &C);
  void send(Owner &O, const scheduler::WriteCall &C);
  scheduler::AdviceReply advise(const scheduler::AdviceCall &C) const;
  /// Tells the owner of calls to the policy that were given up, and makes those
  /// that an entry has time for.
  void turnPolicy(Owner &O);
  /// Hands an answer of a worker to the owner, or tells it that there is none:
  /// \p Take is called with whether the owner read it within the call's limit.
  void answer(Owner &O, const scheduler::Target &To, TimePoint SentAt,
              bool Answered, std::function<void(bool Heard)> Take);
  void readStore(Owner &O);
  void applyStart(const scheduler::StartCall &C, scheduler::OrderReply *Reply);
  TimePoint contactOf(Token T) const;
  void checkStart(const scheduler::StartCall &C);
  /// A worker that still knows of the end has told of it.
  bool isReported(const TaskId &Id) const;
  /// The worker tells \p O of its ends.
  void noteReported(const Owner &O, const WorkerId &W,
                    const scheduler::RenewReply &Reply);
  /// Ends that were reported bind nobody any longer once the worker is cut off
  /// or gone: its last answers may have got lost with it.
  void forgetReported(const WorkerId &W);
  void checkWorkers();
  /// Gangs whose members are all there begin; those that lost one break up.
  void joinGangs();
  void broken(const std::string &What);
  bool isDown(const Owner &O) const;
  bool reaches(const WorkerId &W) const;
  Milliseconds trip();
  Nature nature();

  std::vector<ledger::KeyedRecord> Store_;
  Token Epoch_ = 0;
  std::vector<Event> Events_;
  std::uint64_t NextOrder_ = 0;
  std::map<JobId, workflow::WorkflowSpec> Specs_;
  std::map<JobId, TimePoint> CancelledAt_;
  std::map<TaskId, ReportedEnd> Reported_;
  std::map<TaskId, TimePoint> LastStart_;
  std::uint64_t NextStart_ = 1;
};

/// A step of \p Count tasks of one core each.
workflow::StepSpec plainStep(std::uint32_t Count);
workflow::WorkflowSpec plainJob(std::vector<workflow::StepSpec> Steps);

} // namespace pollenvale::fleettest
