/// \file
/// An entry's view of all claims, and the rules by which it claims slices,
/// keeps them and releases them.
#pragma once

#include "ownership/detail/records.hpp"

#include <map>
#include <set>

namespace pollenvale::ownership {

struct Options {
  NodeId Self_;
  std::string Address_; ///< Of this entry, for messages between entries.
  /// Heartbeat interval of an entry that owns a slice.
  Milliseconds OwnerHeartbeatInterval_{600};
  /// Intervals of an owner's heartbeats differ by up to this, so that entries
  /// which pause between two reads do not read each of them late.
  Milliseconds OwnerHeartbeatJitter_{150};
  /// Heartbeat interval of an entry that owns no slice. Its heartbeats only
  /// publish its address and its CPU.
  Milliseconds IdleHeartbeatInterval_{5'000};
  /// The slices of an owner that has been silent for this long, while the store
  /// answers, are free to be claimed.
  Milliseconds SilenceLimit_{1'900};
  /// An owner sends no more orders when it has not read the claims for this
  /// long, or when it sent the newest record of its own that it knows to be
  /// stored this long ago. Later owners count from that record.
  Milliseconds SelfFence_{4'000};
  /// Claims of several entries are spread over this time, so that few race.
  Milliseconds ClaimJitter_{300};
  /// Additional delay of a claim for each slice that the entry owns already.
  Milliseconds ClaimDelayPerSlice_{500};
  /// CPU of this entry in thousandths of a core; 0 if unknown.
  std::int64_t Cpu_ = 0;
  /// Entries with at least this CPU, in thousandths of a core, are large. Small
  /// ones delay their claims so that large ones get the slices.
  std::int64_t LargeEntryCpu_ = 250;
  TimePoint StartedAt_{}; ///< Start of this process; zero if unknown.
  /// Delay of a claim by an entry with almost no CPU. It shrinks linearly to 0
  /// at LargeEntryCpu_.
  Milliseconds SmallEntryDelay_{1'200};
  /// A small owner that has been overloaded for this long releases its slices
  /// if a large entry without slices can claim them.
  Milliseconds OverloadLimit_{2'000};
};

/// Newest claim of a slice, as far as the claims topic has been read.
struct SliceView {
  ClaimNumber Number_ = 0; ///< 0 if the slice was never claimed.
  NodeId Holder_;
  std::string Address_;    ///< Of the holder.
  Offset StartOffset_ = 0; ///< Of the holder.
  std::uint32_t Generation_ = 0;
  bool Released_ = false; ///< The holder has released the claim.
  TimePoint SeenAt_{};    ///< When the claim was read.
  /// The holder sent its claim, and every heartbeat that was stored since and
  /// has been read, at this time or earlier.
  TimePoint HolderSentBy_{};
  /// NodeRecord::UptimeMs_ of its newest heartbeat; empty before the first.
  std::optional<Milliseconds> HolderUptime_;
  /// The holder follows Options::SelfFence_ for its own records, too.
  bool HolderFencesItself_ = false;
  /// The holders before it have fenced themselves by then.
  TimePoint FormerHolderFencedBy_{};
  TimePoint FreeSince_{}; ///< When the slice was first found to be free.
  bool Free_ = false;     ///< This entry may claim the slice.
  /// End of the claims partition that the store rejected as outdated in this
  /// entry's last claim. The claim is sent again, without a new delay, once
  /// more of the partition has been read.
  std::optional<Offset> RejectedEnd_;
};

/// Newest heartbeat of a node.
struct NodeView {
  std::string Address_;
  NodeId Node_;
  Offset StartOffset_ = 0;
  std::int64_t Cpu_ = 0;  ///< Thousandths of a core; 0 if unknown.
  TimePoint SeenAt_{};    ///< When the heartbeat was read.
  TimePoint StartedBy_{}; ///< The process started at this time or earlier.
  Offset ReadUpTo_ = 0;   ///< As NodeRecord::ReadUpTo_.
};

/// The process that holds, or held, a slice.
struct Holder {
  NodeId Node_;
  std::string Address_;
  Offset StartOffset_ = 0;
};

/// What a new owner knows about the previous owner of its slice.
enum class Predecessor {
  None,  ///< There was none, or it released the slice: it sends no orders.
  Ended, ///< Its VM runs a later process: it sent no order after the claim.
  MayRun ///< It may send orders until it fences itself.
};
std::string_view toString(Predecessor P);

/// A slice that this entry owns.
struct OwnedSlice {
  ClaimNumber Number_ = 0;
  std::uint32_t Generation_ = 0;
  Predecessor Predecessor_ = Predecessor::None;
  ClaimNumber PredecessorClaim_ = 0; ///< 0 if the slice was never claimed.
  /// When the store's answer to the claim arrived. A predecessor that reads the
  /// claims after this time finds this claim and stops.
  TimePoint ClaimedAt_{};
  Holder PredecessorHolder_{}; ///< Empty if the slice was never claimed.
  /// When this entry read the predecessor's claim; zero if unknown. The owners
  /// before it have stopped as it does itself for ClaimedAt_.
  TimePoint PredecessorSeenAt_{};
  /// The predecessor had stopped by this time: its VM runs a later process, or
  /// it has read this claim. Empty if unknown.
  std::optional<TimePoint> PredecessorEndedBy_ = {};
  /// The predecessor, and the owners before it, fence themselves by these
  /// times, as their last records before this claim tell. Empty if unknown.
  std::optional<TimePoint> PredecessorFencedBy_ = {};
  std::optional<TimePoint> EarlierFencedBy_ = {};
  TimePoint SentAt_{}; ///< When the claim was sent.
};

/// The name of a service that this entry stores. It is settled once it has been
/// read.
struct PendingName {
  bool Sent_ = false;
  TimePoint RetryAt_{}; ///< When a name that was not stored is sent again.
};

/// A slice that this entry gives up. Its release, or the removal of its claim,
/// is sent again until it is stored, or a later claim makes it unnecessary.
struct PendingRelease {
  ClaimNumber Number_ = 0; ///< Claim to release.
  std::uint32_t Generation_ = 0;
  bool Removes_ = false; ///< Removes the claim: no entry is to own the slice.
  /// Offset of the name of the service that is removed before the claim. A
  /// later one stays: jobs may have been accepted since.
  std::optional<Offset> Name_;
  bool InFlight_ = false;
  unsigned Sends_ = 0;  ///< How often the release was sent.
  TimePoint RetryAt_{}; ///< When an unanswered release is sent again.
  /// End of the claims partition that the store rejected as outdated.
  std::optional<Offset> RejectedEnd_;
};

struct State {
  Options Options_;
  std::map<SliceName, SliceView> Slices_;
  std::map<std::string, NodeView> Nodes_; ///< By node name.
  std::map<SliceName, OwnedSlice> OwnSlices_;
  std::set<SliceName> ClaimsInFlight_;
  std::map<SliceName, PendingRelease> Releases_;
  /// Services that the topic names apart from claims, by offset of the record.
  std::map<SliceName, Offset> ServiceNames_;
  std::map<SliceName, PendingName> PendingNames_; ///< To be stored.
  /// Since when the store has answered reads without a long gap.
  TimePoint ContactSince_{};
  TimePoint LastContactAt_{}; ///< Last answer of the store to a read.
  /// Every claim that was stored before this time has been read.
  TimePoint CurrentAt_{};
  /// End of the claims partition when it was first read, plus 1; 0 before that.
  Offset StartOffset_ = 0;
  TimePoint HeartbeatSentAt_{};
  bool HeartbeatInFlight_ = false;
  /// When the newest heartbeat was sent that this entry has read back.
  TimePoint StoredHeartbeatSentAt_{};
  /// Offset plus 1 of the newest heartbeat that this entry has read back in the
  /// order of offsets, so that it knows every claim before it.
  ClaimNumber StoredHeartbeatNumber_ = 0;
  bool Loading_ = false;  ///< The topic is being loaded, in no order.
  bool Stopping_ = false; ///< Set by the driver: release all, claim nothing.
  /// Since when this entry does not keep up with its slices; set by the driver.
  std::optional<TimePoint> OverloadedSince_;
  std::uint64_t UnreadableRecords_ = 0; ///< Records that could not be decoded.
};

/// A write to the claims topic, to be made by the driver.
struct Write {
  enum class Kind { Claim, Release, Heartbeat, Name };
  Kind Kind_ = Kind::Heartbeat;
  SliceName Slice_; ///< Empty for a heartbeat.
  ledger::KeyedRecord Record_;
  std::optional<Offset> ExpectedEnd_; ///< Of a claim or a release.
  /// Of a claim only: the ownership that it establishes, without its number.
  OwnedSlice Claimed_{};
  bool Repeated_ = false; ///< Of a release only: it was sent before.
};

/// Applies a record that was read from the claims topic.
void onRecord(State &Claims, const ledger::KeyedRecord &R, TimePoint Now);
/// A load of the topic begins.
void onLoadBegins(State &Claims);
/// Forgets the claims that a completed load of the topic lacks: they have been
/// removed. \p Keys: keys of the loaded records. \p LoadEnd: end of the
/// partition when the load began.
void onLoaded(State &Claims, const std::set<std::string> &Keys, Offset LoadEnd,
              TimePoint Now);
/// Notes that the store answered a read of the claims topic at \p Now. Every
/// claim that was stored before \p CurrentAt has been read.
void onContact(State &Claims, TimePoint CurrentAt, TimePoint Now);
/// Handles the store's reply to a write that tick() has returned.
void onWritten(State &Claims, const Write &W, const ledger::AppendReply &Reply,
               TimePoint Now);
/// Slices with a claim in the topic, held or released, or with a name there:
/// every entry finds them, whatever its configuration is.
std::set<SliceName> knownSlices(const State &Claims);
/// Whether the slice is one of knownSlices().
bool isKnown(const State &Claims, const SliceName &Slice);
/// Whether the slice is known. If not, has its name stored; no job of it may be
/// accepted before.
bool ensureKnown(State &Claims, const SliceName &Slice);
/// Writes that are due. \p Wanted: slices that are to have an owner. \p End:
/// end of the claims partition as far as it was read; empty while unknown.
std::vector<Write> tick(State &Claims, const std::set<SliceName> &Wanted,
                        std::optional<Offset> End, TimePoint Now);
/// How long leases of earlier owners may be valid, on a worker's clock, with a
/// margin.
struct LeaseLimits {
  Milliseconds Longest_{0}; ///< From when the lease is given.
  /// From when its owner fences itself. No lease lasts longer, however it is
  /// given.
  Milliseconds AfterFence_{0};
};
/// Time after which no lease of an earlier owner can be valid. It may become
/// earlier when more is known of the predecessor. \p Roster: the
/// one that the slice's new owner has read.
TimePoint inheritedLeasesEnd(const OwnedSlice &Own,
                             const ledger::Roster &Roster,
                             const LeaseLimits &Limits, Milliseconds SelfFence);
/// Addresses of the other entries whose heartbeats were read.
std::vector<std::string> peerAddresses(const State &Claims);
/// Gives up an own slice that needs no owner any more, and removes its claim.
void removeSlice(State &Claims, const SliceName &Slice);
/// Forgets an own slice whose claim turned out to be superseded.
void forgetSlice(State &Claims, const SliceName &Slice);
/// What an owner may send.
struct Authority {
  TimePoint OrdersEndAt_{}; ///< As ordersEndAt().
  Token Token_ = 0;         ///< As orderToken().
};
Authority authorityOver(const State &Claims, const SliceName &Slice);
/// When this entry fences itself for the slice unless it learns more from the
/// store; see Options::SelfFence_. A heartbeat counts once it has been read
/// back, as every claim before it has then been read, too. In the past if this
/// entry does not own the slice.
TimePoint ordersEndAt(const State &Claims, const SliceName &Slice);
/// Fencing token of orders for the slice that are sent now; 0 if this entry
/// does not own the slice. Grows with each heartbeat that is stored, and is
/// lower than the number of every later claim: a claim before such a heartbeat
/// would have been read before it.
Token orderToken(const State &Claims, const SliceName &Slice);
/// False when this entry must send no orders for the slice: another entry may
/// have claimed it and waits no longer for this one's orders.
bool maySendOrders(const State &Claims, const SliceName &Slice, TimePoint Now);

} // namespace pollenvale::ownership
