/// \file
/// The HTTP interface for callers and operators, without the HTTP.
#pragma once

#include "node/detail/state.hpp"

namespace pollenvale::node {

/// Routes one call. The answer may come in a later step.
void onCallerRequest(Node &N, TimePoint Now, const CallerRequest &R,
                     peering::Outbox &Out);
/// State of a job as any entry can tell it.
nlohmann::json jobStatus(const Node &N, const JobId &Id);
/// Answers the callers that wait for a job's acceptance or end.
void answerJobChange(Node &N, const jobs::Change &C, peering::Outbox &Out);
void answerVerdict(Node &N, const std::string &Id, const config::Verdict &V,
                   peering::Outbox &Out);
/// Answers deferred calls whose job is known by now, or surely unknown.
void resumeDeferred(Node &N, TimePoint Now, peering::Outbox &Out);
/// Answers callers who waited too long for an event.
void expireCallers(Node &N, TimePoint Now, peering::Outbox &Out);
void onJobQuery(Node &N, const NodeId &From, const peering::JobQuery &Q,
                peering::Outbox &Out);
void onJobAnswer(Node &N, const peering::JobAnswer &A, peering::Outbox &Out);

} // namespace pollenvale::node
