#include "eventlog/eventlog.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::eventlog;

namespace {

const TimePoint Start{std::chrono::hours(1)};

ReadReply reply(Offset Earliest, Offset Next,
                std::vector<StoredRecord> Records) {
  return {true, Earliest, Next, Next, std::move(Records)};
}

} // namespace

Test(tail, a_lost_append_is_repeated_until_it_comes_back) {
  State S;
  append(S, CancelRecord{"j"}, false);
  auto First = nextAppend(S, Start);
  cr_assert(onAppend(S, Start, First->Call_, AppendStatus::Lost).empty());
  auto Later = Start + AppendRetry;
  auto Second = nextAppend(S, Later);
  cr_assert(Second && Second->Records_.size() == 1);
  // Refused now, but the first one may be in the log.
  cr_assert(onAppend(S, Later, Second->Call_, AppendStatus::Refused).empty());
  auto Read = nextRead(S, Later);
  onRead(S, Later, Read->Call_, reply(1, 2, {{1, CancelRecord{"j"}}}));
  cr_assert(S.Queue_.empty());
}

Test(tail, a_refused_append_is_given_up_unless_persistent) {
  State S;
  append(S, CancelRecord{"a"}, false);
  append(S, CancelRecord{"b"}, true);
  auto Call = nextAppend(S, Start);
  cr_assert(onAppend(S, Start, Call->Call_, AppendStatus::Refused).size() == 1);
  cr_assert(S.Queue_.size() == 1);
}

Test(tail, freshness_counts_from_when_the_read_was_sent) {
  State S;
  auto Read = nextRead(S, Start);
  onRead(S, Start + Milliseconds(400), Read->Call_, reply(1, 1, {}));
  cr_assert(S.FreshAsOf_ == Start);
}

Test(tail, a_gap_is_told) {
  State S;
  auto Read = nextRead(S, Start);
  onRead(S, Start, Read->Call_, reply(1, 5, {}));
  Read = nextRead(S, Start + ReadRetry);
  cr_assert(onRead(S, Start, Read->Call_, reply(9, 9, {})).Gap_);
}

Test(record, all_kinds_survive_a_round_trip) {
  JobSpec Spec;
  Spec.Size_ = {1, 0, 0};
  const Record All[] = {ConfigRecord{"c", 3, {{"labels", 1}}, "e1.1"},
                        ConfigSnapshot{4, nullptr},
                        AcceptRecord{"j", Spec, "e1.1", true},
                        AcceptRecord{"j", Spec, "e1.1", false, {"k", "l"}},
                        CancelRecord{"j"},
                        OutcomeRecord{"j", "done", ""},
                        TakeoverRecord{"e1.1", "e2.1"},
                        UsesRecord{"e1.1", {"w1", "w2"}}};
  for (const Record &R : All) {
    auto Back = parseRecord(toJson(R));
    cr_assert(Back && recordKey(Back.value()) == recordKey(R));
  }
  cr_assert(!parseRecord({{"type", "nosuch"}}));
  // A spec that no version could have accepted is an error, not a crash.
  cr_assert(!parseRecord({{"type", "accept"},
                          {"job", "j"},
                          {"spec", {{"tasks", -1}}},
                          {"home", "e1.1"}}));
}
