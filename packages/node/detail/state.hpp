/// \file
/// State of an entry.
#pragma once

#include "config/config.hpp"
#include "jobs/jobs.hpp"
#include "membership/membership.hpp"
#include "peering/peering.hpp"
#include "requests/requests.hpp"
#include "workers/workers.hpp"

namespace pollenvale::node {

/// Timeouts of callers that wait for a job to be accepted, a cancellation to be
/// confirmed, a change to be decided, and a job's home to answer.
inline constexpr Milliseconds AcceptTimeout{10'000};
inline constexpr Milliseconds CancelTimeout{20'000};
inline constexpr Milliseconds PublishTimeout{10'000};
inline constexpr Milliseconds QueryTimeout{2'000};
/// Timeout of a call about an unknown job that waits for a read of the log.
inline constexpr Milliseconds UnknownJobTimeout{3'000};
/// Delay between two appends of the same take-over or service record.
inline constexpr Milliseconds RecordRetry{3'000};
/// Time limit of a graceful shutdown; pending requests are finished even after
/// it.
inline constexpr Milliseconds StopTimeout{25'000};

/// Settings of an entry.
struct Options {
  NodeId Self_; ///< Name and first incarnation.
  std::string Address_;
  std::string Dc_;
  std::set<std::string> Seeds_;       ///< Addresses of peers known at start.
  Milliseconds Retention_{3'600'000}; ///< Of the log service.
  std::uint64_t Seed_ = 1;            ///< Of the random generators.
};

/// A caller's connection that waits for an event.
struct PendingCaller {
  std::uint64_t Connection_ = 0;
  TimePoint ExpiresAt_{};
};

/// An HTTP request of a caller or operator.
struct CallerRequest {
  std::uint64_t Connection_ = 0;
  std::string Method_;
  std::string Path_;
  std::string Body_;
  std::string Mode_;       ///< X-Pollenvale-Mode: repeatable, single or once.
  std::string Class_;      ///< X-Pollenvale-Class.
  std::string DeadlineMs_; ///< X-Pollenvale-Deadline-Ms.
};

/// A call about a job that is not in the log as far as this node has read it.
/// Another entry may just have accepted the job, so the call waits until a read
/// sent after its arrival has reached the end of the log.
struct DeferredCall {
  CallerRequest Request_;
  JobId Job_;
  TimePoint ArrivedAt_{};
};

/// Minimum time between two room notices.
inline constexpr Milliseconds RoomNoticeInterval{250};

/// Time between two full heartbeats, which list the capacity of each rack.
inline constexpr Milliseconds FullHeartbeatInterval{4'000};

/// State of an entry, by package, and its pending callers.
struct Node {
  Options Options_;
  NodeId Self_; ///< Changes after another node took over this node's jobs.
  std::uint32_t Incarnations_ = 0; ///< Take-overs of this node's jobs so far.
  std::vector<membership::RackSummary> ReportedRacks_; ///< To peers.
  TimePoint NextRoomNotice_{};
  TimePoint NextFullHeartbeat_{};
  eventlog::State Log_;
  config::State Config_;
  membership::State Members_;
  workers::State Workers_;
  jobs::Table Table_;
  jobs::State Jobs_;
  requests::SlotState Slots_;
  requests::State Requests_;
  placement::Index Fleet_;            ///< Usable VMs at full capacity.
  std::uint64_t FleetVmsVersion_ = 0; ///< VMs from which Fleet_ was built.
  Offset FleetConfigVersion_ = 0;     ///< Configuration likewise.
  std::map<JobId, PendingCaller> PendingAccepts_;
  std::multimap<JobId, PendingCaller> PendingCancels_;
  std::map<std::string, PendingCaller> PendingPublishes_; ///< By change id.
  std::map<std::uint64_t, PendingCaller> PendingQueries_; ///< By connection.
  std::vector<DeferredCall> DeferredCalls_;
  /// Earliest time to append a take-over or service record again, by its key.
  std::map<std::string, TimePoint> NextRecord_;
  /// When this node last read or appended a record of the configuration in
  /// force.
  TimePoint ConfigSeenAt_{};
  TimePoint NextConfigPull_{};
  std::uint64_t LastId_ = 0; ///< Counter of job and change ids.
  bool Stopping_ = false;
  TimePoint StopStartedAt_{};
  Counters Counters_;
};

Node makeNode(Options Options, TimePoint Now);

} // namespace pollenvale::node
