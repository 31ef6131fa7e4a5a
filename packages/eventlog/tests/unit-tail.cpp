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

// Guards against losing a record whose append was not answered.
Test(tail, a_lost_append_is_repeated_until_it_is_read_back) {
  State State;
  append(State, CancelRecord{"j"}, false);
  auto First = nextAppend(State, Start);
  cr_assert(onAppend(State, Start, First->Call_, AppendStatus::Lost).empty());
  auto Later = Start + AppendRetry;
  auto Second = nextAppend(State, Later);
  cr_assert(Second && Second->Records_.size() == 1);
  // This append was refused, but the first may be in the log.
  cr_assert(
      onAppend(State, Later, Second->Call_, AppendStatus::Refused).empty());
  auto Read = nextRead(State, Later);
  onRead(State, Later, Read->Call_, reply(1, 2, {{1, CancelRecord{"j"}}}));
  cr_assert(State.Queue_.empty());
}

// Guards against callers without an answer and lost persistent records.
Test(tail, a_refused_append_is_dropped_unless_persistent) {
  State State;
  append(State, CancelRecord{"a"}, false);
  append(State, CancelRecord{"b"}, true);
  auto Call = nextAppend(State, Start);
  cr_assert(onAppend(State, Start, Call->Call_, AppendStatus::Refused).size() ==
            1);
  cr_assert(State.Queue_.size() == 1);
}

// Guards against missing records appended while a read was in flight.
Test(tail, freshness_counts_from_when_the_read_was_sent) {
  State State;
  auto Read = nextRead(State, Start);
  onRead(State, Start + Milliseconds(400), Read->Call_, reply(1, 1, {}));
  cr_assert(State.FreshAsOf_ == Start);
}

// Guards against state that lacks records removed by retention.
Test(tail, a_gap_is_reported) {
  State State;
  auto Read = nextRead(State, Start);
  onRead(State, Start, Read->Call_, reply(1, 5, {}));
  Read = nextRead(State, Start + ReadRetry);
  cr_assert(onRead(State, Start, Read->Call_, reply(9, 9, {})).Gap_);
}

// Guards against a record that is stored but cannot be read.
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
