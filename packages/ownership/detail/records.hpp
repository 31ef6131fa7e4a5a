/// \file
/// Records of the claims topic.
#pragma once

#include "ledger/ledger.hpp"

namespace pollenvale::ownership {

/// Name of a slice: workers and jobs about which one owner decides.
using SliceName = std::string;
/// Offset of the claim's record plus 1: grows with every claim of any slice. 0
/// stands for no claim.
using ClaimNumber = std::uint64_t;

/// Claims or releases a slice. Stored only if the partition still ends where
/// its writer has read to: otherwise a release that the store executes late
/// would replace a later claim for everybody who loads the topic.
struct ClaimRecord {
  NodeId Holder_;
  /// Number of owners that the slice has had, including this one.
  std::uint32_t Generation_ = 1;
  ClaimNumber ReleasedClaim_ = 0; ///< Claim to release; 0 for a new claim.
  std::string Address_;           ///< The holder's, as in its NodeRecord.
  Offset StartOffset_ = 0;        ///< The holder's, as in its NodeRecord.
  /// The holder sends orders only for Options::SelfFence_ after its newest
  /// stored record; false for earlier builds.
  bool FencesItself_ = false;
  MSGPACK_DEFINE(Holder_, Generation_, ReleasedClaim_, Address_, StartOffset_,
                 FencesItself_)
};

/// Heartbeat of an entry.
struct NodeRecord {
  NodeId Node_;
  std::string Address_; ///< For messages between entries.
  /// End of the claims partition when the process first read it, plus 1. Larger
  /// for each later process of a VM.
  Offset StartOffset_ = 0;
  std::int64_t Cpu_ = 0; ///< Thousandths of a core; 0 if unknown.
  /// Time since the process started, by its steady clock; 0 if unknown.
  std::int64_t UptimeMs_ = 0;
  /// Offset up to which it has read the claims: it has stopped sending orders
  /// for slices that others claimed before that. 0 if unknown.
  Offset ReadUpTo_ = 0;
  MSGPACK_DEFINE(Node_, Address_, StartOffset_, Cpu_, UptimeMs_, ReadUpTo_)
};

enum class RecordKind { Claim, Node, Service, Unknown };

/// Unknown if \p Key has no name or no known prefix.
RecordKind kindOf(const std::string &Key);
/// Slice of a claim's key, node name of a heartbeat's key or name of a service.
/// \p Key must not be empty.
std::string nameOf(const std::string &Key);
ledger::KeyedRecord makeClaim(const SliceName &Slice, const ClaimRecord &R);
/// Record without a value, which removes the claim of \p Slice.
ledger::KeyedRecord makeClaimRemoval(const SliceName &Slice);
ledger::KeyedRecord makeNode(const std::string &Name, const NodeRecord &R);
/// Names a service of which jobs are about to be stored, for entries whose
/// configuration does not name it.
ledger::KeyedRecord makeServiceName(const SliceName &Slice);
/// Record without a value, which removes the name of the service.
ledger::KeyedRecord makeServiceNameRemoval(const SliceName &Slice);
/// Empty if \p Value can't be decoded.
std::optional<ClaimRecord> parseClaim(const std::string &Value);
/// Empty if \p Value can't be decoded.
std::optional<NodeRecord> parseNode(const std::string &Value);

} // namespace pollenvale::ownership
