/// \file
/// Handlers of the HTTP interface for callers and operators, independent of the
/// HTTP server.
#pragma once

#include "node/detail/state.hpp"

namespace pollenvale::node {

/// Handles one request. The answer may follow in a later event.
void onCallerRequest(Node &Node, TimePoint Now, const CallerRequest &R,
                     peering::Outbox &Out);
/// State of a job as recorded in the log, the same at every entry.
nlohmann::json jobStatus(const Node &Node, const JobId &Id);
/// Answers the callers that wait for the job's acceptance or end.
void answerJobChange(Node &Node, const jobs::Change &C, peering::Outbox &Out);
/// Answers the operator who published the change \p Id.
void answerVerdict(Node &Node, const std::string &Id,
                   const config::Verdict &Verdict, peering::Outbox &Out);
/// Answers deferred calls whose job is known now or certainly does not exist.
void resumeDeferred(Node &Node, TimePoint Now, peering::Outbox &Out);
/// Answers callers whose wait for an event has timed out.
void expireCallers(Node &Node, TimePoint Now, peering::Outbox &Out);
/// Answers the query of another entry with the job's status and tasks.
void onJobQuery(Node &Node, const NodeId &From, const peering::JobQuery &Q,
                peering::Outbox &Out);
/// Forwards the answer to the caller that asked.
void onJobAnswer(Node &Node, const peering::JobAnswer &A, peering::Outbox &Out);

} // namespace pollenvale::node
