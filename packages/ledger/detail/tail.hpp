/// \file
/// Follows one partition of a keyed topic: first the newest record of each key,
/// then every record as it comes. Starts over when the store has forgotten the
/// records that come next.
#pragma once

#include "ledger/detail/store.hpp"

#include <map>

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
  /// Delivered records whose predecessors are still missing.
  std::map<Offset, KeyedRecord> Ahead_;
  bool Reachable_ = false;
  Offset ReadFrom_ = 0; ///< Where the last read begins.
  Offset KnownEnd_ = 0; ///< End that the store had when it was sent.
  /// Delivered records and reads that contradict what the store holds.
  std::uint64_t Mismatches_ = 0;
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
/// Takes stored records that came from their writer and not by a read. Returns
/// those that come next, in order: none is passed over, so whoever follows the
/// partition sees what it would have read.
std::vector<KeyedRecord> deliver(Tail &T, std::vector<KeyedRecord> Records,
                                 TimePoint Now);
/// Delivered records that come next after a read.
std::vector<KeyedRecord> takeAhead(Tail &T);
/// Asks for a read soon.
void hurry(Tail &T, TimePoint Now);
/// Whether the partition could not be read for much longer than a read takes.
bool isStale(const Tail &T, TimePoint Now);
/// Whether the store answers and yet holds records that have waited to be read
/// for longer than \p Limit.
bool isBehind(const Tail &T, Milliseconds Limit, TimePoint Now);

} // namespace pollenvale::ledger
