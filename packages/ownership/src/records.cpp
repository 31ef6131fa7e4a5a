#include "ownership/ownership.hpp"

namespace pollenvale::ownership {

namespace {

constexpr char ClaimPrefix = 's';
constexpr char NodePrefix = 'n';

template <class T> std::string pack(const T &Record) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Record);
  return {Buffer.data(), Buffer.size()};
}

template <class T> std::optional<T> unpack(const std::string &Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size()).get().as<T>();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

RecordKind kindOf(const std::string &Key) {
  if (Key.size() < 2)
    return RecordKind::Unknown;
  if (Key[0] == ClaimPrefix)
    return RecordKind::Claim;
  return Key[0] == NodePrefix ? RecordKind::Node : RecordKind::Unknown;
}

std::string nameOf(const std::string &Key) { return Key.substr(1); }

ledger::KeyedRecord makeClaim(const SliceName &Slice, const ClaimRecord &R) {
  return {ClaimPrefix + Slice, pack(R)};
}

ledger::KeyedRecord makeNode(const std::string &Name, const NodeRecord &R) {
  return {NodePrefix + Name, pack(R)};
}

std::optional<ClaimRecord> parseClaim(const std::string &Value) {
  return unpack<ClaimRecord>(Value);
}

std::optional<NodeRecord> parseNode(const std::string &Value) {
  return unpack<NodeRecord>(Value);
}

} // namespace pollenvale::ownership
