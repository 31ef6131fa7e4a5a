/// Writing under a fence to a store that loses answers and refuses calls.
#include "ledger/ledger.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::ledger;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr milliseconds RepeatPause{200};

/// A partition that answers a repeated sequence number with its first answer,
/// even if the records differ.
struct FencedStore {
  std::vector<KeyedRecord> Log_;
  std::map<std::uint64_t, AppendReply> Answers_; ///< By sequence number.

  AppendReply append(const AppendCall &Call) {
    std::uint64_t Number = Call.Fence_->Sequence_;
    auto Known = Answers_.find(Number);
    if (Known != Answers_.end())
      return Known->second;
    AppendReply Reply{StoreStatus::Done, Log_.size()};
    Log_.insert(Log_.end(), Call.Records_.begin(), Call.Records_.end());
    Reply.End_ = Log_.size();
    return Answers_[Number] = Reply;
  }

  bool has(const std::string &Key) const {
    return std::any_of(Log_.begin(), Log_.end(),
                       [&](const KeyedRecord &R) { return R.Key_ == Key; });
  }
};

Writer makeWriter() { return {{"t", 0}, {"producer", 7, 1}}; }

/// Repeats the write in progress at the store.
WriteOutcome repeat(Writer &W, FencedStore &S, TimePoint Now) {
  auto Call = repeatWrite(W, Now);
  cr_assert(Call.has_value());
  return onAppended(W, S.append(*Call), Now);
}

} // namespace

// Guards against LOST, TWICE and UNASKED: the answer to an append is lost, its
// repetition is refused, and other records are sent under its number. The store
// answers for the first records, so that the others count as stored and are
// announced at offsets where the store holds other records.
Test(writer, a_refused_repetition_does_not_free_the_number_of_the_write) {
  FencedStore S;
  Writer W = makeWriter();
  S.append(beginWrite(W, {{"a", "1"}})); // The answer is lost.
  cr_assert(onAppended(W, {}, Start) == WriteOutcome::Pending);
  TimePoint Now = Start + RepeatPause;
  cr_assert(repeatWrite(W, Now).has_value()); // The store refuses it.
  WriteOutcome Refused = onAppended(W, {StoreStatus::NotDone}, Now);
  if (Refused == WriteOutcome::Pending) {
    Now += RepeatPause;
    cr_assert(repeat(W, S, Now) == WriteOutcome::Stored);
  }
  AppendCall Next = beginWrite(W, {{"b", "1"}, {"c", "1"}});
  cr_assert(onAppended(W, S.append(Next), Now) == WriteOutcome::Stored);
  cr_assert(S.has("b") && S.has("c"));
}

// Guards against the same failures if the store refuses an append although it
// has stored the records.
Test(writer, a_refused_write_is_repeated_with_the_same_records) {
  FencedStore S;
  Writer W = makeWriter();
  beginWrite(W, {{"a", "1"}});
  cr_assert(onAppended(W, {StoreStatus::NotDone}, Start) ==
            WriteOutcome::Pending);
  cr_assert(not repeatWrite(W, Start).has_value());
  cr_assert(repeat(W, S, Start + RepeatPause) == WriteOutcome::Stored);
  cr_assert(S.has("a"));
}

// Guards against records that count as stored although the store answered for
// an earlier append of the same number.
Test(writer, an_answer_for_other_records_does_not_count_as_stored) {
  FencedStore S;
  Writer Earlier = makeWriter();
  S.append(beginWrite(Earlier, {{"a", "1"}}));
  Writer W = makeWriter();
  AppendCall Call = beginWrite(W, {{"b", "1"}, {"c", "1"}});
  cr_assert(onAppended(W, S.append(Call), Start) == WriteOutcome::NotStored);
  Call = beginWrite(W, {{"b", "1"}, {"c", "1"}});
  cr_assert(onAppended(W, S.append(Call), Start) == WriteOutcome::Stored);
  cr_assert(S.has("b") && S.has("c"));
}

// Guards against a write under the number of an earlier one after an answer
// that does not give the expected number.
Test(writer, an_unreadable_expected_number_leaves_the_number_as_it_is) {
  FencedStore S;
  Writer W = makeWriter();
  AppendCall First = beginWrite(W, {{"a", "1"}});
  cr_assert(onAppended(W, S.append(First), Start) == WriteOutcome::Stored);
  beginWrite(W, {{"b", "1"}});
  AppendReply Unreadable{StoreStatus::OutOfSequence};
  cr_assert(onAppended(W, Unreadable, Start) == WriteOutcome::Pending);
  cr_assert(repeat(W, S, Start + RepeatPause) == WriteOutcome::Stored);
  cr_assert(S.has("b"));
}

Test(writer, a_write_is_stored_if_the_store_expects_the_next_number) {
  Writer W = makeWriter();
  beginWrite(W, {{"a", "1"}});
  AppendReply Next{StoreStatus::OutOfSequence};
  Next.ExpectedSequence_ = 2;
  cr_assert(onAppended(W, Next, Start) == WriteOutcome::Stored);
  cr_assert_eq(W.Fence_.Sequence_, 2u);
}

Test(writer, a_higher_epoch_ends_the_write) {
  Writer W = makeWriter();
  beginWrite(W, {{"a", "1"}});
  cr_assert(onAppended(W, {StoreStatus::Fenced}, Start) ==
            WriteOutcome::Fenced);
  cr_assert(not repeatWrite(W, Start + RepeatPause).has_value());
}
