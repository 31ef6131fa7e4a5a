/// \file
/// Records that the system keeps on the log. Applying one twice has the effect
/// of applying it once, since an append whose answer was lost is repeated.
#pragma once

#include "base/base.hpp"

#include <variant>
#include <vector>

namespace pollenvale::eventlog {

/// An operator's change. It is accepted only if Base_ is the version in force
/// at its place in the log; its own offset is then the new version.
struct ConfigRecord {
  std::string Id_;
  Offset Base_ = 0;
  nlohmann::json Doc_;
  NodeId Home_; ///< First home of the services that the change adds.
};

/// The configuration in force, repeated before retention removes it.
struct ConfigSnapshot {
  Offset Version_ = 0;
  nlohmann::json Doc_;
};

/// An accepted job. The home repeats it before retention removes it.
struct AcceptRecord {
  JobId Job_;
  JobSpec Spec_;
  NodeId Home_;
  bool Cancelled_ = false;
  /// Repeated: jobs with the same key that this one's work answers for.
  std::vector<JobId> Attached_ = {};
};

struct CancelRecord {
  JobId Job_;
};

struct OutcomeRecord {
  JobId Job_;
  std::string State_;
  std::string Reason_;
};

/// Moves every job of a node to another. The first one for a node is valid.
struct TakeoverRecord {
  NodeId Dead_;
  NodeId NewHome_;
};

/// Workers on which a node may place tasks of its jobs; always appended before
/// the first start there.
struct UsesRecord {
  NodeId Node_;
  std::vector<WorkerId> Workers_;
};

using Record =
    std::variant<ConfigRecord, ConfigSnapshot, AcceptRecord, CancelRecord,
                 OutcomeRecord, TakeoverRecord, UsesRecord>;

/// A record at its place in the log.
struct StoredRecord {
  Offset Offset_ = 0;
  Record Record_;
};

nlohmann::json toJson(const Record &R);
/// Errors: BadJson for a record that no node of this version can read.
Result<Record> parseRecord(const nlohmann::json &Doc);
/// Equal for two appends of the same fact.
std::string recordKey(const Record &R);

} // namespace pollenvale::eventlog
