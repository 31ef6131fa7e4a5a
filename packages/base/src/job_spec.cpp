#include "base/base.hpp"

namespace pollenvale {

using nlohmann::json;

namespace {

Error badSpec(const std::string &Place, const std::string &Expected) {
  return makeError(ErrorKind::BadSpec, Place + ": expected " + Expected);
}

/// Largest amount of one resource that a size may name.
constexpr std::int64_t MaxAmount = 1'000'000'000;

Result<std::int64_t> parseAmount(const json &Doc, const char *Key,
                                 std::int64_t Default,
                                 const std::string &Place) {
  auto It = Doc.find(Key);
  if (It == Doc.end())
    return Default;
  if (!It->is_number_integer() || It->get<std::int64_t>() < 0 ||
      It->get<std::int64_t>() > MaxAmount)
    return badSpec(Place + "." + Key, "a whole number from 0 to 1000000000, "
                                      "found " +
                                          It->dump());
  return It->get<std::int64_t>();
}

Result<std::string> parseText(const json &Doc, const char *Key) {
  auto It = Doc.find(Key);
  if (It == Doc.end())
    return std::string();
  if (!It->is_string() || It->get_ref<const std::string &>().size() > 200)
    return badSpec(Key, "a text of at most 200 bytes");
  return It->get<std::string>();
}

Result<JobKind> parseKind(const json &Doc) {
  std::string Text = Doc.value("kind", json("batch")).is_string()
                         ? Doc.value("kind", "batch")
                         : "";
  for (JobKind Kind : {JobKind::Service, JobKind::Batch, JobKind::Gang})
    if (toString(Kind) == Text)
      return Kind;
  return badSpec("kind", "batch, gang or service");
}

} // namespace

std::string_view toString(JobKind Kind) {
  switch (Kind) {
  case JobKind::Service:
    return "service";
  case JobKind::Batch:
    return "batch";
  case JobKind::Gang:
    return "gang";
  }
  return "?";
}

Result<Resources> parseResources(const json &Doc, const std::string &Place) {
  if (!Doc.is_object())
    return badSpec(Place, "an object with cpu, memory, accelerators");
  for (const auto &[Key, Value] : Doc.items())
    if (Key != "cpu" && Key != "memory" && Key != "accelerators")
      return badSpec(Place + "." + Key, "one of cpu, memory, accelerators");
  Resources R;
  BOOST_OUTCOME_TRY(NewCpu, parseAmount(Doc, "cpu", 0, Place));
  R.Cpu_ = NewCpu;
  BOOST_OUTCOME_TRY(NewMemory, parseAmount(Doc, "memory", 0, Place));
  R.Memory_ = NewMemory;
  BOOST_OUTCOME_TRY(NewAccelerators,
                    parseAmount(Doc, "accelerators", 0, Place));
  R.Accelerators_ = NewAccelerators;
  return R;
}

json toJson(const Resources &R) {
  return {{"cpu", R.Cpu_},
          {"memory", R.Memory_},
          {"accelerators", R.Accelerators_}};
}

Result<Selector> parseSelector(const json &Doc, const std::string &Place) {
  if (!Doc.is_object())
    return badSpec(Place, "an object of label: value or [values]");
  Selector S;
  for (const auto &[Key, Value] : Doc.items()) {
    for (const json &One : Value.is_array() ? Value : json::array({Value})) {
      if (!One.is_string())
        return badSpec(Place + "." + Key, "a text or a list of texts");
      S[Key].insert(One.get<std::string>());
    }
  }
  return S;
}

json toJson(const Selector &S) {
  json Doc = json::object();
  for (const auto &[Key, Values] : S)
    Doc[Key] = Values;
  return Doc;
}

Result<JobSpec> parseJobSpec(const json &Doc) {
  if (!Doc.is_object())
    return badSpec("job", "an object");
  static const std::set<std::string> Known = {
      "name", "kind",     "team",   "key",    "tasks",
      "size", "selector", "run_ms", "urgent", "slots"};
  for (const auto &[Key, Value] : Doc.items())
    if (!Known.count(Key))
      return badSpec(Key, "a known field");
  JobSpec Spec;
  BOOST_OUTCOME_TRY(NewName, parseText(Doc, "name"));
  Spec.Name_ = NewName;
  BOOST_OUTCOME_TRY(NewTeam, parseText(Doc, "team"));
  Spec.Team_ = NewTeam;
  BOOST_OUTCOME_TRY(NewKey, parseText(Doc, "key"));
  Spec.Key_ = NewKey;
  BOOST_OUTCOME_TRY(NewKind, parseKind(Doc));
  Spec.Kind_ = NewKind;
  BOOST_OUTCOME_TRY(Tasks, parseAmount(Doc, "tasks", 1, "job"));
  if (Tasks < 1 || Tasks > MaxTasksPerJob)
    return badSpec("tasks", "a whole number from 1 to 10000");
  Spec.Tasks_ = std::uint32_t(Tasks);
  BOOST_OUTCOME_TRY(NewSize,
                    parseResources(Doc.value("size", json::object()), "size"));
  Spec.Size_ = NewSize;
  if (Spec.Size_ == Resources{})
    return badSpec("size", "at least one resource above 0");
  BOOST_OUTCOME_TRY(
      NewSelector,
      parseSelector(Doc.value("selector", json::object()), "selector"));
  Spec.Selector_ = NewSelector;
  BOOST_OUTCOME_TRY(Run, parseAmount(Doc, "run_ms", 0, "job"));
  Spec.RunTime_ = Milliseconds(Run);
  BOOST_OUTCOME_TRY(Slots, parseAmount(Doc, "slots", 0, "job"));
  Spec.Slots_ = std::uint32_t(Slots);
  if (auto It = Doc.find("urgent"); It != Doc.end()) {
    if (!It->is_boolean())
      return badSpec("urgent", "true or false");
    Spec.Urgent_ = It->get<bool>();
  }
  return Spec;
}

json toJson(const JobSpec &Spec) {
  return {{"name", Spec.Name_},
          {"kind", toString(Spec.Kind_)},
          {"team", Spec.Team_},
          {"key", Spec.Key_},
          {"tasks", Spec.Tasks_},
          {"size", toJson(Spec.Size_)},
          {"selector", toJson(Spec.Selector_)},
          {"run_ms", Spec.RunTime_.count()},
          {"urgent", Spec.Urgent_},
          {"slots", Spec.Slots_}};
}

} // namespace pollenvale
