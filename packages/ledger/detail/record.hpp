/// \file
/// Records of the job topic and their keys.
#pragma once

#include "ledger/detail/store.hpp"
#include "workflow/workflow.hpp"

namespace pollenvale::ledger {

/// A job accepted from a caller. Only the first record of a job id is valid.
struct AcceptedJob {
  /// The queue as configured at acceptance. The job keeps it when the queue is
  /// changed or removed.
  workflow::Queue Queue_;
  std::int64_t AcceptedUnixMs_ = 0;
  workflow::WorkflowSpec Spec_;
  /// Version of the configuration by which Queue_ belongs to its service; 0 if
  /// unknown.
  std::uint64_t Version_ = 0;
  MSGPACK_DEFINE(Queue_, AcceptedUnixMs_, Spec_, Version_)
};

/// Workers that may hold leases of an owner of a slice.
struct Roster {
  std::vector<WorkerId> Workers_;
  std::uint64_t Claim_ = 0; ///< Claim number of the owner that wrote it.
  /// The writer knew on which worker every task of the earlier owners was.
  bool Settled_ = false;
  /// The incarnation of each of Workers_, as Unix time of its start in ms, by
  /// whose clock the leases are. Empty in records of an earlier build.
  std::vector<std::int64_t> Incarnations_;
  /// Workers that may hold a lease by the clock of a former incarnation, which
  /// lasts longer than those that an owner gives.
  std::vector<WorkerId> MisreadLeases_;
  /// For each of MisreadLeases_ how long such a lease lasts at most, in ms from
  /// when the record was made. Empty in records of an earlier build.
  std::vector<std::int64_t> MisreadLeftMs_;
  MSGPACK_DEFINE(Workers_, Claim_, Settled_, Incarnations_, MisreadLeases_,
                 MisreadLeftMs_)
};

enum class RecordKind {
  Job,
  Cancel,
  Progress,
  Occurrence,
  Roster,
  Fence,
  ClosedQueue,
  Unknown
};

/// Kind of a record and what it is about, as told by its key.
struct RecordName {
  RecordKind Kind_ = RecordKind::Unknown;
  JobId Job_;                    ///< Empty for a Roster or Fence record.
  std::string Slice_;            ///< Of a Roster or Fence record; else empty.
  std::uint32_t Occurrence_ = 0; ///< Of an Occurrence record; else 0.
  std::string Queue_;            ///< Of a ClosedQueue record; else empty.
};
/// Kind Unknown if \p Key has no name or no known prefix.
RecordName nameOf(const std::string &Key);

KeyedRecord makeJob(const JobId &Job, const AcceptedJob &Record);
KeyedRecord makeCancel(const JobId &Job);
KeyedRecord makeProgress(const JobId &Job, const workflow::Progress &Record);
/// Progress of one occurrence of a repeated job.
KeyedRecord makeOccurrence(const JobId &Job,
                           const workflow::OccurrenceProgress &Record);
/// Record without a value, which removes the key of an occurrence.
KeyedRecord makeOccurrenceRemoval(const JobId &Job, std::uint32_t Occurrence);
KeyedRecord makeRoster(const std::string &Slice, const Roster &Record);
/// First record that a new owner of \p Slice writes. Records before it are from
/// earlier owners.
KeyedRecord makeFence(const std::string &Slice, std::uint64_t Claim);
/// Closes the queue in this partition, as it has moved to another service: jobs
/// that are stored after this record are void if they were accepted by a
/// configuration before \p Version.
KeyedRecord makeClosedQueue(const std::string &Queue, std::uint64_t Version);
/// Records without a value, which remove every key of \p Job but those of its
/// occurrences.
std::vector<KeyedRecord> makeRemoval(const JobId &Job);
/// Records without a value, which remove the roster and the fence of \p Slice.
std::vector<KeyedRecord> makeSliceRemoval(const std::string &Slice);

/// Empty if \p Value can't be decoded or its workflow is invalid.
std::optional<AcceptedJob> parseJob(const std::string &Value);
/// Empty if \p Value can't be decoded.
std::optional<workflow::Progress> parseProgress(const std::string &Value);
/// Empty if \p Value can't be decoded.
std::optional<workflow::OccurrenceProgress>
parseOccurrence(const std::string &Value);
/// Claim number of a fence; 0 if \p Value does not begin with a number.
std::uint64_t parseFence(const std::string &Value);
/// Version of a closed queue; 0 if \p Value does not begin with a number.
std::uint64_t parseClosedQueue(const std::string &Value);
/// Empty if \p Value can't be decoded.
std::optional<Roster> parseRoster(const std::string &Value);

} // namespace pollenvale::ledger
