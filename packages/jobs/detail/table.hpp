/// \file
/// Job table replayed from the log. Equal on every node that has applied the
/// same prefix.
#pragma once

#include "eventlog/eventlog.hpp"

#include <deque>
#include <map>
#include <set>

namespace pollenvale::jobs {

/// Closed jobs that stay in the table; the oldest is dropped above it.
inline constexpr std::size_t MaxClosedJobs = 20'000;
/// Newest attached jobs that a job remembers; they are repeated with it in the
/// log.
inline constexpr std::size_t MaxAttachedJobs = 1'000;

/// A job as the log records it.
struct Job {
  JobId Id_;
  JobSpec Spec_;
  NodeId Home_;
  bool Cancelled_ = false;
  bool Closed_ = false;
  std::string State_ = "open"; ///< open, done, failed, cancelled, attached.
  std::string Reason_;
  JobId AttachedTo_; ///< The first open job with the same key; may be empty.
  std::vector<JobId> Attached_; ///< Jobs attached to this one, oldest first.
  Offset AcceptedAt_ = 0;       ///< Offset of its first accept record.
};

/// All known jobs, and indexes of the open ones.
struct Table {
  std::map<JobId, Job> Jobs_;
  /// Open jobs by key; those without a key are not in it.
  std::map<std::string, JobId> OpenByKey_;
  std::map<NodeId, NodeId> Takeovers_; ///< Former home to its successor.
  /// Workers on which a home may have started tasks.
  std::map<NodeId, std::set<WorkerId>> Uses_;
  std::map<NodeId, std::set<JobId>> OpenByHome_;
  std::deque<JobId> ClosedOrder_; ///< Closed jobs, oldest first.
};

/// Effect of one record on the table.
struct Change {
  enum class Kind {
    Accepted,
    Repeated,  ///< The record repeats a known job.
    Attached,  ///< Accepted with the key of an open job.
    Cancelled, ///< Cancellation is requested; the job is still open.
    Closed,
    Moved, ///< A take-over changed the home of the jobs.
    None
  };
  Kind Kind_ = Kind::None;
  std::vector<JobId> Jobs_; ///< Moved: any number; None: empty; otherwise one.
  NodeId Dead_;             ///< Moved: the former home.
  NodeId Home_;             ///< Home after the change; empty when closed.
};

/// Applies one record at its offset. O(log n); a take-over O(jobs moved).
Change apply(Table &Table, Offset RecordOffset, const eventlog::Record &Record);
/// The node that took over \p Home, directly or through later take-overs;
/// \p Home itself if there was none.
NodeId currentHome(const Table &Table, NodeId Home);
/// Null when the job is not in the table.
const Job *findJob(const Table &Table, const JobId &Id);
/// The job whose result counts for \p Id: itself, or the one it is attached to.
/// Null when \p Id is not in the table.
const Job *findResultJob(const Table &Table, const JobId &Id);

} // namespace pollenvale::jobs
