/// \file
/// Calls that the scheduler wants made, and their answers.
#pragma once

#include "ledger/ledger.hpp"
#include "workflow/workflow.hpp"

#include <set>

namespace pollenvale::scheduler {

using workflow::StepId;
using workflow::TaskId;

/// A worker as it describes itself.
struct WorkerInfo {
  WorkerId Id_;
  std::string Address_;
  ServiceName Service_;
  std::string Dc_;
  Resources Capacity_;
  std::set<std::string> Labels_;
  std::string Rack_;
  bool Draining_ = false;
  std::int64_t StartedUnixMs_ = 0; ///< Start of its present incarnation.
};

/// Where a call goes and under which right.
struct Target {
  WorkerId Worker_;
  std::string Address_;
  Token Token_ = 0;
  Milliseconds Timeout_{350}; ///< How long to wait for the answer.
};

/// Extends the leases of everything that runs on a worker, forgets ends up to
/// AckedEnd_ and asks what runs.
struct RenewCall {
  Target To_;
  std::uint64_t AckedEnd_ = 0;
  std::optional<Milliseconds> LeaseUntil_; ///< On the worker's clock.
  Milliseconds Wait_{0}; ///< How long the worker waits for an end.
};

struct StartCall {
  Target To_;
  TaskId Task_;
  std::uint32_t Run_ = 0;
  std::string Payload_;
  std::string Checkpoint_;
  std::string Permit_;
  Milliseconds Deadline_{0}; ///< On the worker's clock.
};

struct StopCall {
  Target To_;
  TaskId Task_;
  std::uint32_t Run_ = 0;
};

/// Limits how much of its processors a best-effort task uses.
struct ThrottleCall {
  Target To_;
  TaskId Task_;
  std::uint32_t Run_ = 0;
  unsigned Percent_ = 100;
};

/// How a step that waits stands to its objective; the first goes first.
enum class Standing {
  ServiceDown, ///< Tasks of a service are down for longer than its objective.
  InTime,
  Late,
  Worthless,
};

Standing standing(bool LongRunning, TimePoint DueAt, TimePoint WorthlessAt,
                  TimePoint Now);

/// Asks the placement policy which of the workers may run a step.
struct AdviceCall {
  StepId Step_;
  std::vector<WorkerId> Workers_;
  int Priority_ = 0;
  TimePoint DueAt_{};        ///< End of the objective.
  TimePoint WorthlessAt_{};  ///< The job is worth nothing after this time.
  bool LongRunning_ = false; ///< A service: it is worth something at any time.
  Milliseconds Expected_{0}; ///< How long the policy takes.
};

struct WriteCall {
  std::uint64_t Id_ = 0;
  std::vector<ledger::KeyedRecord> Records_;
};

/// A decision worth a log line.
struct Note {
  std::string Event_;
  nlohmann::json Fields_;
  bool Limited_ = false; ///< At most so many lines of its event a second.
};

struct Outbox {
  std::vector<RenewCall> Renewals_;
  std::vector<StartCall> Starts_;
  std::vector<StopCall> Stops_;
  std::vector<ThrottleCall> Throttles_;
  std::vector<AdviceCall> Advice_;
  std::vector<WriteCall> Writes_;
  std::vector<Note> Notes_;
};

enum class CallStatus {
  Done,
  Fenced,     ///< The worker has seen a higher token.
  Superseded, ///< That run was stopped or has ended there.
  Late,       ///< The deadline of the start had passed.
  NoRoom,     ///< The worker's capacity is in use.
  NoPermit,   ///< The permit is unknown or has lapsed.
  Elsewhere,  ///< Another worker lives at the address.
  Unhealthy,  ///< The worker refused and has done nothing.
  Malformed,  ///< The worker could not read the call.
  NoAnswer,   ///< It may have been carried out or may be yet.
};
std::string_view toString(CallStatus Status);

/// A task that a worker reports as running.
struct RunningTask {
  TaskId Task_;
  std::uint32_t Run_ = 0;
  std::string Checkpoint_;
  unsigned Percent_ = 0;
  /// Tail latency in ms of a service task, processors in use of any other.
  double Gauge_ = 0;
};

enum class EndKind {
  Done,
  Failed,
  Stopped,
  Lapsed,
  GangBroken,
  GangIncomplete
};
std::string_view toString(EndKind Kind);

struct EndedTask {
  std::uint64_t Number_ =
      0; ///< Counts the ends of this incarnation of the worker.
  TaskId Task_;
  std::uint32_t Run_ = 0;
  EndKind Kind_ = EndKind::Failed;
  std::string Checkpoint_;
};

struct RenewReply {
  CallStatus Status_ = CallStatus::NoAnswer;
  Milliseconds Clock_{0}; ///< The worker's clock.
  std::int64_t StartedUnixMs_ = 0;
  std::vector<RunningTask> Running_;
  std::vector<EndedTask> Ended_;
  std::size_t UnreadableRuns_ = 0; ///< Rows left out of Running_.
  std::size_t UnreadableEnds_ = 0; ///< Rows left out of Ended_.
};

struct OrderReply {
  CallStatus Status_ = CallStatus::NoAnswer;
  Milliseconds Clock_{0};
};

/// A worker that may run the step, and the permit that its start carries.
struct PermitRow {
  WorkerId Worker_;
  std::string Permit_;
};

struct AdviceReply {
  bool Answered_ = false;
  std::vector<PermitRow> Rows_;
  Milliseconds Validity_{0}; ///< 0 when the policy did not say.
};

} // namespace pollenvale::scheduler
