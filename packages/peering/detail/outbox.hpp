/// \file
/// What one step of the control state wants from the outside.
#pragma once

#include "eventlog/eventlog.hpp"
#include "peering/detail/peer_message.hpp"

#include <optional>
#include <vector>

namespace pollenvale::peering {

enum class WorkerOp {
  Acquire,
  Renew,
  Release,
  Start,
  Stop,
  Checkpoint,
  Throttle
};

/// One call to a worker's interface.
struct WorkerCall {
  CallId Call_ = 0;
  WorkerId Worker_;
  std::string Address_;
  WorkerOp Op_ = WorkerOp::Renew;
  NodeId Holder_;
  Token Token_ = 0;
  Milliseconds Ttl_{0};
  AttemptId Attempt_;             ///< Start, Stop, Checkpoint, Throttle.
  workers::TaskSpec Task_;        ///< Start.
  std::int64_t CpuLimit_ = 0;     ///< Throttle, in thousandths of a core.
  std::uint64_t Since_ = 0;       ///< Renew: revision known already.
  std::vector<AttemptId> Forget_; ///< Renew: outcomes that reached home.
};

enum class CallStatus {
  Ok,
  Refused,     ///< The worker answered no; Reason_ says why.
  Unreachable, ///< No byte of the call left.
  Lost         ///< No answer: the call may have taken effect.
};

/// One task in a worker's inventory.
struct WorkerTask {
  AttemptId Attempt_;
  workers::TaskSpec Task_;
  workers::AttemptState State_ = workers::AttemptState::Running;
  std::string Reason_;
  std::string Address_; ///< Of a service task's instance.
  /// What the task was last seen to use; nothing while that is its size.
  std::optional<Resources> Usage_ = std::nullopt;
};

struct WorkerReply {
  CallId Call_ = 0;
  WorkerId Worker_;
  CallStatus Status_ = CallStatus::Lost;
  std::string Reason_;
  Token Token_ = 0;
  Resources Capacity_;
  std::uint64_t Revision_ = 0; ///< Of the worker's inventory.
  /// Acquire: the whole inventory. Renew: what changed since the revision that
  /// the call named.
  std::vector<WorkerTask> Tasks_;
  std::string Address_; ///< Start of a service task.
};

/// One dispatch of a request to an instance.
struct InstanceCall {
  CallId Call_ = 0;
  std::string Address_;
  std::string Echo_; ///< "entry/request/attempt"; comes back in the answer.
  std::string Body_;
  Milliseconds Timeout_{0};
};

enum class AnswerStatus {
  Whole,
  NotSent,   ///< No byte of the request left.
  Leaving,   ///< The instance refused: it is leaving. Not run.
  Busy,      ///< The instance refused: no free slot. Not run.
  Truncated, ///< The answer broke off.
  Lost,      ///< The connection broke before an answer.
  Timeout
};

struct InstanceReply {
  CallId Call_ = 0;
  AnswerStatus Status_ = AnswerStatus::Lost;
  std::string Echo_;
  int Code_ = 200;
  std::string Body_;
};

/// Answer to a caller's or operator's connection.
struct CallerReply {
  std::uint64_t Connection_ = 0;
  int Code_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  std::string RequestId_ = {}; ///< Of a request to a service.
};

/// A line of the log that tells of one request or job. Every entry that has a
/// part in it uses the same id.
struct Note {
  const char *Event_;
  const char *Subject_; ///< "job" or "request".
  std::string Id_;
  std::vector<std::pair<const char *, std::string>> Fields_;
  bool Detail_ = false; ///< For the level debug.
};

/// Effects of one step, in order.
struct Outbox {
  std::vector<Addressed> Peers_;
  std::vector<WorkerCall> Workers_;
  std::vector<InstanceCall> Instances_;
  std::vector<CallerReply> Callers_;
  std::vector<eventlog::AppendCall> Appends_;
  std::vector<eventlog::ReadCall> Reads_;
  bool ListVms_ = false;
  std::vector<Note> Notes_;
};

template <class M> void send(Outbox &Out, const NodeId &To, M Message) {
  Out.Peers_.push_back({To, PeerMessage(std::move(Message))});
}

/// What happened to a job as a whole.
inline void noteJob(Outbox &Out, const char *Event, const JobId &Job,
                    std::vector<std::pair<const char *, std::string>> Fields) {
  Out.Notes_.push_back({Event, "job", Job, std::move(Fields), false});
}

/// What happened to one attempt of a job's tasks.
inline void
noteAttempt(Outbox &Out, const char *Event, const AttemptId &Attempt,
            std::vector<std::pair<const char *, std::string>> Fields) {
  Fields.emplace_back("attempt", toString(Attempt));
  Out.Notes_.push_back({Event, "job", Attempt.Job_, std::move(Fields), true});
}

/// What happened to a request; the id is "entry/sequence".
inline void
noteRequest(Outbox &Out, const char *Event, const std::string &Id,
            std::vector<std::pair<const char *, std::string>> Fields) {
  Out.Notes_.push_back({Event, "request", Id, std::move(Fields), true});
}

} // namespace pollenvale::peering
