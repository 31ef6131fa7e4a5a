#include "config/config.hpp"

namespace pollenvale::config {

using nlohmann::json;

namespace {

Error invalid(const std::string &Place, const std::string &Expected) {
  return makeError(ErrorKind::InvalidConfig, Place + ": expected " + Expected);
}

/// The object under \p Key; an empty one when it is absent.
Result<json> section(const json &Doc, const char *Key) {
  json Part = Doc.value(Key, json::object());
  if (!Part.is_object())
    return invalid(Key, "an object");
  return Part;
}

Result<void> parseLabels(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Part, section(Doc, "labels"));
  for (const auto &[Target, Values] : Part.items()) {
    LabelRule L;
    std::size_t Colon = Target.find(':');
    L.Scope_ = Target.substr(0, Colon);
    if (Colon == std::string::npos ||
        (L.Scope_ != "vm" && L.Scope_ != "rack" && L.Scope_ != "dc"))
      return invalid("labels." + Target, "vm:NAME, rack:NAME or dc:NAME");
    L.Name_ = Target.substr(Colon + 1);
    if (!Values.is_object())
      return invalid("labels." + Target, "an object of texts");
    for (const auto &[Key, Value] : Values.items()) {
      if (!Value.is_string())
        return invalid("labels." + Target + "." + Key, "a text");
      L.Labels_[Key] = Value.get<std::string>();
    }
    Out.Labels_.push_back(std::move(L));
  }
  return boost::outcome_v2::success();
}

Result<void> parsePolicies(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Part, section(Doc, "policies"));
  for (const auto &[Name, Value] : Part.items()) {
    json How = Value.is_object() ? Value.value("placement", json()) : json();
    if (How != "spread" && How != "pack")
      return invalid("policies." + Name + ".placement", "spread or pack");
    Out.Policies_[Name].Placement_ =
        How == "spread" ? Placement::Spread : Placement::Pack;
  }
  return boost::outcome_v2::success();
}

Result<void> parseRules(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Part, section(Doc, "selectors"));
  for (const auto &[Name, Value] : Part.items()) {
    std::string Place = "selectors." + Name;
    if (!Value.is_object())
      return invalid(Place, "an object with work, vms, policy");
    Rule R;
    R.Name_ = Name;
    auto Work = parseSelector(Value.value("work", json::object()), "work");
    auto Vms = parseSelector(Value.value("vms", json::object()), "vms");
    if (!Work || !Vms)
      return invalid(Place, "selectors in work and vms");
    R.Work_ = Work.value();
    R.Vms_ = Vms.value();
    json PolicyName = Value.value("policy", json(""));
    if (!PolicyName.is_string() ||
        (PolicyName != "" &&
         !Out.Policies_.count(PolicyName.get<std::string>())))
      return invalid(Place + ".policy",
                     "a policy of this document, found " + PolicyName.dump());
    R.Policy_ = PolicyName.get<std::string>();
    Out.Rules_.push_back(std::move(R));
  }
  return boost::outcome_v2::success();
}

Result<Service> parseService(const std::string &Name, const json &Value) {
  std::string Place = "services." + Name;
  if (!Value.is_object() || Name.find('/') != std::string::npos)
    return invalid(Place, "an object, and a name without '/'");
  Service S;
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
                     Place + "." + Parsed.error().Message_);
  S.Spec_ = Parsed.value();
  if (S.Spec_.Slots_ == 0)
    return invalid(Place + ".slots", "a whole number of at least 1");
  json After = Value.value("long_after_ms", json(1'000));
  json Share = Value.value("long_share", json(0.5));
  json Limit = Value.value("queue_limit", json(10'000));
  if (!After.is_number_integer() || After < 0)
    return invalid(Place + ".long_after_ms", "milliseconds");
  if (!Share.is_number() || Share <= 0.0 || Share > 1.0)
    return invalid(Place + ".long_share", "a number above 0, at most 1");
  if (!Limit.is_number_integer() || Limit < 1)
    return invalid(Place + ".queue_limit", "a whole number");
  S.LongThreshold_ = Milliseconds(After.get<std::int64_t>());
  S.LongShare_ = Share.get<double>();
  S.QueueLimit_ = Limit.get<std::uint32_t>();
  return S;
}

Result<void> parseServices(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Part, section(Doc, "services"));
  for (const auto &[Name, Value] : Part.items()) {
    BOOST_OUTCOME_TRY(S, parseService(Name, Value));
    Out.Services_[Name] = std::move(S);
  }
  return boost::outcome_v2::success();
}

Result<void> parseQuotas(const json &Doc, Document &Out) {
  BOOST_OUTCOME_TRY(Part, section(Doc, "quotas"));
  for (const auto &[Team, Value] : Part.items()) {
    Quota Q;
    json Amounts = Value;
    if (Value.is_object() && Value.contains("borrow")) {
      if (!Value["borrow"].is_boolean())
        return invalid("quotas." + Team + ".borrow", "true or false");
      Q.MayBorrow_ = Value["borrow"];
      Amounts.erase("borrow");
    }
    auto Amount = parseResources(Amounts, "quotas." + Team);
    if (!Amount)
      return makeError(ErrorKind::InvalidConfig, Amount.error().Message_);
    Q.Amount_ = Amount.value();
    Out.Quotas_[Team] = Q;
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

Labels labelsOf(const Document &D, const WorkerId &Vm, const std::string &Rack,
                const std::string &Dc, Labels Own) {
  Own["vm"] = Vm;
  Own["rack"] = Rack;
  Own["dc"] = Dc;
  const std::pair<const char *, const std::string *> Order[] = {
      {"dc", &Dc}, {"rack", &Rack}, {"vm", &Vm}};
  for (const auto &[Scope, Name] : Order)
    for (const LabelRule &L : D.Labels_)
      if (L.Scope_ == Scope && L.Name_ == *Name)
        for (const auto &[Key, Value] : L.Labels_)
          Own[Key] = Value;
  return Own;
}

bool isDrained(const Labels &L) {
  auto It = L.find("drain");
  return It != L.end() && It->second == "true";
}

const Rule *ruleFor(const Document &D, const JobSpec &Spec) {
  Labels Work = {{"kind", std::string(toString(Spec.Kind_))},
                 {"name", Spec.Name_},
                 {"team", Spec.Team_},
                 {"urgent", Spec.Urgent_ ? "true" : "false"}};
  for (const Rule &R : D.Rules_)
    if (matches(R.Work_, Work))
      return &R;
  return nullptr;
}

Selector effectiveSelector(const Document &D, const JobSpec &Spec) {
  Selector S = Spec.Selector_;
  const Rule *R = ruleFor(D, Spec);
  if (!R)
    return S;
  for (const auto &Term : R->Vms_) {
    auto [It, New] = S.insert(Term);
    if (!New)
      std::erase_if(It->second, [&](const std::string &V) {
        return !Term.second.count(V);
      });
  }
  return S;
}

Policy policyFor(const Document &D, const JobSpec &Spec) {
  const Rule *R = ruleFor(D, Spec);
  if (R)
    if (auto It = D.Policies_.find(R->Policy_); It != D.Policies_.end())
      return It->second;
  return Policy{Spec.Kind_ == JobKind::Service ? Placement::Spread
                                               : Placement::Pack};
}

} // namespace pollenvale::config
