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

Test(config, a_race_has_one_winner_and_one_named_refusal) {
  config::State S;
  config::startFromEmpty(S);
  auto First = config::apply(S, 5, change("x", 0, "one"));
  auto Second = config::apply(S, 6, change("y", 0, "two"));
  cr_assert(First->Accepted_ && First->Version_ == 5);
  cr_assert(!Second->Accepted_ && Second->Version_ == 5);
  cr_assert(Second->Reason_.find("lost to version 5") != std::string::npos);
}

Test(config, a_repeated_append_keeps_the_first_verdict) {
  config::State S;
  config::startFromEmpty(S);
  config::apply(S, 5, change("x", 0, "one"));
  config::apply(S, 7, change("x", 0, "one"));
  cr_assert(S.Version_ == 5);
  cr_assert(S.Verdicts_.at("x").Accepted_);
}

Test(config, changes_before_a_snapshot_wait_for_it) {
  config::State S;
  cr_assert(!config::apply(S, 90, change("x", 70, "one")));
  config::apply(S, eventlog::ConfigSnapshot{70, json::object()});
  cr_assert(S.Version_ == 90);
}

Test(config, never_goes_back) {
  config::State S;
  config::startFromEmpty(S);
  config::apply(S, 5, change("x", 0, "one"));
  cr_assert(!config::adopt(S, 3, json::object()));
  config::apply(S, eventlog::ConfigSnapshot{4, json::object()});
  cr_assert(S.Version_ == 5);
  cr_assert(config::adopt(S, 9, json::object()));
  cr_assert(!config::apply(S, 7, change("z", 5, "late")));
  cr_assert(S.Version_ == 9);
}

Test(config, messages_name_the_place) {
  auto At = [](const char *Text) {
    auto D = config::parseDocument(json::parse(Text));
    return D ? std::string() : D.error().Message_;
  };
  cr_assert(At(R"({"what":1})").find("what") == 0);
  cr_assert(At(R"({"labels":{"a":{}}})").find("labels.a") == 0);
  cr_assert(
      At(R"({"selectors":{"s":{"policy":"p"}}})").find("selectors.s.policy") ==
      0);
  cr_assert(
      At(R"({"services":{"p":{"size":{"cpu":1}}}})").find("services.p.slots") ==
      0);
}

Test(config, quotas_may_lend) {
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
