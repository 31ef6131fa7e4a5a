#include "ownership/ownership.hpp"

namespace pollenvale::ownership {

namespace {

constexpr char ClaimPrefix = 's';
constexpr char NodePrefix = 'n';
constexpr char ServicePrefix = 'v';

} // namespace

RecordKind kindOf(const std::string &Key) {
  if (Key.size() < 2)
    return RecordKind::Unknown;
  if (Key[0] == ClaimPrefix)
    return RecordKind::Claim;
  if (Key[0] == ServicePrefix)
    return RecordKind::Service;
  return Key[0] == NodePrefix ? RecordKind::Node : RecordKind::Unknown;
}

std::string nameOf(const std::string &Key) { return Key.substr(1); }

ledger::KeyedRecord makeClaim(const SliceName &Slice, const ClaimRecord &R) {
  return {ClaimPrefix + Slice, pack(R)};
}

ledger::KeyedRecord makeClaimRemoval(const SliceName &Slice) {
  return {ClaimPrefix + Slice, ""};
}

ledger::KeyedRecord makeNode(const std::string &Name, const NodeRecord &R) {
  return {NodePrefix + Name, pack(R)};
}

ledger::KeyedRecord makeServiceName(const SliceName &Slice) {
  return {ServicePrefix + Slice, "1"};
}

ledger::KeyedRecord makeServiceNameRemoval(const SliceName &Slice) {
  return {ServicePrefix + Slice, ""};
}

std::optional<ClaimRecord> parseClaim(const std::string &Value) {
  return unpack<ClaimRecord>(Value);
}

std::optional<NodeRecord> parseNode(const std::string &Value) {
  return unpack<NodeRecord>(Value);
}

} // namespace pollenvale::ownership
