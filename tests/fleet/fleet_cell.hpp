/// \file
/// Simulates the owners of one slice, its workers and the store on a virtual
/// clock, with failures that a test sets. Checks the invariants after every
/// event.
#pragma once

#include "advice/advice.hpp"
#include "fleet/fake_worker.hpp"
#include "ledger/ledger.hpp"
#include "ownership/ownership.hpp"

#include <functional>
#include <memory>

namespace pollenvale::fleettest {

/// One entry that owns the slice, or has not noticed yet that it lost it.
struct Owner {
  scheduler::State State_;
  ledger::Replica StoreReplica_;
  std::size_t Read_ = 0; ///< Number of store records read so far.
  Token Token_ = 0;      ///< Its claim.
  bool Alive_ = true;
  bool CutFromStore_ = false;
  TimePoint FrozenUntil_{};
  /// Delay of its event loop: answers are read this much later, and turns are
  /// this far apart.
  Milliseconds Lag_{0};
  TimePoint TurnDueAt_{};
  TimePoint StoreContactAt_{};
  /// When it sent its newest heartbeat that is stored.
  TimePoint StoredHeartbeatAt_{};
  std::optional<scheduler::WriteCall> RepeatedWrite_;
  ownership::OwnedSlice Claim_;
  ledger::ReplicatedRoster InheritedRoster_;
  /// Its calls to the policy; a copy of FleetCell::Policy_, if that is set.
  std::optional<advice::Pool> Policy_;
};

/// Probabilities of call failures, 0 to 1.
struct Failures {
  double LostAnswer_ = 0; ///< The call is executed; the answer is lost.
  double LateOrder_ = 0;  ///< No answer; executed 2 to 12 s later.
  double LostAppend_ = 0; ///< The records are stored; the answer is lost.
  /// A renewal has no answer and is executed up to 2 s later, by whichever
  /// incarnation of the worker is there.
  double LateRenewal_ = 0;
};

/// A worker's report that a task ended as `done`. No run of the task may start
/// after the report, nor may one have started between the end and the report.
struct ReportedEnd {
  WorkerId Worker_;
  std::int64_t Incarnation_ = 0; ///< Of the worker.
};

class FleetCell {
public:
  explicit FleetCell(std::uint64_t Seed = 1) : Random_{Seed} {}
  /// A cell with the queue of addPlainQueue() and these workers.
  explicit FleetCell(const std::vector<WorkerId> &Workers) : FleetCell() {
    addPlainQueue();
    for (const WorkerId &Id : Workers)
      addWorker(Id);
  }
  FleetCell(const FleetCell &) = delete;
  FleetCell &operator=(const FleetCell &) = delete;

  /// Adds a worker, of 8 cores by default, and registers it with all owners.
  FakeWorker &addWorker(const WorkerId &Id,
                        Resources Capacity = {8'000, 8'000, 0});
  void addQueue(workflow::Queue Q) { Catalog_.Queues_.push_back(std::move(Q)); }
  /// Adds a queue "q" of the service "s" with 3 attempts per task.
  void addPlainQueue();
  void submit(const JobId &Job, workflow::WorkflowSpec Spec);
  void submitTo(const std::string &Queue, const JobId &Job,
                workflow::WorkflowSpec Spec);
  void cancel(const JobId &Job);
  /// A new owner claims the slice.
  Owner &
  takeOver(ownership::Predecessor Before = ownership::Predecessor::MayRun);
  /// Starts the first owner and a job "j1" of \p Tasks tasks that take
  /// \p RunTime each, then runs the cell for \p HeadStart.
  void beginBusy(std::uint32_t Tasks, Milliseconds RunTime,
                 Milliseconds HeadStart);
  void killOwner();
  /// Restarts the worker's process under its id. The registry shows it
  /// \p RegistryDelay later.
  void restartWorker(const WorkerId &Id,
                     Milliseconds RegistryDelay = Milliseconds(400));
  /// Ends the worker's process and all its runs. Calls to its address wait
  /// until comeBack().
  void takeDown(const WorkerId &Id);
  /// Starts the worker's process again under its id, which executes the calls
  /// that wait. The registry shows it \p RegistryDelay later.
  void comeBack(const WorkerId &Id, Milliseconds RegistryDelay);
  /// Cuts the worker off; its tasks continue to run. The registry drops it
  /// \p RegistryDelay later, until reconnect().
  void cutOff(const WorkerId &Id, Milliseconds RegistryDelay);
  void reconnect(const WorkerId &Id);
  /// Marks the worker as draining and notifies all owners.
  void drain(const WorkerId &Id);
  /// Ends the worker and all its runs, and removes it from the registry.
  void leave(const WorkerId &Id);
  /// Ends the worker and all its runs. The registry drops it \p RegistryDelay
  /// later.
  void crash(const WorkerId &Id, Milliseconds RegistryDelay);
  /// Makes every run succeed after \p Length.
  void setRunTime(Milliseconds Length) {
    FateOf_ = [Length](const TaskId &, std::uint32_t) { return Fate{Length}; };
  }

