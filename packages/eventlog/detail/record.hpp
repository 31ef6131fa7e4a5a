/// \file
/// Records stored on the log. Applying a record is idempotent, because an
/// append whose answer was lost is repeated.
#pragma once

#include "base/base.hpp"

#include <variant>
#include <vector>

namespace pollenvale::eventlog {

/// An operator's change of the configuration. It is accepted only if Base_ is
/// the version in force at the record's offset, which then is the new version.
struct ConfigRecord {
  std::string Id_;
  Offset Base_ = 0; ///< Version that the change is based on; 0 for none.
  nlohmann::json Doc_;
  NodeId Home_; ///< First home of the services that the change adds.
};

/// The configuration in force, appended again before retention removes it.
struct ConfigSnapshot {
  Offset Version_ = 0;
  nlohmann::json Doc_;
};

/// An accepted job. Its home appends it again before retention removes it.
struct AcceptRecord {
  JobId Job_;
  JobSpec Spec_;
  NodeId Home_;
  bool Cancelled_ = false;
  /// In a repeated record: jobs with the same key that were attached to this
  /// one.
  std::vector<JobId> Attached_ = {};
};

/// Requests the cancellation of a job.
struct CancelRecord {
  JobId Job_;
};

/// Closes a job.
struct OutcomeRecord {
  JobId Job_;
  std::string State_;  ///< Final state.
  std::string Reason_; ///< May be empty.
};

/// Makes NewHome_ the home of every job of Dead_. Only the first record for a
/// node is valid.
struct TakeoverRecord {
  NodeId Dead_;
  NodeId NewHome_;
};

/// Workers on which a node may place tasks of its jobs. Appended before the
/// first start there, so that a new home knows which workers to ask.
struct UsesRecord {
  NodeId Node_;
  std::vector<WorkerId> Workers_;
};

using Record =
    std::variant<ConfigRecord, ConfigSnapshot, AcceptRecord, CancelRecord,
                 OutcomeRecord, TakeoverRecord, UsesRecord>;

/// A record and its offset in the log.
struct StoredRecord {
  Offset Offset_ = 0;
  Record Record_;
};

nlohmann::json toJson(const Record &R);
/// Errors: BadJson for a record of unknown type or with missing or invalid
/// fields.
Result<Record> parseRecord(const nlohmann::json &Doc);
/// Equal for two appends of the same record.
std::string recordKey(const Record &R);

} // namespace pollenvale::eventlog
