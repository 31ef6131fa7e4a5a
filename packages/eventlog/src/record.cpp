#include "eventlog/eventlog.hpp"

namespace pollenvale::eventlog {

using nlohmann::json;

namespace {

/// Serialises each type of record.
struct ToJson {
  json operator()(const ConfigRecord &R) const {
    return {{"type", "config"},
            {"id", R.Id_},
            {"base", R.Base_},
            {"doc", R.Doc_},
            {"home", R.Home_}};
  }
  json operator()(const ConfigSnapshot &R) const {
    return {
        {"type", "config-snapshot"}, {"version", R.Version_}, {"doc", R.Doc_}};
  }
  json operator()(const AcceptRecord &R) const {
    json Out = {{"type", "accept"},
                {"job", R.Job_},
                {"spec", toJson(R.Spec_)},
                {"home", R.Home_},
                {"cancelled", R.Cancelled_}};
    if (!R.Attached_.empty())
      Out["attached"] = R.Attached_;
    return Out;
  }
  json operator()(const CancelRecord &R) const {
    return {{"type", "cancel"}, {"job", R.Job_}};
  }
  json operator()(const OutcomeRecord &R) const {
    return {{"type", "outcome"},
            {"job", R.Job_},
            {"state", R.State_},
            {"reason", R.Reason_}};
  }
  json operator()(const TakeoverRecord &R) const {
    return {{"type", "takeover"}, {"dead", R.Dead_}, {"by", R.NewHome_}};
  }
  json operator()(const UsesRecord &R) const {
    return {{"type", "uses"}, {"node", R.Node_}, {"workers", R.Workers_}};
  }
};

/// Throws if the type is unknown or a field is missing or invalid.
Record parseFields(const std::string &Type, const json &Doc) {
  if (Type == "config")
    return ConfigRecord{Doc.at("id"), Doc.at("base"), Doc.at("doc"),
                        Doc.value("home", "")};
  if (Type == "config-snapshot")
    return ConfigSnapshot{Doc.at("version"), Doc.at("doc")};
  if (Type == "accept")
    return AcceptRecord{Doc.at("job"),
                        valueOrThrow(parseJobSpec(Doc.at("spec"))),
                        Doc.at("home"), Doc.value("cancelled", false),
                        Doc.value("attached", std::vector<JobId>())};
  if (Type == "cancel")
    return CancelRecord{Doc.at("job")};
  if (Type == "outcome")
    return OutcomeRecord{Doc.at("job"), Doc.at("state"),
                         Doc.value("reason", "")};
  if (Type == "takeover")
    return TakeoverRecord{Doc.at("dead"), Doc.at("by")};
  if (Type == "uses")
    return UsesRecord{Doc.at("node"),
                      Doc.at("workers").get<std::vector<WorkerId>>()};
  throw std::invalid_argument("unknown record type " + Type);
}

} // namespace

json toJson(const Record &R) { return std::visit(ToJson{}, R); }

Result<Record> parseRecord(const json &Doc) {
  try {
    return parseFields(Doc.at("type").get<std::string>(), Doc);
  } catch (const std::exception &E) {
    return makeError(ErrorKind::BadJson,
                     std::string("unreadable log record: ") + E.what());
  }
}

std::string recordKey(const Record &R) { return toJson(R).dump(); }

} // namespace pollenvale::eventlog
