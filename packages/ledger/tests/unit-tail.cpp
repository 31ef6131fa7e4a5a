/// Following a partition by loads, reads and delivered records.
#include "ledger/ledger.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::ledger;

namespace {

constexpr TimePoint T0{std::chrono::seconds(10)};

NewestReply page(Offset End, bool More) {
  NewestReply R;
  R.Status_ = StoreStatus::Done;
  R.Records_ = {{"k", "v", 1}};
  R.More_ = More;
  R.End_ = End;
  return R;
}

ReadReply upTo(Offset Next, Offset End) {
  ReadReply R;
  R.Status_ = StoreStatus::Done;
  R.Next_ = Next;
  R.End_ = End;
  return R;
}

} // namespace

Test(tail, reading_goes_on_from_the_end_as_of_the_first_page) {
  Tail T;
  cr_assert(nextStep(T, T0) == TailStep::Newest);
  onSent(T, T0);
  cr_assert(nextStep(T, T0) == TailStep::Idle);
  cr_assert_not(onNewest(T, page(7, true), T0));
  cr_assert_eq(T.PageAfterKey_, "k");
  cr_assert(onNewest(T, page(12, false), T0));
  cr_assert_eq(T.Next_, 7u);
  cr_assert(nextStep(T, T0) == TailStep::Read);
}

// Guards against LOST: a page without a readable record ends the load, and the
// keys after it count as removed.
Test(tail, a_page_without_a_readable_record_does_not_end_a_load) {
  Tail T;
  NewestReply Page = page(7, true);
  Page.Records_.clear();
  Page.LastKey_ = "c";
  cr_assert_not(onNewest(T, Page, T0));
  cr_assert_eq(T.PageAfterKey_, "c");
  cr_assert(nextStep(T, T0) == TailStep::Newest);
  cr_assert(onNewest(T, page(7, false), T0));
}

// Guards against a load that requests the same page in a loop without a pause.
Test(tail, a_page_without_a_new_last_key_is_requested_again_after_a_pause) {
  for (const char *LastKey : {"", "c"}) {
    Tail T;
    T.PageAfterKey_ = "c";
    NewestReply Page = page(7, true);
    Page.Records_.clear();
    Page.LastKey_ = LastKey;
    cr_assert_not(onNewest(T, Page, T0));
    cr_assert_eq(T.PageAfterKey_, "c");
    cr_assert_not(T.Loaded_);
    cr_assert_not(T.Reachable_);
    cr_assert(nextStep(T, T0) == TailStep::Idle);
    cr_assert(nextStep(T, T0 + Milliseconds(300)) == TailStep::Newest);
  }
}

Test(tail, it_is_current_as_of_when_a_complete_read_was_sent) {
  Tail T;
  onNewest(T, page(7, false), T0);
  onSent(T, T0 + Milliseconds(5));
  onRead(T, upTo(8, 9), T0 + Milliseconds(9));
  cr_assert(T.CurrentAt_ == TimePoint{});
  onSent(T, T0 + Milliseconds(10));
  onRead(T, upTo(9, 9), T0 + Milliseconds(30));
  cr_assert(T.CurrentAt_ == T0 + Milliseconds(10));
}

Test(tail, forgotten_records_start_a_new_load) {
  Tail T;
  onNewest(T, page(7, false), T0);
  ReadReply Forgotten;
  Forgotten.Status_ = StoreStatus::Forgotten;
  onRead(T, Forgotten, T0);
  cr_assert(nextStep(T, T0) == TailStep::Newest);
  cr_assert(T.Loaded_, "the loaded records stay in use");
}

Test(tail, a_failed_read_is_tried_again_after_a_pause) {
  Tail T;
  onNewest(T, page(7, false), T0);
  onSent(T, T0);
  onRead(T, {}, T0);
  cr_assert_not(T.Reachable_);
  cr_assert(nextStep(T, T0) == TailStep::Idle);
  cr_assert(nextStep(T, T0 + Milliseconds(300)) == TailStep::Read);
}

// Guards against reads in a loop without a pause while the store's answers
// contain none of the records before the end that they give.
Test(tail, a_read_without_records_before_the_end_is_repeated_after_a_pause) {
  Tail T;
  onNewest(T, page(7, false), T0);
  onSent(T, T0);
  onRead(T, upTo(7, 9), T0);
  cr_assert(T.CurrentAt_ == TimePoint{});
  cr_assert(nextStep(T, T0) == TailStep::Idle);
  cr_assert(nextStep(T, T0 + Milliseconds(300)) == TailStep::Read);
  onSent(T, T0 + Milliseconds(300));
  onRead(T, upTo(8, 9), T0 + Milliseconds(310));
  cr_assert(nextStep(T, T0 + Milliseconds(310)) == TailStep::Read,
            "the rest of a long answer is read without a pause");
}

