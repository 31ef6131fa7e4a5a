/// \file
/// Calls that the scheduler asks its caller to make, and the replies to them.
#pragma once

#include "ledger/ledger.hpp"
#include "workflow/workflow.hpp"

#include <set>

namespace pollenvale::scheduler {

using workflow::StepId;
using workflow::TaskId;

/// Properties that a worker announces.
struct WorkerInfo {
  WorkerId Id_;
  std::string Address_;
  ServiceName Service_;
  std::string Dc_;
  Resources Capacity_;
  std::set<std::string> Labels_;
  std::string Rack_;
  bool Draining_ = false;          ///< It must get no new tasks.
  std::int64_t StartedUnixMs_ = 0; ///< Start of its incarnation.
};

/// The worker that a call goes to, and the token that authorises the call.
struct Target {
  WorkerId Worker_;
  std::string Address_;
  Token Token_ = 0;
  Milliseconds Timeout_{350}; ///< For the answer to the call.
};

/// Extends the leases of all runs on a worker, acknowledges ends and requests
/// the list of runs and unacknowledged ends.
struct RenewCall {
  Target Target_;
  std::uint64_t AckedEnd_ = 0; ///< Ends up to this number may be forgotten.
  /// On the worker's clock; empty: no lease.
  std::optional<Milliseconds> LeaseUntil_;
  Milliseconds Wait_{0}; ///< How long the worker may wait for an end to report.
};

/// Starts a run of a task.
struct StartCall {
  Target Target_;
  TaskId Task_;
  std::uint32_t Run_ = 0;
  std::string Payload_;
  std::string Checkpoint_;   ///< To resume from; empty: from the beginning.
  std::string Permit_;       ///< Empty if the queue needs none.
  Milliseconds Deadline_{0}; ///< To begin, on the worker's clock.
};

/// Stops a run, and keeps it from starting later.
struct StopCall {
  Target Target_;
  TaskId Task_;
  std::uint32_t Run_ = 0;
};

/// Limits the CPU use of a best-effort task.
struct ThrottleCall {
  Target Target_;
  TaskId Task_;
  std::uint32_t Run_ = 0;
  unsigned Percent_ = 100; ///< Of the CPU of the task; 0 pauses it.
};

/// Urgency of a waiting step with regard to its objective, the most urgent
/// first.
enum class Urgency {
  ServiceDown, ///< Tasks of a service are down longer than its objective.
  InTime,
  Late,
  Worthless, ///< Too late for a result to have any value.
};

/// The times are the end of the objective and the time after which a result has
/// no value; the latter does not apply to services (\p LongRunning).
Urgency urgencyOf(bool LongRunning, TimePoint DueAt, TimePoint WorthlessAt,
                  TimePoint Now);

/// Asks the placement policy which of the workers may run a step.
struct AdviceCall {
  StepId Step_;
  std::vector<WorkerId> Workers_;
  int Priority_ = 0;         ///< Of the queue; lower values go first.
  TimePoint DueAt_{};        ///< End of the objective.
  TimePoint WorthlessAt_{};  ///< A result has no value after this time.
  bool LongRunning_ = false; ///< A service, which never loses its value.
  Milliseconds Expected_{0}; ///< Expected duration of the call.
  bool Retried_ = false;     ///< The last call for the step got no answer.
};

/// Writes records to the store; answered by onWriteReply() with its id.
struct WriteCall {
  std::uint64_t Id_ = 0;
  std::vector<ledger::KeyedRecord> Records_;
};

/// An event to log.
struct Note {
  std::string Event_;
  nlohmann::json Fields_;
  bool RateLimited_ = false; ///< Subject to the rate limit of its event.
};

/// Calls and log events that the scheduler has produced.
struct Outbox {
  std::vector<RenewCall> Renewals_;
  std::vector<StartCall> Starts_;
  std::vector<StopCall> Stops_;
  std::vector<ThrottleCall> Throttles_;
  std::vector<AdviceCall> Advice_;
  std::vector<WriteCall> Writes_;
  std::vector<Note> Notes_;
};

/// Outcome of a call to a worker.
enum class CallStatus {
  Done,
  Fenced,     ///< The worker has seen a higher token.
  Superseded, ///< The run was stopped or has ended there.
  Late,       ///< The deadline of the start had passed.
  NoRoom,     ///< The worker lacks free resources.
  NoPermit,   ///< The permit is unknown or has expired.
  Elsewhere,  ///< The address belongs to another worker.
  Unhealthy,  ///< The worker refused without any effect.
  Malformed,  ///< The worker could not parse the call.
  NoAnswer,   ///< The call may have taken effect or still may.
};
std::string_view toString(CallStatus Status);

/// A task that a worker reports as running.
struct RunningTask {
  TaskId Task_;
  std::uint32_t Run_ = 0;
  std::string Checkpoint_;
  unsigned Percent_ = 0; ///< Progress.
  /// Tail latency in ms for a service task, CPU use for any other.
  double Gauge_ = 0;
};

/// How a run ended.
enum class EndKind {
  Done,
  Failed,
  Stopped,
  Lapsed,        ///< Its lease expired.
  GangBroken,    ///< Another member of its gang ended.
  GangIncomplete ///< Not all members of its gang started.
};
std::string_view toString(EndKind Kind);

/// The end of a run, as its worker reports it until it is acknowledged.
struct EndedTask {
  /// Number of the end within the incarnation of the worker.
  std::uint64_t Number_ = 0;
  TaskId Task_;
  std::uint32_t Run_ = 0;
  EndKind Kind_ = EndKind::Failed;
  std::string Checkpoint_;
};

/// Reply to a RenewCall.
struct RenewReply {
  CallStatus Status_ = CallStatus::NoAnswer;
  Milliseconds Clock_{0};          ///< The worker's clock.
  std::int64_t StartedUnixMs_ = 0; ///< Start of the worker's incarnation.
  std::vector<RunningTask> Running_;
  std::vector<EndedTask> Ended_;
  std::size_t UnreadableRuns_ = 0; ///< Left out of Running_.
  std::size_t UnreadableEnds_ = 0; ///< Left out of Ended_.
};

/// Reply to a start, stop or throttle call.
struct OrderReply {
  CallStatus Status_ = CallStatus::NoAnswer;
  Milliseconds Clock_{0}; ///< The worker's clock.
};

/// A worker that may run the step, and the permit to send with its starts.
struct PermitRow {
  WorkerId Worker_;
  std::string Permit_;
};

/// Reply to an AdviceCall. Workers of the call without a permit are denied.
struct AdviceReply {
  bool Answered_ = false;
  std::vector<PermitRow> Rows_;
  Milliseconds Validity_{0}; ///< Of the permits; 0: the default of the queue.
};

} // namespace pollenvale::scheduler
