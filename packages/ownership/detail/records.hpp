/// \file
/// Records of the claims topic.
#pragma once

#include "ledger/ledger.hpp"

namespace pollenvale::ownership {

/// Name of a slice: the workers and jobs that one owner decides about.
using SliceName = std::string;
/// Grows with every claim of any slice.
using ClaimNumber = std::uint64_t;

/// Taking or giving up a slice. Valid only where it is appended at the end of
/// the partition that its writer had read.
struct ClaimRecord {
  NodeId Holder_;
  std::uint32_t Generation_ = 1; ///< Owners of the slice so far, this included.
  /// Number of the claim given up; 0 for a new claim, whose number is the
  /// offset of its record plus 1.
  ClaimNumber GivenUp_ = 0;
  std::string Address_;    ///< The holder's, as in its NodeRecord.
  Offset StartOffset_ = 0; ///< The holder's, as in its NodeRecord.
  MSGPACK_DEFINE(Holder_, Generation_, GivenUp_, Address_, StartOffset_)
};

/// Heartbeat of an entry.
struct NodeRecord {
  NodeId Node_;
  std::string Address_; ///< For messages between entries.
  /// End of the claims partition that the process read first; 0 before that.
  /// Larger for each later process of a VM.
  Offset StartOffset_ = 0;
  std::int64_t Cpu_ = 0; ///< Thousandths of a core; 0 when unknown.
  MSGPACK_DEFINE(Node_, Address_, StartOffset_, Cpu_)
};

enum class RecordKind { Claim, Node, Unknown };

RecordKind kindOf(const std::string &Key);
/// Slice or node name that \p Key holds.
std::string nameOf(const std::string &Key);
ledger::KeyedRecord makeClaim(const SliceName &Slice, const ClaimRecord &R);
ledger::KeyedRecord makeNode(const std::string &Name, const NodeRecord &R);
std::optional<ClaimRecord> parseClaim(const std::string &Value);
std::optional<NodeRecord> parseNode(const std::string &Value);

} // namespace pollenvale::ownership
