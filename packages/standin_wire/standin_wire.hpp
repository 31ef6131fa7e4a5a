/// \file
/// JSON forms of the stand-ins' interfaces: log service, VM list, workers and
/// instances. docs/PLATFORM.md describes them. The users' platform
/// itself is spoken to by the folder platform/.
#pragma once

#include "membership/membership.hpp"
#include "peering/peering.hpp"

#include <nlohmann/json.hpp>

namespace pollenvale::standin_wire {

nlohmann::json toJson(const peering::WorkerCall &Call);
/// Path below the worker's address, such as "/renew".
std::string pathOf(peering::WorkerOp Op);
nlohmann::json toJson(const workers::TaskSpec &T);
workers::TaskSpec parseTask(const nlohmann::json &Doc);
/// Answer of a worker to \p Call. Status 409 and 412 are refusals; a body that
/// can't be read counts as lost.
peering::WorkerReply parseWorkerReply(const peering::WorkerCall &Call, int Code,
                                      const std::string &Body);
workers::AttemptState parseAttemptState(const std::string &Text);

nlohmann::json toJson(const std::vector<eventlog::Record> &Records);
/// Errors: BadJson. Records of unknown types are left out.
Result<eventlog::ReadReply> parseReadReply(const std::string &Body);
/// Errors: BadJson.
Result<membership::VmList> parseVmList(const std::string &Body);

} // namespace pollenvale::standin_wire
