/// Distribution of policy calls over the entries.
#include "advice/advice.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::advice;

namespace {

constexpr TimePoint T0{std::chrono::seconds(10)};

AdviceCall call(int Priority, int Ms) {
  AdviceCall C;
  C.Priority_ = Priority;
  C.Expected_ = Milliseconds(Ms);
  return C;
}

Pool sixEntries() {
  Pool P = makePool("c");
  setPeers(P, {"a", "b", "d", "e", "f"});
  return P;
}

} // namespace

// Guards against short calls that wait behind long ones at every entry.
Test(pool, long_calls_leave_entries_for_short_ones) {
  Pool P = sixEntries();
  for (int I = 0; I < 10; ++I)
    enqueue(P, call(0, 500), T0);
  cr_assert_eq(dispatch(P, T0).size(), 4u);
  enqueue(P, call(2, 20), T0);
  auto Short = dispatch(P, T0);
  cr_assert_eq(Short.size(), 1u);
  cr_assert(Short[0].Entry_ == "a" || Short[0].Entry_ == "b");
}

Test(pool, the_most_urgent_call_goes_first) {
  Pool P = makePool("a");
  enqueue(P, call(2, 500), T0);
  enqueue(P, call(0, 400), T0);
  auto First = dispatch(P, T0);
  cr_assert_eq(First.size(), 1u);
  cr_assert_eq(First[0].Call_.Priority_, 0);
}

// Guards against repeated timeouts of calls to a peer that is unreachable.
Test(pool, a_peer_that_did_not_answer_gets_no_calls) {
  Pool P = makePool("b");
  setPeers(P, {"a"});
  enqueue(P, call(0, 20), T0);
  enqueue(P, call(0, 20), T0);
  dispatch(P, T0);
  TimePoint Later = T0 + Milliseconds(2'000);
  cr_assert_eq(expire(P, Later).size(), 2u);
  for (int I = 0; I < 3; ++I)
    enqueue(P, call(0, 20), Later);
  for (const Dispatch &D : dispatch(P, Later))
    cr_assert_eq(D.Entry_, "b");
}

// Guards against LOST: once its peers had been out of reach for a moment, an
// owner made all calls that were to be made again itself, one after the other.
Test(pool, calls_made_again_use_peers_that_are_no_longer_avoided) {
  constexpr Milliseconds Duration{150};
  constexpr Milliseconds IdleLimit{3'000};
  Pool P = makePool("c");
  setPeers(P, {"a", "b", "d", "e", "f"});
  for (int I = 0; I < 6; ++I)
    enqueue(P, call(0, 70), T0);
  for (const Dispatch &D : dispatch(P, T0))
    if (D.Entry_ == "c")
      finish(P, D.Id_, true, T0 + Milliseconds(70));
  TimePoint Back = T0 + Milliseconds(3'000);
  cr_assert_eq(expire(P, Back).size(), 5u);
  // The peers are back and no longer avoided; all calls are made again.
  TimePoint Now = Back + Milliseconds(2'100);
  constexpr std::size_t Count = 40;
  for (std::size_t I = 0; I < Count; ++I) {
    AdviceCall C = call(0, int(Duration.count()));
    C.Retried_ = true;
    enqueue(P, std::move(C), Now);
  }
  std::size_t Answered = 0;
  for (TimePoint End = Now + IdleLimit; Now < End; Now += Duration)
    for (const Dispatch &D : dispatch(P, Now))
      Answered += finish(P, D.Id_, true, Now + Duration).has_value();
  cr_assert_eq(Answered, Count);
}

Test(pool, an_answer_to_an_expired_call_is_ignored) {
  Pool P = makePool("a");
  enqueue(P, call(0, 20), T0);
  CallId Id = dispatch(P, T0).at(0).Id_;
  expire(P, T0 + Milliseconds(5'000));
  cr_assert_not(finish(P, Id, true, T0));
}

// Guards against permits for another step: an answer to a call of the previous
// process was matched to a call of the current one.
Test(peer_replies, call_ids_differ_from_those_of_an_earlier_process) {
  Pool Before = makePool("a"), After = makePool("a");
  for (Pool *P : {&Before, &After})
    enqueue(*P, call(0, 20), T0);
  dispatch(After, T0);
  CallId Old = dispatch(Before, T0).at(0).Id_;
  cr_assert_not(finish(After, Old, true, T0));
}

Test(pool, messages_survive_a_round_trip) {
  RequestMessage Request{7, "a:1", "job.0.1", {"w1", "w2"}};
  Message M = decode(encode(Request));
  cr_assert_eq(std::get<RequestMessage>(M).Workers_.size(), 2u);
  ReplyMessage Reply{7, true, {{"w1", "permit"}}, 2'000};
  cr_assert_eq(std::get<ReplyMessage>(decode(encode(Reply))).Rows_[0].Permit_,
               "permit");
  for (const char *Bad : {"", "x", "a\x01", "t"})
    cr_assert(std::holds_alternative<std::monostate>(decode(Bad)));
}
