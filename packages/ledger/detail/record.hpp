/// \file
/// Records of the job topic and their keys.
#pragma once

#include "ledger/detail/store.hpp"
#include "workflow/workflow.hpp"

namespace pollenvale::ledger {

/// A job accepted from a caller. The first one of an id is valid.
struct AcceptedJob {
  /// Terms of the queue at acceptance; they stay valid if the queue is removed.
  workflow::Queue Queue_;
  std::int64_t AcceptedUnixMs_ = 0;
  workflow::WorkflowSpec Spec_;
  MSGPACK_DEFINE(Queue_, AcceptedUnixMs_, Spec_)
};

/// Workers to which the owners of a slice may have given leases.
struct Roster {
  std::vector<WorkerId> Workers_;
  std::uint64_t Claim_ = 0; ///< Claim of the owner that wrote it.
  /// The writer knew where every task of the owners before it was.
  bool Settled_ = false;
  MSGPACK_DEFINE(Workers_, Claim_, Settled_)
};

enum class RecordKind { Job, Cancel, Progress, Roster, Fence, Unknown };

/// Kind of the record with \p Key and whose it is.
struct RecordName {
  RecordKind Kind_ = RecordKind::Unknown;
  JobId Job_;         ///< Of a job, a cancellation and a progress.
  std::string Slice_; ///< Of a roster and a fence.
};
RecordName nameOf(const std::string &Key);

KeyedRecord makeJob(const JobId &Job, const AcceptedJob &Record);
KeyedRecord makeCancel(const JobId &Job);
KeyedRecord makeProgress(const JobId &Job, const workflow::Progress &Record);
KeyedRecord makeRoster(const std::string &Slice, const Roster &Record);
/// First record of a new owner; all that comes before it is the past.
KeyedRecord makeFence(const std::string &Slice, std::uint64_t Claim);
/// Records that remove every key of \p Job.
std::vector<KeyedRecord> makeRemoval(const JobId &Job);

/// Empty when \p Value can't be read.
std::optional<AcceptedJob> parseJob(const std::string &Value);
std::optional<workflow::Progress> parseProgress(const std::string &Value);
/// Claim of a fence; 0 when it can't be read.
std::uint64_t parseFence(const std::string &Value);
std::optional<Roster> parseRoster(const std::string &Value);

} // namespace pollenvale::ledger
