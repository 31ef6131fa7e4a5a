/// \file
/// Owner of one slice: fences former owners after the claim, catches up with
/// the stored jobs, then runs the scheduler and carries out its calls.
#pragma once

#include "advice/advice.hpp"
#include "fleet/start_calls.hpp"
#include "fleet/worker_registry.hpp"
#include "intake/intake.hpp"
#include "observe/observe.hpp"
#include "ownership/ownership.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

/// Services of the entry that a slice owner uses. All pointers must be set.
struct SliceContext {
  platform::Client *Client_ = nullptr; ///< For calls to workers.
  ledger::Store *Store_ = nullptr;
  const workflow::Catalog *Catalog_ = nullptr;
  const WorkerRegistry *Registry_ = nullptr;
  std::uint32_t PartitionNumber_ = 0; ///< Partition of the slice's jobs.
  intake::PartitionCopy *Partition_ = nullptr; ///< Copy of that partition.
  /// Queues a call to the placement policy.
  std::function<void(scheduler::AdviceCall)> RequestAdvice_;
  StartCalls *Starts_ = nullptr;
  /// Schedules runDueWork() on the event loop.
  std::function<void()> PostDueWork_;
  Milliseconds MaxLease_{10'000}; ///< Workers shorten longer leases.
  /// As in platform::Boot.
  Milliseconds DrainLimit_{2'000}, CancelLimit_{3'000};
  /// How long closed jobs are kept.
  Milliseconds ClosedJobRetention_{180'000};
  ledger::StoreLimits StoreLimits_;
};

/// Keeps itself alive while a call is in flight.
class SliceOwner : public std::enable_shared_from_this<SliceOwner> {
public:
  /// \p SelfFence: an owner that has not read the claims for this long sends no
  /// more orders.
  SliceOwner(SliceContext Context, ownership::SliceName Slice,
             ownership::OwnedSlice Claim, Milliseconds SelfFence);

  /// Sends every call that is due. \p StoreStale: the store has not been read
  /// recently.
  void runDueWork(const ownership::Authority &Authority, bool StoreStale);
  void onRecord(const ledger::Change &Change);
  void onWorker(const scheduler::WorkerInfo &Info);
  void onWorkerGone(const WorkerId &Id);
  void onCatalog();
  /// The claim of this owner, with what is known of its predecessor by now.
  void onClaim(const ownership::OwnedSlice &Claim);
  void onAdvice(const scheduler::AdviceCall &Call,
                const scheduler::AdviceReply &Reply);
  /// Ends this owner: it sends no further orders and ignores pending answers.
  void stop() { Stage_ = Stage::Ended; }
  /// Whether the owner has been stopped or its claim has been superseded.
  bool hasEnded() const { return Stage_ == Stage::Ended; }
  /// Whether nothing of the slice is left in the store but its claim: its
  /// service has left the configuration and all of its jobs are over.
  bool isRetired() const { return Stage_ == Stage::Retired; }
  /// Earliest time at which a call may be due.
  TimePoint nextDue() const;
  /// Whether the scheduler has recently run late.
  bool isLate() const;
  std::size_t workerCount() const { return State_.Workers_.size(); }
  const Counters &counters() const { return State_.Counters_; }

private:
  enum class Stage {
    Fencing,
    CatchingUp,
    Running,
    Retiring, ///< Its last records are being removed; nothing else is sent.
    Retired,
    Ended
  };

  /// A callback that passes the reply to \p Handle, unless the owner has ended
  /// in the meantime.
  template <class Reply, class Handler>
  std::function<void(Reply)> whileRunning(Handler Handle);
  /// Appends the fence that makes the store reject writes of former owners.
  void sendFence();
  /// Builds the scheduler's state from the stored jobs and starts scheduling.
  void startScheduling();
  /// Sets when the last leases of earlier owners have ended.
  void setInheritedLeasesEnd(scheduler::Options &O) const;
  /// Keeps the workers of the service while it is configured or has open jobs.
  void updateWorkers();
  /// Removes the last records of the slice from the store.
  void beginRetirement();
  void addWorkersOfRegistry();
  /// Carries out all calls in \p Out and logs its notes.
  void perform(scheduler::Outbox &Out);
  void writeNote(scheduler::Note &N);
  void send(const scheduler::RenewCall &C);
  void send(const scheduler::StartCall &C);
  void send(const scheduler::StopCall &C);
  void send(const scheduler::ThrottleCall &C);
  /// \p WriteId: the scheduler's id of the write that \p Append carries out.
  void send(ledger::AppendCall Append, std::uint64_t WriteId);
  void onWritten(std::uint64_t WriteId, const ledger::AppendReply &Reply);
  void onRemovalWritten(const ledger::AppendReply &Reply);
  /// Logs a write that was not stored. \p Sent: its fence at the time of
  /// sending.
  void logUnstored(const ledger::Fence &Sent, const ledger::AppendReply &Reply);
  /// Ends this owner because its claim is lost, and logs \p Reason.
  void loseSlice(const char *Reason);
  bool ownsJob(const JobId &Job) const;
  /// Whether a void record of the job is for this slice.
  bool isOwnVoidJob(const JobId &Job) const;
  /// Whether cancellations or drains may have been missed for too long.
  bool isBehind() const;

  SliceContext Context_;
  ownership::SliceName Slice_;
  ownership::OwnedSlice Claim_;
  ledger::ReplicatedRoster InheritedRoster_; ///< As read when scheduling began.
  Milliseconds SelfFence_;
  observe::LineLimit LogLimit_;
  Stage Stage_ = Stage::Fencing;
  bool FenceInFlight_ = false;
  TimePoint FenceDueAt_{};
  Offset FenceOffset_ = 0; ///< Offset of this owner's stored fence.
  bool Configured_ = true; ///< The configuration lists the service.
  bool HasWorkers_ = true;
  TimePoint WorkersNeededAt_{}; ///< When there were open jobs last.
  ledger::Writer Writer_;
  std::uint64_t RepeatedWriteId_ = 0; ///< Id of the write that Writer_ repeats.
  scheduler::State State_;
};

} // namespace pollenvale::fleet
