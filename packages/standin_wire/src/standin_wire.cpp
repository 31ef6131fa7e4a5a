#include "standin_wire/standin_wire.hpp"

namespace pollenvale::standin_wire {

using nlohmann::json;
using peering::WorkerOp;

json toJson(const workers::TaskSpec &T) {
  json Out = {{"kind", toString(JobKind(T.Kind_))},
              {"name", T.Name_},
              {"team", T.Team_},
              {"size", toJson(T.Size_)},
              {"run_ms", T.RunMs_},
              {"slots", T.Slots_},
              {"urgent", T.Urgent_}};
  if (T.Borrowed_)
    Out["borrowed"] = true;
  return Out;
}

workers::TaskSpec parseTask(const json &Doc) {
  workers::TaskSpec T;
  for (JobKind K : {JobKind::Service, JobKind::Batch, JobKind::Gang})
    if (Doc.at("kind") == toString(K))
      T.Kind_ = std::uint8_t(K);
  T.Name_ = Doc.at("name");
  T.Team_ = Doc.at("team");
  T.Size_ = valueOrThrow(parseResources(Doc.at("size"), "size"));
  T.RunMs_ = Doc.at("run_ms");
  T.Slots_ = Doc.at("slots");
  T.Urgent_ = Doc.at("urgent");
  T.Borrowed_ = Doc.value("borrowed", false);
  return T;
}

std::string pathOf(WorkerOp Op) {
  switch (Op) {
  case WorkerOp::Acquire:
    return "/acquire";
  case WorkerOp::Renew:
    return "/renew";
  case WorkerOp::Release:
    return "/release";
  case WorkerOp::Start:
    return "/start";
  case WorkerOp::Stop:
    return "/stop";
  case WorkerOp::Checkpoint:
    return "/checkpoint";
  case WorkerOp::Throttle:
    return "/throttle";
  }
  return "";
}

json toJson(const peering::WorkerCall &Call) {
  json Out = {{"holder", Call.Holder_},
              {"token", Call.Token_},
              {"ttl_ms", Call.Ttl_.count()}};
  if (Call.Op_ == WorkerOp::Renew)
    Out["since"] = Call.Since_;
  if (!Call.Attempt_.Job_.empty())
    Out["attempt"] = toString(Call.Attempt_);
  if (Call.Op_ == WorkerOp::Start)
    Out["task"] = toJson(Call.Task_);
  if (Call.Op_ == WorkerOp::Throttle)
    Out["cpu_limit"] = Call.CpuLimit_;
  for (const AttemptId &Id : Call.Forget_)
    Out["forget"].push_back(toString(Id));
  return Out;
}

workers::AttemptState parseAttemptState(const std::string &Text) {
  using workers::AttemptState;
  for (AttemptState S : {AttemptState::Running, AttemptState::Finished,
                         AttemptState::Failed, AttemptState::Stopped})
    if (Text == workers::toString(S))
      return S;
  throw std::invalid_argument("unknown task state " + Text);
}

namespace {

peering::WorkerTask parseWorkerTask(const json &Doc) {
  peering::WorkerTask T;
  T.Attempt_ = parseAttemptId(Doc.at("attempt"));
  T.Task_ = parseTask(Doc.at("task"));
  T.State_ = parseAttemptState(Doc.at("state"));
  T.Reason_ = Doc.value("reason", "");
  T.Address_ = Doc.value("address", "");
  if (Doc.contains("usage"))
    T.Usage_ = valueOrThrow(parseResources(Doc.at("usage"), "usage"));
  return T;
}

/// Sets the fields of \p Out that the body contains. Throws std::exception on
/// malformed fields.
void parseReplyBody(peering::WorkerReply &Out, const json &Doc) {
  Out.Token_ = Doc.value("token", Token(0));
  Out.Address_ = Doc.value("address", "");
  Out.Reason_ = Doc.value("reason", "");
  Out.Revision_ = Doc.value("revision", std::uint64_t(0));
  if (Doc.contains("capacity"))
    Out.Capacity_ = valueOrThrow(parseResources(Doc["capacity"], "capacity"));
  for (const json &T : Doc.value("tasks", json::array()))
    Out.Tasks_.push_back(parseWorkerTask(T));
}

} // namespace

peering::WorkerReply parseWorkerReply(const peering::WorkerCall &Call, int Code,
                                      const std::string &Body) {
  peering::WorkerReply Out;
  Out.Call_ = Call.Call_;
  Out.Worker_ = Call.Worker_;
  try {
    parseReplyBody(Out, json::parse(Body));
    Out.Status_ = Code == 200                  ? peering::CallStatus::Ok
                  : Code == 409 || Code == 412 ? peering::CallStatus::Refused
                                               : peering::CallStatus::Lost;
  } catch (const std::exception &) {
    Out.Status_ = peering::CallStatus::Lost;
    Out.Tasks_.clear();
  }
  return Out;
}

json toJson(const std::vector<eventlog::Record> &Records) {
  json Out = {{"records", json::array()}};
  for (const eventlog::Record &R : Records)
    Out["records"].push_back(eventlog::toJson(R));
  return Out;
}

Result<eventlog::ReadReply> parseReadReply(const std::string &Body) {
  try {
    json Doc = json::parse(Body);
    eventlog::ReadReply Out;
    Out.Ok_ = true;
    Out.Earliest_ = Doc.at("earliest");
    Out.Next_ = Doc.at("next");
    Out.End_ = Doc.at("end");
    for (const json &Entry : Doc.at("records")) {
      auto R = eventlog::parseRecord(Entry.at("record"));
      if (R)
        Out.Records_.push_back({Entry.at("offset"), std::move(R.value())});
    }
    return Out;
  } catch (const std::exception &E) {
    return makeError(ErrorKind::BadJson, std::string("log read: ") + E.what());
  }
}

Result<membership::VmList> parseVmList(const std::string &Body) {
  try {
    membership::VmList Out;
    json List = json::parse(Body);
    Out.Version_ = List.at("version");
    for (const json &Doc : List.at("vms")) {
      membership::Vm V;
      V.Name_ = Doc.at("name");
      V.Address_ = Doc.at("address");
      V.Rack_ = Doc.value("rack", "");
      V.Dc_ = Doc.value("dc", "");
      V.Labels_ = Doc.value("labels", Labels());
      V.Capacity_ = valueOrThrow(
          parseResources(Doc.value("capacity", json::object()), "capacity"));
      V.Leaving_ = Doc.value("leaving", false);
      V.Entry_ = Doc.value("role", "worker") == "entry";
      Out.Vms_.push_back(std::move(V));
    }
    return Out;
  } catch (const std::exception &E) {
    return makeError(ErrorKind::BadJson, std::string("VM list: ") + E.what());
  }
}

} // namespace pollenvale::standin_wire
