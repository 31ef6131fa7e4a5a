/// \file
/// Follows one partition of a keyed topic: first the newest record of each key,
/// then every record as it comes. Starts over when the store has forgotten the
/// records that come next.
#pragma once

#include "ledger/detail/store.hpp"

namespace pollenvale::ledger {

struct TailOptions {
  Partition From_;
  /// How long the store may hold a read back while nothing comes.
  Milliseconds Wait_{5'000};
  /// Least time between two reads.
  Milliseconds Spacing_{0};
};

enum class TailStep { Idle, Newest, Read };

/// Position and calls in flight. The driver makes the call that nextStep()
/// names and hands back its reply.
struct Tail {
  TailOptions Options_;
  bool Loaded_ = false; ///< All newest records were read once.
  bool Loading_ = true;
  bool InFlight_ = false;
  std::string PageAfter_;
  Offset Next_ = 0;
  std::optional<Offset> LoadEnd_; ///< End as of the first page.
  TimePoint NotBefore_{};
  TimePoint SentAt_{};
  /// Everything that was stored before this time has been read.
  TimePoint CurrentAt_{};
  TimePoint AnsweredAt_{}; ///< Last answer of the store to this tail.
  bool Reachable_ = false;
};

TailStep nextStep(const Tail &T, TimePoint Now);
/// The read to make next. While the store does not answer, it waits for nothing
/// and ends soon, so that its return is noticed at once.
ReadCall nextRead(const Tail &T);
void onSent(Tail &T, TimePoint Now);
/// Returns true when a load has just been completed: keys that were not among
/// the records since the load began are gone.
bool onNewest(Tail &T, const NewestReply &Reply, TimePoint Now);
void onRead(Tail &T, const ReadReply &Reply, TimePoint Now);
/// Whether the partition could not be read for much longer than a read takes.
bool isStale(const Tail &T, TimePoint Now);

} // namespace pollenvale::ledger
