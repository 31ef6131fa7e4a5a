/// \file
/// One slice that this entry owns: from the claim over the fence and the
/// catching up to the scheduler's calls.
#pragma once

#include "advice/advice.hpp"
#include "fleet/start_calls.hpp"
#include "fleet/worker_registry.hpp"
#include "intake/intake.hpp"
#include "observe/observe.hpp"
#include "ownership/ownership.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

/// What a slice needs of the entry around it.
struct SliceContext {
  platform::Client *Client_ = nullptr; ///< For calls to workers.
  ledger::Store *Store_ = nullptr;
  const workflow::Catalog *Catalog_ = nullptr;
  const WorkerRegistry *Registry_ = nullptr;
  intake::PartitionCopy *Partition_ = nullptr;
  std::function<void(scheduler::AdviceCall)> Ask_;
  StartCalls *Starts_ = nullptr;
  std::function<void()> Wake_; ///< Asks for a turn of the event loop.
  Milliseconds MaxLease_{10'000};
  Milliseconds KeepClosed_{180'000};
};

class SliceOwner : public std::enable_shared_from_this<SliceOwner> {
public:
  SliceOwner(SliceContext Context, ownership::SliceName Slice,
             std::uint32_t Partition, ownership::OwnedSlice Claim,
             Milliseconds SelfFence);

  /// Makes every call that is due. \p MayOrder: the claim is fresh enough.
  /// \p StoreAway: the store has not been read for a moment.
  void turn(bool MayOrder, bool StoreAway);
  void onRecord(const ledger::Change &Change);
  void onWorker(const scheduler::WorkerInfo &Info);
  void onWorkerGone(const WorkerId &Id);
  void onCatalog();
  void onAdvice(const scheduler::AdviceCall &Call,
                const scheduler::AdviceReply &Reply);
  /// No further order is sent; answers still to come are left out.
  void stop() { Stage_ = Stage::Over; }
  /// The claim has been superseded.
  bool isOver() const { return Stage_ == Stage::Over; }
  TimePoint nextDue() const;
  /// Its turns were late a moment ago.
  bool isLate() const;
  const Counters &counters() const { return State_.Counters_; }

private:
  enum class Stage { Fencing, CatchingUp, Running, Over };

  /// Calls \p H with the reply unless the slice was lost meanwhile.
  template <class Reply, class Handle>
  std::function<void(Reply)> whileRunning(Handle H);
  void sendFence();
  void begin();
  void perform(scheduler::Outbox &Out);
  void write(scheduler::Note &N);
  void send(const scheduler::RenewCall &C);
  void send(const scheduler::StartCall &C);
  void send(const scheduler::StopCall &C);
  void send(const scheduler::ThrottleCall &C);
  /// \p Write: the scheduler's name of the write that \p Append is for.
  void send(ledger::AppendCall Append, std::uint64_t Write);
  void onWritten(std::uint64_t Write, const ledger::AppendReply &Reply);
  void noteUnstored(const ledger::Fence &Sent,
                    const ledger::AppendReply &Reply);
  void lose(const char *Reason);
  bool isMine(const JobId &Job) const;

  SliceContext Context_;
  ownership::SliceName Slice_;
  std::uint32_t Partition_;
  ownership::OwnedSlice Claim_;
  Milliseconds SelfFence_;
  observe::LineLimit Lines_;
  Stage Stage_ = Stage::Fencing;
  bool FenceInFlight_ = false;
  TimePoint FenceDueAt_{};
  Offset FenceOffset_ = 0;
  ledger::Writer Writer_;
  std::uint64_t OpenWrite_ = 0; ///< The scheduler's write that is repeated.
  scheduler::State State_;
};

} // namespace pollenvale::fleet
