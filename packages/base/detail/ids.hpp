/// \file
/// Identifiers. All of them are opaque strings on the wire.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>

namespace pollenvale {

/// One incarnation of an entry process: "name.incarnation". A restarted entry
/// gets a new incarnation, so a node is never confused with its predecessor.
using NodeId = std::string;
using WorkerId = std::string;
using JobId = std::string;
using ServiceName = std::string;
using Offset = std::uint64_t;
/// Fencing token of a control lease; grows with every grant of a worker.
using Token = std::uint64_t;
using CallId = std::uint64_t;
/// Number of the first call of a process; the next ones follow. It is random,
/// as a peer's answer to an earlier process may come to this one.
CallId firstCallId();

/// Name part of a node id, stable over restarts.
inline std::string nodeName(const NodeId &Id) {
  return Id.substr(0, Id.rfind('.'));
}

/// One try to run one task of a job. Unique over the life of the cell.
struct AttemptId {
  JobId Job_;
  std::uint32_t Index_ = 0;
  NodeId Home_;
  std::uint32_t Number_ = 0;

  auto key() const { return std::tie(Job_, Index_, Home_, Number_); }
  bool operator<(const AttemptId &O) const { return key() < O.key(); }
  bool operator==(const AttemptId &O) const { return key() == O.key(); }
  MSGPACK_DEFINE(Job_, Index_, Home_, Number_)
};

/// "job/index/home/number"; the form used on the workers' interface.
std::string toString(const AttemptId &Id);
/// Inverse of toString(). Returns an id with an empty job on malformed input.
AttemptId parseAttemptId(const std::string &Text);

} // namespace pollenvale
