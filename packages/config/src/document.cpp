#include "config/config.hpp"

namespace pollenvale::config {

using nlohmann::json;

namespace {

/// \p Path names the invalid value.
Error invalid(const std::string &Path, const std::string &Expected) {
  return makeError(ErrorKind::InvalidConfig, Path + ": expected " + Expected);
}

/// The object at \p Key; an empty one if the key is absent.
Result<json> section(const json &Doc, const char *Key) {
  json Section = Doc.value(Key, json::object());
  if (!Section.is_object())
    return invalid(Key, "an object");
  return Section;
}

Result<void> parseLabels(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Section, section(Doc, "labels"));
  for (const auto &[Target, Values] : Section.items()) {
    LabelRule Rule;
    std::size_t Colon = Target.find(':');
    Rule.Scope_ = Target.substr(0, Colon);
    if (Colon == std::string::npos ||
        (Rule.Scope_ != "vm" && Rule.Scope_ != "rack" && Rule.Scope_ != "dc"))
      return invalid("labels." + Target, "vm:NAME, rack:NAME or dc:NAME");
    Rule.Name_ = Target.substr(Colon + 1);
    if (!Values.is_object())
      return invalid("labels." + Target, "an object of strings");
    for (const auto &[Key, Value] : Values.items()) {
      if (!Value.is_string())
        return invalid("labels." + Target + "." + Key, "a string");
      Rule.Labels_[Key] = Value.get<std::string>();
    }
    Out.Labels_.push_back(std::move(Rule));
  }
  return boost::outcome_v2::success();
}

Result<void> parsePolicies(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Section, section(Doc, "policies"));
  for (const auto &[Name, Value] : Section.items()) {
    json Strategy =
        Value.is_object() ? Value.value("placement", json()) : json();
    if (Strategy != "spread" && Strategy != "pack")
      return invalid("policies." + Name + ".placement", "spread or pack");
    Out.Policies_[Name].Placement_ =
        Strategy == "spread" ? Placement::Spread : Placement::Pack;
  }
  return boost::outcome_v2::success();
}

Result<void> parseRules(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Section, section(Doc, "selectors"));
  for (const auto &[Name, Value] : Section.items()) {
    std::string Path = "selectors." + Name;
    if (!Value.is_object())
      return invalid(Path, "an object with work, vms, policy");
    Rule Rule;
    Rule.Name_ = Name;
    auto JobSelector =
        parseSelector(Value.value("work", json::object()), "work");
    auto VmSelector = parseSelector(Value.value("vms", json::object()), "vms");
    if (!JobSelector || !VmSelector)
      return invalid(Path, "selectors in work and vms");
    Rule.JobSelector_ = JobSelector.value();
    Rule.VmSelector_ = VmSelector.value();
    json PolicyName = Value.value("policy", json(""));
    if (!PolicyName.is_string() ||
        (PolicyName != "" &&
         !Out.Policies_.count(PolicyName.get<std::string>())))
      return invalid(Path + ".policy",
                     "a policy of this document, found " + PolicyName.dump());
    Rule.Policy_ = PolicyName.get<std::string>();
    Out.Rules_.push_back(std::move(Rule));
  }
  return boost::outcome_v2::success();
}

