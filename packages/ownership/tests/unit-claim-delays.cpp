/// Which of several entries claims a slice first, by their size and load.
#include "claims_cell.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::ownership;

namespace {

/// \p Large entries with 0.5 cores and \p Small ones with 0.12, in that order.
ClaimsCell mixedCell(std::size_t Large, std::size_t Small) {
  ClaimsCell C(Large + Small);
  for (std::size_t I = 0; I < C.Entries_.size(); ++I)
    C.Entries_[I].Options_.Cpu_ = I < Large ? 500 : 120;
  return C;
}

std::size_t slicesOwned(const ClaimsCell &C, std::size_t From, std::size_t To) {
  std::size_t Out = 0;
  for (std::size_t I = From; I < To; ++I)
    if (!C.Silent_.count(I))
      Out += C.Entries_[I].OwnSlices_.size();
  return Out;
}

} // namespace

Test(claims, large_entries_claim_one_slice_each) {
  ClaimsCell C = mixedCell(10, 28);
  C.Wanted_ = {"s", "s~1", "s~2", "s~3", "s~4", "s~5", "t", "t~1"};
  C.run(Milliseconds(3'000));
  cr_assert_eq(slicesOwned(C, 0, 10), 8u);
  for (const State &S : C.Entries_)
    cr_assert_leq(S.OwnSlices_.size(), 1u);
}

Test(claims, small_entries_take_over_soon_when_no_large_one_is_alive) {
  // 1.9 s of silence, the jitter of claims, and less than a second more.
  ClaimsCell C = mixedCell(2, 6);
  C.run(Milliseconds(1'000));
  cr_assert_eq(slicesOwned(C, 0, 2), 1u);
  C.Silent_ = {0, 1};
  C.run(Milliseconds(3'200));
  cr_assert_eq(slicesOwned(C, 2, 8), 1u);
}

Test(claims, both_slices_of_a_killed_entry_are_taken_over) {
  ClaimsCell C = mixedCell(1, 3);
  C.Wanted_ = {"s", "s~1"};
  for (State &S : C.Entries_)
    S.Options_.SmallEntryDelay_ = Milliseconds(60'000);
  C.run(Milliseconds(2'500));
  for (State &S : C.Entries_)
    S.Options_.SmallEntryDelay_ = Options().SmallEntryDelay_;
  cr_assert_eq(slicesOwned(C, 0, 1), 2u);
  std::set<ClaimNumber> Former;
  for (const auto &[Slice, Own] : C.Entries_[0].OwnSlices_)
    Former.insert(Own.Number_);
  C.Silent_ = {0};
  C.run(Milliseconds(3'200));
  cr_assert_eq(slicesOwned(C, 1, 4), 2u);
  for (std::size_t I = 1; I < 4; ++I)
    for (const auto &[Slice, Own] : C.Entries_[I].OwnSlices_) {
      cr_assert_gt(Own.Number_, *Former.rbegin());
      cr_assert(Own.Predecessor_ == Predecessor::MayRun);
    }
}

// Guards against a small entry that gets a slice while large ones are alive:
// when a whole fleet restarts, other entries' heartbeats are stored before each
// claim and reject it, and the large entries begin their delay again each time.
Test(claims, a_claim_that_came_too_late_is_repeated_without_another_wait) {
  ClaimsCell C(1);
  State &S = C.Entries_[0];
  std::size_t Tries = 0;
  Milliseconds Wait = S.Options_.ClaimJitter_ + Milliseconds(200);
  for (TimePoint End = C.Now_ + Wait; C.Now_ < End && S.OwnSlices_.empty();) {
    C.Now_ += Milliseconds(25);
    onContact(S, C.Now_, C.Now_);
    for (const Write &W : tick(S, {"s"}, C.Log_.size(), C.Now_)) {
      bool Claim = W.Kind_ == Write::Kind::Claim;
      if (Claim && ++Tries <= 2)
        C.append(
            {Write::Kind::Heartbeat, {}, makeNode("n9", {"n9.1", "n9:1", 1})});
      std::size_t Length = C.Log_.size();
      onWritten(S, W, C.append(W), C.Now_);
      if (!Claim || C.Log_.size() > Length)
        continue;
      // No further record has been read: the claim must not be repeated.
      for (const Write &Again : tick(S, {"s"}, W.ExpectedEnd_, C.Now_))
        cr_assert(Again.Kind_ != Write::Kind::Claim);
    }
  }
  cr_assert_eq(Tries, 3u);
  cr_assert_eq(S.OwnSlices_.count("s"), 1u);
}

namespace {

/// Makes entry 0, a small one, the owner. Entry 1 has still less CPU.
void startWithSmallOwner(ClaimsCell &C) {
  C.Entries_[0].Options_.Cpu_ = 120;
  C.Entries_[1].Options_.Cpu_ = 1;
  C.run(Milliseconds(3'000));
  cr_assert_eq(C.Entries_[0].OwnSlices_.size(), 1u);
}

} // namespace

// Guards against SHORT: a small entry that claimed a slice while no large one
// was alive can't keep up with it and still owns it after they have returned.
Test(claims, an_overloaded_small_owner_hands_over_to_a_large_entry) {
  ClaimsCell C(2);
  startWithSmallOwner(C);
  C.Entries_[0].OverloadedSince_ = C.Now_;
  C.run(Milliseconds(8'000));
  cr_assert_eq(C.Entries_[0].OwnSlices_.size(), 1u, "no large entry is alive");
  C.Entries_[1].Options_.Cpu_ = 500;
  C.run(Milliseconds(8'000));
  cr_assert(C.Entries_[0].OwnSlices_.empty());
  cr_assert_eq(C.Entries_[1].OwnSlices_.size(), 1u);
  cr_assert(C.Entries_[1].OwnSlices_.at("s").Predecessor_ == Predecessor::None);
}

Test(claims, a_small_owner_that_is_not_overloaded_keeps_its_slice) {
  ClaimsCell C(2);
  startWithSmallOwner(C);
  C.Entries_[1].Options_.Cpu_ = 500;
  C.run(Milliseconds(12'000));
  cr_assert_eq(C.Entries_[0].OwnSlices_.size(), 1u);
}
