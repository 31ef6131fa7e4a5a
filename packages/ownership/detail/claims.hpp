/// \file
/// An entry's view of all claims, and when it claims a slice itself.
#pragma once

#include "ownership/detail/records.hpp"

#include <map>
#include <set>

namespace pollenvale::ownership {

struct Options {
  NodeId Self_;
  std::string Address_;
  /// Heartbeat of an entry that owns a slice.
  Milliseconds OwnerBeat_{600};
  /// Heartbeat of one that owns none; it only makes its address known.
  Milliseconds IdleBeat_{5'000};
  /// An owner silent for this long, while the store answers, is taken over.
  Milliseconds SilenceLimit_{1'900};
  /// An owner that has not read the claims for this long stops its orders.
  Milliseconds SelfFence_{4'000};
  /// Claims of several entries are spread over this time, so that few race.
  Milliseconds ClaimSpread_{300};
  /// An entry waits this much longer for each slice that it owns already.
  Milliseconds ClaimPenalty_{500};
  /// Processor of this entry in thousandths of a core; 0 if unknown.
  std::int64_t Cpu_ = 0;
  /// An entry with less processor than this leaves slices to those with more.
  std::int64_t AmpleCpu_ = 250;
  /// How much longer an entry with hardly any processor waits.
  Milliseconds ScarcityDelay_{1'200};
  /// An owner with less than AmpleCpu_ that has been overloaded for this long
  /// gives its slices up while an entry with more is free to take them.
  Milliseconds OverloadLimit_{2'000};
};

struct SliceView {
  ClaimNumber Number_ = 0;
  NodeId Holder_;
  std::string Address_;    ///< Of the holder.
  Offset StartOffset_ = 0; ///< Of the holder.
  std::uint32_t Generation_ = 0;
  bool GivenUp_ = false;
  TimePoint SeenAt_{};    ///< When the claim was read.
  TimePoint FreeSince_{}; ///< When the slice was first found without owner.
  bool Free_ = false;
  /// End of the claims at which an own claim came too late: it is made again
  /// once more of them has been read.
  std::optional<Offset> TriedEnd_;
};

struct NodeView {
  std::string Address_;
  NodeId Node_;
  Offset StartOffset_ = 0;
  std::int64_t Cpu_ = 0;
  TimePoint SeenAt_{};
};

/// What is known of the owner before.
enum class Predecessor {
  None,  ///< There was none, or it gave the slice up: it gives no orders.
  Ended, ///< Its VM runs another process: it gave no order after the claim.
  MayRun ///< It may give orders until it fences itself.
};
std::string_view toString(Predecessor P);

/// A slice that this entry owns.
struct Owned {
  ClaimNumber Number_ = 0;
  std::uint32_t Generation_ = 0;
  Predecessor Before_ = Predecessor::None;
  ClaimNumber Previous_ = 0; ///< Claim of the predecessor.
  /// When the claim was answered. The predecessor can't have read it later than
  /// that and go on.
  TimePoint ClaimedAt_{};
};

struct State {
  Options Options_;
  std::map<SliceName, SliceView> Slices_;
  std::map<std::string, NodeView> Nodes_; ///< By node name.
  std::map<SliceName, Owned> Owned_;
  std::set<SliceName> Claiming_; ///< Claims in flight.
  TimePoint ContactSince_{};     ///< Start of the present contact to the store.
  TimePoint ContactAt_{};        ///< Last answer of the store.
  /// Every claim that was stored before this time has been read.
  TimePoint CurrentAt_{};
  Offset StartOffset_ = 0; ///< End of the claims when they were first read.
  TimePoint BeatSentAt_{};
  bool BeatInFlight_ = false;
  bool Stopping_ = false;
  /// Since when this entry does not keep up with its slices; set by the driver.
  std::optional<TimePoint> OverloadedSince_;
  std::uint64_t Unreadable_ = 0; ///< Records that could not be read.
};

/// A write that the driver shall make to the claims topic.
struct Write {
  enum class Kind { Claim, GiveUp, Beat };
  Kind Kind_ = Kind::Beat;
  SliceName Slice_;
  ledger::KeyedRecord Record_;
  std::optional<Offset> ExpectedEnd_;
  /// Of a claim: what the slice's owner will be.
  std::uint32_t Generation_ = 0;
  Predecessor Before_ = Predecessor::None;
  ClaimNumber Previous_ = 0; ///< Claim of the predecessor.
};

void onRecord(State &S, const ledger::KeyedRecord &R, TimePoint Now);
/// The store answered a read of the claims topic at \p Now. \p CurrentAt: every
/// claim that was stored before then has been read.
void onContact(State &S, TimePoint CurrentAt, TimePoint Now);
void onWritten(State &S, const Write &W, const ledger::AppendReply &Reply,
               TimePoint Now);
/// Writes that are due. \p Wanted: slices of the configuration in force.
/// \p End: end of the claims partition as far as it was read.
std::vector<Write> tick(State &S, const std::set<SliceName> &Wanted,
                        std::optional<Offset> End, TimePoint Now);
/// When no lease that an earlier owner has given can last any longer, by the
/// roster that the slice's new owner has read. \p Lease: longest time on a
/// worker's clock that any owner gives, with its margin.
TimePoint inheritedLeasesEnd(const Owned &Own, const ledger::Roster &Roster,
                             Milliseconds Lease, Milliseconds SelfFence);
/// Addresses of the other entries, as far as their heartbeats are known.
std::vector<std::string> peerAddresses(const State &S);
/// Forgets an own slice whose claim turned out to be superseded.
void drop(State &S, const SliceName &Slice);
/// False when the owner must not send orders: it has not read the claims for so
/// long that another entry may count on its silence. Heartbeats that are stored
/// are no sign: an entry that cannot read may have been superseded.
bool mayOrder(const State &S, TimePoint Now);

} // namespace pollenvale::ownership