Result<Service> parseService(const std::string &Name, const json &Value) {
  std::string Path = "services." + Name;
  if (!Value.is_object() || Name.find('/') != std::string::npos)
    return invalid(Path, "an object, and a name without '/'");
  Service Service;
  json Spec = Value;
  Spec.erase("long_after_ms");
  Spec.erase("long_share");
  Spec.erase("queue_limit");
  if (Spec.contains("instances")) {
    Spec["tasks"] = Spec["instances"];
    Spec.erase("instances");
  }
  Spec["kind"] = "service";
  Spec["name"] = Name;
  auto Parsed = parseJobSpec(Spec);
  if (!Parsed)
    return makeError(ErrorKind::InvalidConfig,
                     Path + "." + Parsed.error().Message_);
  Service.Spec_ = Parsed.value();
  if (Service.Spec_.Slots_ == 0)
    return invalid(Path + ".slots", "a whole number of at least 1");
  json After = Value.value("long_after_ms", json(1'000));
  json Share = Value.value("long_share", json(0.5));
  json Limit = Value.value("queue_limit", json(10'000));
  if (!After.is_number_integer() || After < 0)
    return invalid(Path + ".long_after_ms", "milliseconds");
  if (!Share.is_number() || Share <= 0.0 || Share > 1.0)
    return invalid(Path + ".long_share", "a number above 0, at most 1");
  if (!Limit.is_number_integer() || Limit < 1)
    return invalid(Path + ".queue_limit", "a whole number of at least 1");
  Service.LongThreshold_ = Milliseconds(After.get<std::int64_t>());
  Service.LongShare_ = Share.get<double>();
  Service.QueueLimit_ = Limit.get<std::uint32_t>();
  return Service;
}

Result<void> parseServices(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Section, section(Doc, "services"));
  for (const auto &[Name, Value] : Section.items()) {
    BOOST_OUTCOME_TRY(Service, parseService(Name, Value));
    Out.Services_[Name] = std::move(Service);
  }
  return boost::outcome_v2::success();
}

Result<void> parseQuotas(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Section, section(Doc, "quotas"));
  for (const auto &[Team, Value] : Section.items()) {
    Quota Quota;
    json Amounts = Value;
    if (Value.is_object() && Value.contains("borrow")) {
      if (!Value["borrow"].is_boolean())
        return invalid("quotas." + Team + ".borrow", "true or false");
      Quota.MayBorrow_ = Value["borrow"];
      Amounts.erase("borrow");
    }
    auto Amount = parseResources(Amounts, "quotas." + Team);
    if (!Amount)
      return makeError(ErrorKind::InvalidConfig, Amount.error().Message_);
    Quota.Amount_ = Amount.value();
    Out.Quotas_[Team] = Quota;
  }
  return boost::outcome_v2::success();
}

} // namespace

Result<Document> parseDocument(const json &Doc) {
  if (!Doc.is_object())
    return invalid("document", "an object");
  static const std::set<std::string> Known = {"labels", "policies", "selectors",
                                              "services", "quotas"};
  for (const auto &[Key, Value] : Doc.items())
    if (!Known.count(Key))
      return invalid(Key, "labels, policies, selectors, services or quotas");
  Document Out;
  BOOST_OUTCOME_TRY(parseLabels(Doc, Out));
  BOOST_OUTCOME_TRY(parsePolicies(Doc, Out));
  BOOST_OUTCOME_TRY(parseRules(Doc, Out));
  BOOST_OUTCOME_TRY(parseServices(Doc, Out));
  BOOST_OUTCOME_TRY(parseQuotas(Doc, Out));
  return Out;
}

Labels labelsOf(const Document &Doc, const WorkerId &Vm,
                const std::string &Rack, const std::string &Dc, Labels Own) {
  Own["vm"] = Vm;
  Own["rack"] = Rack;
  Own["dc"] = Dc;
  const std::pair<const char *, const std::string *> Order[] = {
      {"dc", &Dc}, {"rack", &Rack}, {"vm", &Vm}};
  for (const auto &[Scope, Name] : Order)
    for (const LabelRule &Rule : Doc.Labels_)
      if (Rule.Scope_ == Scope && Rule.Name_ == *Name)
        for (const auto &[Key, Value] : Rule.Labels_)
          Own[Key] = Value;
  return Own;
}

bool isDrained(const Labels &Labels) {
  auto It = Labels.find("drain");
  return It != Labels.end() && It->second == "true";
}

const Rule *findRule(const Document &Doc, const JobSpec &Spec) {
  Labels JobLabels = {{"kind", std::string(toString(Spec.Kind_))},
                      {"name", Spec.Name_},
                      {"team", Spec.Team_},
                      {"urgent", Spec.Urgent_ ? "true" : "false"}};
  for (const Rule &Rule : Doc.Rules_)
    if (matches(Rule.JobSelector_, JobLabels))
      return &Rule;
  return nullptr;
}

Selector effectiveSelector(const Document &Doc, const JobSpec &Spec) {
  Selector Selector = Spec.Selector_;
  const Rule *Rule = findRule(Doc, Spec);
  if (!Rule)
    return Selector;
  for (const auto &Term : Rule->VmSelector_) {
    auto [It, Inserted] = Selector.insert(Term);
    if (!Inserted)
      std::erase_if(It->second, [&](const std::string &Value) {
        return !Term.second.count(Value);
      });
  }
  return Selector;
}

Policy policyFor(const Document &Doc, const JobSpec &Spec) {
  const Rule *Rule = findRule(Doc, Spec);
  if (Rule)
    if (auto It = Doc.Policies_.find(Rule->Policy_); It != Doc.Policies_.end())
      return It->second;
  return Policy{Spec.Kind_ == JobKind::Service ? Placement::Spread
                                               : Placement::Pack};
}

} // namespace pollenvale::config
