/// \file
/// JSON encoding of the stand-ins' interfaces: log service, VM list, workers
/// and instances. docs/PLATFORM.md describes them. The interfaces of the users'
/// platform are implemented in the folder platform/.
#pragma once

#include "membership/membership.hpp"
#include "peering/peering.hpp"

#include <nlohmann/json.hpp>

namespace pollenvale::standin_wire {

nlohmann::json toJson(const peering::WorkerCall &Call);
/// URL path of an operation at a worker, such as "/renew".
std::string pathOf(peering::WorkerOp Op);
nlohmann::json toJson(const workers::TaskSpec &T);
/// Throws std::exception on missing or malformed fields.
workers::TaskSpec parseTask(const nlohmann::json &Doc);
/// Parses a worker's answer to \p Call. Code 200 means Ok, 409 and 412 mean
/// Refused; any other code and a malformed body mean Lost.
peering::WorkerReply parseWorkerReply(const peering::WorkerCall &Call, int Code,
                                      const std::string &Body);
/// Throws std::invalid_argument on unknown text.
workers::AttemptState parseAttemptState(const std::string &Text);

nlohmann::json toJson(const std::vector<eventlog::Record> &Records);
/// Parses an answer to a read of the log. Errors: BadJson. Records that can't
/// be parsed, such as those of unknown types, are skipped.
Result<eventlog::ReadReply> parseReadReply(const std::string &Body);
/// Parses the list of VMs. Errors: BadJson.
Result<membership::VmList> parseVmList(const std::string &Body);

} // namespace pollenvale::standin_wire
