#include "config/config.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using nlohmann::json;

namespace {

eventlog::ConfigRecord change(const char *Id, Offset Base, const char *Label) {
  json Doc = {{"labels", {{"vm:a", {{"pool", Label}}}}}};
  return {Id, Base, Doc, "e1.1"};
}

} // namespace

// Guards against two operators' concurrent changes both being accepted.
Test(config, a_race_has_one_winner_and_one_named_refusal) {
  config::State State;
  config::startFromEmpty(State);
  auto First = config::apply(State, 5, change("x", 0, "one"));
  auto Second = config::apply(State, 6, change("y", 0, "two"));
  cr_assert(First->Accepted_ && First->Version_ == 5);
  cr_assert(!Second->Accepted_ && Second->Version_ == 5);
  cr_assert(Second->Reason_.find("lost to version 5") != std::string::npos);
}

// Guards against refusing an accepted change whose append was repeated.
Test(config, a_repeated_append_keeps_the_first_verdict) {
  config::State State;
  config::startFromEmpty(State);
  config::apply(State, 5, change("x", 0, "one"));
  config::apply(State, 7, change("x", 0, "one"));
  cr_assert(State.Version_ == 5);
  cr_assert(State.Verdicts_.at("x").Accepted_);
}

// Guards against losing changes read before the version in force is known.
Test(config, changes_before_a_snapshot_are_decided_after_it) {
  config::State State;
  cr_assert(!config::apply(State, 90, change("x", 70, "one")));
  config::apply(State, eventlog::ConfigSnapshot{70, json::object()});
  cr_assert(State.Version_ == 90);
}

// Guards against an old snapshot or peer replacing a newer configuration.
Test(config, version_never_decreases) {
  config::State State;
  config::startFromEmpty(State);
  config::apply(State, 5, change("x", 0, "one"));
  cr_assert(!config::adopt(State, 3, json::object()));
  config::apply(State, eventlog::ConfigSnapshot{4, json::object()});
  cr_assert(State.Version_ == 5);
  cr_assert(config::adopt(State, 9, json::object()));
  cr_assert(!config::apply(State, 7, change("z", 5, "late")));
  cr_assert(State.Version_ == 9);
}

// Guards against errors that do not name the invalid value.
Test(config, errors_name_the_path) {
  auto ErrorOf = [](const char *Text) {
    auto Doc = config::parseDocument(json::parse(Text));
    return Doc ? std::string() : Doc.error().Message_;
  };
  cr_assert(ErrorOf(R"({"what":1})").find("what") == 0);
  cr_assert(ErrorOf(R"({"labels":{"a":{}}})").find("labels.a") == 0);
  cr_assert(ErrorOf(R"({"selectors":{"s":{"policy":"p"}}})")
                .find("selectors.s.policy") == 0);
  cr_assert(ErrorOf(R"({"services":{"p":{"size":{"cpu":1}}}})")
                .find("services.p.slots") == 0);
}

// Guards against teams exceeding a quota that does not allow borrowing.
Test(config, quotas_may_allow_borrowing) {
  auto Doc =
      config::parseDocument({{"quotas",
                              {{"roads", {{"cpu", 8'000}, {"borrow", true}}},
                               {"parks", {{"cpu", 4'000}}}}}});
  cr_assert(Doc);
  const auto &Quotas = Doc.value().Quotas_;
  cr_assert(Quotas.at("roads").MayBorrow_ && !Quotas.at("parks").MayBorrow_);
  cr_assert(Quotas.at("roads").Amount_.Cpu_ == 8'000);
  auto Bad = config::parseDocument(
      {{"quotas", {{"roads", {{"cpu", 8'000}, {"borrow", "yes"}}}}}});
  cr_assert(!Bad);
  cr_assert(Bad.error().Message_.find("quotas.roads.borrow") !=
            std::string::npos);
}