Test(tail, it_is_stale_when_a_read_is_long_overdue) {
  Tail T;
  T.Options_.Wait_ = Milliseconds(1'000);
  T.Options_.Spacing_ = Milliseconds(100);
  onNewest(T, page(7, false), T0);
  onSent(T, T0);
  onRead(T, upTo(7, 7), T0 + Milliseconds(1'000));
  cr_assert_not(isStale(T, T0 + Milliseconds(1'500)));
  cr_assert(isStale(T, T0 + Milliseconds(1'700)));
}

Test(tail, a_store_that_did_not_answer_is_asked_for_what_is_there) {
  Tail T;
  T.Options_.Wait_ = Milliseconds(1'000);
  onNewest(T, page(7, false), T0);
  cr_assert(nextRead(T).Wait_ == Milliseconds(1'000));
  onSent(T, T0);
  onRead(T, {}, T0 + Milliseconds(2'000));
  cr_assert(nextRead(T).Wait_ == Milliseconds(0));
  cr_assert(nextRead(T).Timeout_ < Milliseconds(1'000));
  onSent(T, T0 + Milliseconds(2'300));
  onRead(T, upTo(7, 7), T0 + Milliseconds(2'310));
  cr_assert(nextRead(T).Wait_ == Milliseconds(1'000));
}

namespace {

std::vector<KeyedRecord> stored(Offset First, std::size_t Count) {
  std::vector<KeyedRecord> Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back({"k", "v", First + I});
  return Out;
}

Tail loadedUpTo(Offset End) {
  Tail T;
  onNewest(T, page(End, false), T0);
  T.Reachable_ = true;
  return T;
}

} // namespace

Test(tail, delivered_records_come_in_order_and_none_is_passed_over) {
  Tail T = loadedUpTo(7);
  cr_assert(deliver(T, stored(8, 2), T0).empty());
  auto Next = deliver(T, stored(7, 1), T0);
  cr_assert_eq(Next.size(), 3u);
  cr_assert_eq(Next.front().Offset_, 7u);
  cr_assert_eq(T.Next_, 10u);
  cr_assert(deliver(T, stored(8, 2), T0).empty(),
            "records taken before are left out");
}

Test(tail, a_missing_record_is_read_soon) {
  Tail T = loadedUpTo(7);
  T.NextCallAt_ = T0 + Milliseconds(1'000);
  deliver(T, stored(9, 1), T0);
  cr_assert(nextStep(T, T0 + Milliseconds(100)) == TailStep::Read);
  onSent(T, T0 + Milliseconds(100));
  onRead(T, upTo(9, 10), T0 + Milliseconds(104));
  cr_assert_eq(takeBufferedRecords(T).size(), 1u);
  cr_assert_eq(T.Next_, 10u);
}

Test(tail, delivered_records_do_not_make_it_current) {
  // Only a read shows that no other record was stored.
  Tail T = loadedUpTo(7);
  deliver(T, stored(7, 1), T0);
  cr_assert(T.CurrentAt_ == TimePoint{});
}

Test(tail, delivered_records_are_ignored_during_a_load) {
  Tail T;
  cr_assert(deliver(T, stored(0, 1), T0).empty());
  cr_assert_eq(T.Next_, 0u);
}

// Guards against LOST: each read over a slow link times out because its answer
// is too large for the link.
Test(tail, a_read_over_a_slow_link_ends_before_its_timeout) {
  Tail T;
  onSent(T, T0);
  cr_assert(onNewest(T, page(7, false), T0));
  onRead(T, {}, T0);
  ReadCall Call = nextRead(T);
  constexpr std::size_t BytesPerMs = 10'000 / 8; // 10 Mbit/s
  cr_assert_lt(Call.MaxBytes_ / BytesPerMs * 2,
               std::size_t(Call.Timeout_.count()));
}

// Guards against RECOVER: each page read over a slow link times out after a
// second and is requested again, forever.
Test(tail, the_timeout_of_a_page_is_long_enough_for_a_slow_link) {
  constexpr std::int64_t PageBits = 8'000'000, LinkBitsPerMs = 2'000;
  cr_assert_gt(NewestCall{}.Timeout_.count(), PageBits / LinkBitsPerMs);
}

// Guards against UNASKED: an owner that reads its partition seconds late starts
// tasks of jobs that have been cancelled.
Test(tail, a_reader_that_is_answered_and_does_not_catch_up_is_behind) {
  constexpr Milliseconds Limit{2'500};
  Tail T;
  onSent(T, T0);
  cr_assert(onNewest(T, page(7, false), T0));
  onRead(T, upTo(7, 7), T0);
  TimePoint Later = T0 + Limit + Milliseconds(500);
  cr_assert_not(isBehind(T, Limit, T0));
  cr_assert_not(isBehind(T, Limit, Later), "the store does not answer");
  onSent(T, Later);
  onRead(T, upTo(9, 30), Later);
  cr_assert(isBehind(T, Limit, Later));
  onRead(T, upTo(30, 30), Later);
  cr_assert_not(isBehind(T, Limit, Later));
}

// Guards against LOST: a tail that took a record which the store does not hold
// skips the record that the store puts at its offset, and counts as current.
Test(tail, a_taken_record_beyond_the_end_of_the_partition_starts_a_new_load) {
  Tail T = loadedUpTo(7);
  cr_assert_eq(deliver(T, stored(7, 1), T0).size(), 1u);
  onSent(T, T0);
  onRead(T, upTo(8, 7), T0);
  cr_assert(nextStep(T, T0 + Milliseconds(300)) == TailStep::Newest);
  cr_assert(T.CurrentAt_ == TimePoint{});
  cr_assert_eq(T.Mismatches_, 1u);
  onSent(T, T0);
  cr_assert(onNewest(T, page(7, false), T0));
  cr_assert_eq(T.Next_, 7u,
               "the record that the store puts at offset 7 is read");
}

// Guards against LOST: a buffered record that the store does not hold is taken
// instead of the stored record at its offset.
Test(tail, a_buffered_record_beyond_the_end_of_the_partition_is_dropped) {
  Tail T = loadedUpTo(7);
  deliver(T, stored(8, 1), T0);
  onSent(T, T0);
  onRead(T, upTo(8, 8), T0);
  cr_assert(takeBufferedRecords(T).empty());
  cr_assert_eq(T.Next_, 8u);
  cr_assert_eq(T.Mismatches_, 1u);
}

// Guards against LOST: an answer with records of other offsets advances the
// position.
Test(tail, a_read_with_records_of_other_offsets_starts_a_new_load) {
  for (Offset First : {Offset(3), Offset(9)}) {
    Tail T = loadedUpTo(7);
    onSent(T, T0);
    ReadReply R = upTo(9, 9);
    R.Records_ = stored(First, 1);
    onRead(T, R, T0);
    cr_assert(nextStep(T, T0 + Milliseconds(300)) == TailStep::Newest);
    cr_assert(T.CurrentAt_ == TimePoint{});
    cr_assert_eq(T.Mismatches_, 1u);
  }
}

Test(tail, a_record_delivered_after_a_read_was_sent_may_lie_beyond_its_end) {
  Tail T = loadedUpTo(7);
  onSent(T, T0);
  cr_assert_eq(deliver(T, stored(7, 1), T0).size(), 1u);
  deliver(T, stored(9, 1), T0);
  onRead(T, upTo(7, 7), T0);
  cr_assert(nextStep(T, T0 + Milliseconds(100)) == TailStep::Read);
  cr_assert_eq(T.BufferedRecords_.size(), 1u);
  cr_assert_eq(T.Mismatches_, 0u);
}

// Guards against an entry that accepts nothing for the whole timeout of a page
// after an outage: its call began while the store was silent.
Test(tail, a_page_of_a_silent_store_fails_soon) {
  Tail T;
  auto Limit = nextPage(T).SilenceTimeout_;
  cr_assert_leq(Limit.count(), 1'000);
  cr_assert_gt(Limit.count(), 0);
}

// Guards against pages that a slow store can never deliver in time.
Test(tail, the_limit_of_silence_grows_to_that_of_the_page) {
  Tail T;
  for (int I = 0; I < 10; ++I) {
    Milliseconds Before = nextPage(T).SilenceTimeout_;
    onNewest(T, {StoreStatus::Unknown}, T0);
    cr_assert_geq(nextPage(T).SilenceTimeout_.count(), Before.count());
  }
  cr_assert_geq(nextPage(T).SilenceTimeout_.count(),
                nextPage(T).Timeout_.count());
  onNewest(T, page(0, false), T0);
  cr_assert_leq(nextPage(T).SilenceTimeout_.count(), 1'000);
}