  /// Advances the cell by \p Time.
  void run(Milliseconds Time);
  /// Runs until \p Condition holds, for at most \p Limit. Returns whether it
  /// holds.
  bool runUntil(const std::function<bool()> &Condition,
                Milliseconds Limit = Milliseconds(30'000));

  /// Adds a line to the trace.
  void note(const std::string &What);

  workflow::JobState state(const JobId &Job) const;
  bool allClosed() const;
  /// The jobs as stored.
  ledger::Replica stored() const;
  /// Number of jobs in the store.
  std::size_t jobs() const;
  Owner &owner() { return *Owners_.back(); }
  FakeWorker &worker(const WorkerId &Id) { return Workers_.at(Id); }
  /// Workers on which a run of the task is active.
  std::vector<WorkerId> whereIs(const TaskId &Id) const;

  TimePoint Now_{std::chrono::seconds(1'000)};
  std::map<WorkerId, FakeWorker> Workers_;
  std::vector<std::unique_ptr<Owner>> Owners_;
  workflow::Catalog Catalog_;
  Failures Failures_;
  bool StoreDown_ = false;
  Random Random_;
  /// Plan of each run; by default it succeeds after 200 ms.
  std::function<Fate(const TaskId &, std::uint32_t)> FateOf_ =
      [](const TaskId &, std::uint32_t) { return Fate{Milliseconds(200)}; };
  std::vector<std::string> Starts_;    ///< "TASK#RUN@WORKER" in order.
  std::vector<scheduler::Note> Notes_; ///< Lines that the owners logged.
  std::vector<std::string> Trace_;     ///< Events, for debugging.
  std::vector<std::string> Broken_;    ///< Invariant violations so far.
  std::uint64_t AdviceCalls_ = 0;
  /// If set, calls to the policy queue until an entry of the owner's pool is
  /// free and take their expected time; otherwise each is answered after 20 ms.
  /// Each owner begins with a copy of this pool.
  std::optional<advice::Pool> Policy_;
  /// Entries of Policy_ that answer no call, by address.
  std::set<std::string> SilentEntries_;
  /// Answer of the policy; by default it allows every worker.
  std::function<bool(const WorkerId &)> Allows_ = [](const WorkerId &) {
    return true;
  };
  /// The same by step; if set, it replaces Allows_.
  std::function<bool(const workflow::StepId &, const WorkerId &)> AllowsStep_;
  /// Whether the policy allows the step on the worker.
  bool allows(const workflow::StepId &Step, const WorkerId &W) const {
    return AllowsStep_ ? AllowsStep_(Step, W) : Allows_(W);
  }

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
  /// Reports expired policy calls to the owner and dispatches queued calls to
  /// free entries of the pool.
  void runPolicyPool(Owner &O);
  /// Delivers a worker's answer, or its absence, to the owner: calls
  /// \p OnAnswer with whether the owner read an answer within the timeout.
  void answer(Owner &O, const scheduler::Target &To, TimePoint SentAt,
              bool Answered, std::function<void(bool ReadInTime)> OnAnswer);
  void readStore(Owner &O);
  void append(ledger::KeyedRecord R);
  /// Lets the newest owner know when the one before it has stopped, as the
  /// heartbeats of the claims topic do.
  void tellOfPredecessor();
  /// Sets in \p Opt when the leases that owners before \p O gave have expired.
  static void setInheritedLeasesEnd(const Owner &O, scheduler::Options &Opt);
  void applyStart(const scheduler::StartCall &C, scheduler::OrderReply *Reply);
  /// Last contact with the store of the owner that sends orders with \p T.
  TimePoint contactOf(Token T) const;
  void checkStart(const scheduler::StartCall &C);
  /// Records ends that a worker was told to forget.
  void recordAckedEnds(FakeWorker &W);
  /// True if an end of the task as done, or of its gang, was acknowledged.
  bool isEndAcked(const TaskId &Id);
  /// True if a worker that has not restarted since reported the task as done.
  bool isEndReported(const TaskId &Id) const;
  /// Records the ends that the worker reports to \p O in \p Reply.
  void recordReportedEnds(const Owner &O, const WorkerId &W,
                          const scheduler::RenewReply &Reply);
  /// Drops the ends reported by a worker that is cut off or gone: its last
  /// answers may have been lost, so a new run is permitted.
  void forgetReportedEnds(const WorkerId &W);
  void dropFromRegistry(const WorkerId &Id);
  /// Lets the worker execute a call that arrives now, or once it is back.
  void deliver(const WorkerId &Id, std::function<void()> Call);
  void checkWorkers();
  /// Begins the work of complete gangs and ends gangs that lost a member.
  void joinGangs();
  void broken(const std::string &What);
  bool isDown(const Owner &O) const;
  bool reaches(const WorkerId &W) const;
  Milliseconds randomTripTime();
  TaskTraits taskTraits();

  std::vector<ledger::KeyedRecord> Store_;
  std::vector<TimePoint> StoredAt_; ///< Times of the records of Store_.
  Token Epoch_ = 0;                 ///< Newest claim.
  /// Number of records of the claims topic: claims and heartbeats of owners.
  Token ClaimRecords_ = 0;
  std::vector<Event> Events_;
  std::uint64_t NextOrder_ = 0;
  /// Calls that wait for a worker whose process is down, by its id.
  std::map<WorkerId, std::vector<std::function<void()>>> Waiting_;
  std::map<JobId, workflow::WorkflowSpec> Specs_;
  std::map<JobId, TimePoint> CancelledAt_;
  std::map<TaskId, ReportedEnd> ReportedEnds_;
  std::set<TaskId> AckedEnds_; ///< Tasks with an acknowledged end as done.
  std::map<TaskId, TimePoint> LastStart_;
  std::uint64_t NextStart_ = 1;
};

/// A step of \p Count tasks of one core each.
workflow::StepSpec plainStep(std::uint32_t Count);
workflow::WorkflowSpec plainJob(std::vector<workflow::StepSpec> Steps);

} // namespace pollenvale::fleettest
