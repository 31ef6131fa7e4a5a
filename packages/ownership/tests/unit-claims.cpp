/// Claiming, keeping, releasing and losing slices.
#include "ownership/ownership.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::ownership;
using ledger::AppendReply;
using ledger::StoreStatus;

namespace {

/// A claims topic and entries that receive each stored record immediately.
struct Cell {
  std::vector<ledger::KeyedRecord> Log_;
  std::vector<State> Entries_;
  TimePoint Now_{std::chrono::seconds(100)};
  bool StoreDown_ = false;
  std::set<std::size_t> Silent_; ///< Entries that neither read nor write.
  std::set<SliceName> Wanted_{"s"};

  explicit Cell(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      State S;
      S.Options_.Self_ = "n" + std::to_string(I) + ".1";
      S.Options_.Address_ = "n" + std::to_string(I) + ":1";
      Entries_.push_back(std::move(S));
    }
  }

  void deliver(const ledger::KeyedRecord &R) {
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      if (!Silent_.count(I))
        onRecord(Entries_[I], R, Now_);
  }

  AppendReply append(const Write &W) {
    if (StoreDown_)
      return {};
    if (W.ExpectedEnd_ && *W.ExpectedEnd_ != Log_.size())
      return {StoreStatus::Moved, 0, Log_.size()};
    ledger::KeyedRecord R = W.Record_;
    R.Offset_ = Log_.size();
    Log_.push_back(R);
    deliver(R);
    return {StoreStatus::Done, R.Offset_, Log_.size()};
  }

  void step(Milliseconds Time = Milliseconds(25)) {
    Now_ += Time;
    for (std::size_t I = 0; I < Entries_.size(); ++I) {
      if (Silent_.count(I))
        continue;
      if (!StoreDown_)
        onContact(Entries_[I], Now_, Now_);
      for (const Write &W : tick(Entries_[I], Wanted_, Log_.size(), Now_))
        onWritten(Entries_[I], W, append(W), Now_);
    }
  }

  void run(Milliseconds Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;)
      step();
  }

  std::vector<std::size_t> owners() const {
    std::vector<std::size_t> Out;
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      if (!Silent_.count(I) && Entries_[I].OwnSlices_.count("s"))
        Out.push_back(I);
    return Out;
  }
};

} // namespace

Test(claims, one_entry_owns_the_slice_and_keeps_it) {
  Cell C(4);
  C.run(Milliseconds(1'000));
  cr_assert_eq(C.owners().size(), 1u);
  std::size_t First = C.owners()[0];
  const OwnedSlice &Own = C.Entries_[First].OwnSlices_.at("s");
  cr_assert(Own.Predecessor_ == Predecessor::None);
  cr_assert_eq(Own.Generation_, 1u);
  C.run(Milliseconds(20'000));
  cr_assert_eq(C.owners().at(0), First);
}

Test(claims, a_silent_owner_is_taken_over_with_a_higher_number) {
  Cell C(4);
  C.run(Milliseconds(1'000));
  std::size_t First = C.owners()[0];
  ClaimNumber Number = C.Entries_[First].OwnSlices_.at("s").Number_;
  C.Silent_.insert(First);
  C.run(Milliseconds(3'000));
  cr_assert_eq(C.owners().size(), 1u);
  const OwnedSlice &Own = C.Entries_[C.owners()[0]].OwnSlices_.at("s");
  cr_assert_gt(Own.Number_, Number);
  cr_assert_eq(Own.Generation_, 2u);
  cr_assert(Own.Predecessor_ == Predecessor::MayRun);
}

Test(claims, silence_does_not_count_while_the_store_is_down) {
  Cell C(4);
  C.run(Milliseconds(1'000));
  std::size_t First = C.owners()[0];
  C.StoreDown_ = true;
  C.run(Milliseconds(8'000));
  C.StoreDown_ = false;
  C.run(Milliseconds(3'000));
  cr_assert_eq(C.owners().at(0), First);
}

Test(claims, an_owner_that_cannot_reach_the_store_stops_its_orders_in_time) {
  Cell C(2);
  C.run(Milliseconds(1'000));
  State &S = C.Entries_[C.owners()[0]];
  cr_assert(maySendOrders(S, C.Now_));
  C.StoreDown_ = true;
  C.run(S.Options_.SelfFence_ + Milliseconds(1'000));
  cr_assert_not(maySendOrders(S, C.Now_));
}

Test(claims, a_released_slice_is_claimed_soon_and_has_no_predecessor) {
  Cell C(3);
  C.run(Milliseconds(1'000));
  State &S = C.Entries_[C.owners()[0]];
  S.Stopping_ = true;
  C.run(Milliseconds(600));
  cr_assert_eq(C.owners().size(), 1u);
  const OwnedSlice &Own = C.Entries_[C.owners()[0]].OwnSlices_.at("s");
  cr_assert(Own.Predecessor_ == Predecessor::None);
  cr_assert(S.OwnSlices_.empty());
}

Test(claims, a_restarted_entry_does_not_wait_for_its_own_silence) {
  Cell C(1);
  C.run(Milliseconds(1'000));
  State Restarted;
  Restarted.Options_.Self_ = "n0.2";
  Restarted.Options_.Address_ = C.Entries_[0].Options_.Address_;
  for (const ledger::KeyedRecord &R : C.Log_)
    onRecord(Restarted, R, C.Now_);
  C.Entries_[0] = Restarted;
  C.run(Milliseconds(700));
  cr_assert_eq(C.owners().size(), 1u);
}

Test(claims, a_claim_without_an_answer_is_not_used) {
  Cell C(1);
  State &S = C.Entries_[0];
  onContact(S, C.Now_, C.Now_);
  std::vector<Write> Writes;
  for (int I = 0; I < 100 && Writes.size() < 2; ++I) {
    C.Now_ += Milliseconds(25);
    onContact(S, C.Now_, C.Now_);
    for (Write &W : tick(S, {"s"}, 0, C.Now_))
      Writes.push_back(std::move(W));
  }
  const Write &Claim = Writes.back();
  cr_assert(Claim.Kind_ == Write::Kind::Claim);
  C.append(Claim);
  onWritten(S, Claim, {}, C.Now_);
  cr_assert(S.OwnSlices_.empty());
  C.run(Milliseconds(1'000));
  cr_assert_eq(S.OwnSlices_.size(), 1u);
  cr_assert(S.OwnSlices_.at("s").Predecessor_ == Predecessor::MayRun);
}

// Guards against TWICE: a slow store executes a claim long after it was sent,
// and the predecessor may send orders until it can have read that claim. A wait
// counted from the sending may end while the predecessor's leases are valid.
Test(claims, the_wait_for_inherited_leases_begins_when_the_claim_is_answered) {
  Cell C(1);
  State &S = C.Entries_[0];
  std::vector<Write> Writes;
  while (S.ClaimsInFlight_.empty()) {
    C.Now_ += Milliseconds(25);
    onContact(S, C.Now_, C.Now_);
    for (Write &W : tick(S, {"s"}, C.Log_.size(), C.Now_))
      Writes.push_back(std::move(W));
  }
  C.Now_ += Milliseconds(1'900);
  onWritten(S, Writes.back(), C.append(Writes.back()), C.Now_);
  cr_assert(S.OwnSlices_.at("s").ClaimedAt_ == C.Now_);
}

Test(claims, an_owner_that_cannot_read_the_claims_sends_no_orders) {
  Cell C(1);
  C.run(Milliseconds(1'000));
  State &S = C.Entries_[0];
  cr_assert(maySendOrders(S, C.Now_));
  for (TimePoint End = C.Now_ + S.Options_.SelfFence_; C.Now_ < End;) {
    C.Now_ += Milliseconds(25);
    for (const Write &W : tick(S, {"s"}, std::nullopt, C.Now_))
      onWritten(S, W, C.append(W), C.Now_);
  }
  cr_assert_not(maySendOrders(S, C.Now_));
}

Test(claims, the_predecessor_has_ended_if_its_vm_runs_another_process) {
  Cell C(2);
  C.run(Milliseconds(1'000));
  std::size_t First = C.owners()[0];
  State Restarted;
  Restarted.Options_ = C.Entries_[First].Options_;
  Restarted.Options_.Self_ = nodeName(Restarted.Options_.Self_) + ".2";
  for (const ledger::KeyedRecord &R : C.Log_)
    onRecord(Restarted, R, C.Now_);
  ClaimNumber Former = C.Entries_[First].OwnSlices_.at("s").Number_;
  C.Entries_[First] = Restarted;
  C.run(Milliseconds(900));
  const OwnedSlice &Own = C.Entries_[C.owners().at(0)].OwnSlices_.at("s");
  cr_assert(Own.Predecessor_ == Predecessor::Ended);
  cr_assert_eq(Own.PredecessorClaim_, Former);
}

Test(claims, a_replacement_of_the_same_name_proves_no_end) {
  // The old VM may still run beside the one at the new address.
  Cell C(2);
  C.run(Milliseconds(1'000));
  std::size_t First = C.owners()[0];
  NodeRecord Other{nodeName(C.Entries_[First].Options_.Self_) + ".2", "new:1",
                   1'000};
  C.Silent_.insert(First);
  ledger::KeyedRecord R = makeNode(nodeName(Other.Node_), Other);
  R.Offset_ = C.Log_.size();
  C.Log_.push_back(R);
  C.deliver(R);
  C.run(Milliseconds(3'500));
  const OwnedSlice &Own = C.Entries_[C.owners().at(0)].OwnSlices_.at("s");
  cr_assert(Own.Predecessor_ == Predecessor::MayRun);
}

Test(claims, the_wait_for_inherited_leases_covers_owners_before_the_last) {
  constexpr Milliseconds Lease{5'400}, SelfFence{4'000};
  TimePoint Claimed{std::chrono::seconds(50)};
  OwnedSlice Own{9, 3, Predecessor::Ended, 7, Claimed};
  ledger::Roster Settled{{"w"}, 7, true};
  cr_assert(inheritedLeasesEnd(Own, Settled, Lease, SelfFence) ==
            Claimed + Lease);
  // The last owner did not know which tasks its predecessor left running.
  ledger::Roster Unsettled{{"w"}, 7, false};
  cr_assert(inheritedLeasesEnd(Own, Unsettled, Lease, SelfFence) ==
            Claimed + Lease + SelfFence);
  // The last owner wrote no roster: the newest one is of an owner before it.
  ledger::Roster Older{{"w"}, 3, true};
  cr_assert(inheritedLeasesEnd(Own, Older, Lease, SelfFence) ==
            Claimed + Lease + SelfFence);
  Own.Predecessor_ = Predecessor::MayRun;
  cr_assert(inheritedLeasesEnd(Own, Settled, Lease, SelfFence) ==
            Claimed + Lease + SelfFence);
}

Test(claims, a_late_heartbeat_of_an_earlier_process_proves_no_end) {
  Cell C(1);
  C.run(Milliseconds(1'000));
  ledger::KeyedRecord Earlier;
  for (const ledger::KeyedRecord &R : C.Log_)
    if (kindOf(R.Key_) == RecordKind::Node)
      Earlier = R;
  State Restarted;
  Restarted.Options_ = C.Entries_[0].Options_;
  Restarted.Options_.Self_ = "n0.2";
  for (const ledger::KeyedRecord &R : C.Log_)
    onRecord(Restarted, R, C.Now_);
  C.Entries_[0] = Restarted;
  C.run(Milliseconds(2'000));
  cr_assert_eq(C.owners().size(), 1u);
  // Another entry reads the earlier process's heartbeat as the VM's newest one.
  State Other;
  Other.Options_.Self_ = "n1.1";
  Other.Options_.Address_ = "n1:1";
  for (const ledger::KeyedRecord &R : C.Log_)
    onRecord(Other, R, C.Now_);
  Earlier.Offset_ = C.Log_.size();
  onRecord(Other, Earlier, C.Now_);
  TimePoint Now = C.Now_;
  for (int I = 0; I < 60; ++I) {
    Now += Milliseconds(25);
    onContact(Other, Now, Now);
    for (const Write &W : tick(Other, {"s"}, C.Log_.size(), Now))
      cr_assert(W.Kind_ != Write::Kind::Claim, "the owner is not silent yet");
  }
}

namespace {

/// \p Large entries with 0.5 cores and \p Small ones with 0.12, in that order.
Cell mixedCell(std::size_t Large, std::size_t Small) {
  Cell C(Large + Small);
  for (std::size_t I = 0; I < C.Entries_.size(); ++I)
    C.Entries_[I].Options_.Cpu_ = I < Large ? 500 : 120;
  return C;
}

std::size_t slicesOwned(const Cell &C, std::size_t From, std::size_t To) {
  std::size_t Out = 0;
  for (std::size_t I = From; I < To; ++I)
    if (!C.Silent_.count(I))
      Out += C.Entries_[I].OwnSlices_.size();
  return Out;
}

} // namespace

Test(claims, large_entries_claim_one_slice_each) {
  Cell C = mixedCell(10, 28);
  C.Wanted_ = {"s", "s~1", "s~2", "s~3", "s~4", "s~5", "t", "t~1"};
  C.run(Milliseconds(3'000));
  cr_assert_eq(slicesOwned(C, 0, 10), 8u);
  for (const State &S : C.Entries_)
    cr_assert_leq(S.OwnSlices_.size(), 1u);
}

Test(claims, small_entries_take_over_soon_when_no_large_one_is_alive) {
  // 1.9 s of silence, the jitter of claims, and less than a second more.
  Cell C = mixedCell(2, 6);
  C.run(Milliseconds(1'000));
  cr_assert_eq(slicesOwned(C, 0, 2), 1u);
  C.Silent_ = {0, 1};
  C.run(Milliseconds(3'200));
  cr_assert_eq(slicesOwned(C, 2, 8), 1u);
}

Test(claims, both_slices_of_a_killed_entry_are_taken_over) {
  Cell C = mixedCell(1, 3);
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
  Cell C(1);
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
void startWithSmallOwner(Cell &C) {
  C.Entries_[0].Options_.Cpu_ = 120;
  C.Entries_[1].Options_.Cpu_ = 1;
  C.run(Milliseconds(3'000));
  cr_assert_eq(C.Entries_[0].OwnSlices_.size(), 1u);
}

} // namespace

// Guards against SHORT: a small entry that claimed a slice while no large one
// was alive can't keep up with it and still owns it after they have returned.
Test(claims, an_overloaded_small_owner_hands_over_to_a_large_entry) {
  Cell C(2);
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
  Cell C(2);
  startWithSmallOwner(C);
  C.Entries_[1].Options_.Cpu_ = 500;
  C.run(Milliseconds(12'000));
  cr_assert_eq(C.Entries_[0].OwnSlices_.size(), 1u);
}

namespace {

/// An entry that has loaded the newest record of each key.
State loadNewest(const Cell &C, const State &Like) {
  std::map<std::string, ledger::KeyedRecord> Newest;
  for (const ledger::KeyedRecord &R : C.Log_)
    Newest[R.Key_] = R;
  State S;
  S.Options_ = Like.Options_;
  for (const auto &[Key, R] : Newest)
    onRecord(S, R, C.Now_);
  return S;
}

/// Stops the owner and returns the release that it wants to write.
Write stopOwner(Cell &C) {
  State &S = C.Entries_[C.owners().at(0)];
  S.Stopping_ = true;
  for (Write &W : tick(S, C.Wanted_, C.Log_.size(), C.Now_))
    if (W.Kind_ == Write::Kind::Release)
      return W;
  cr_assert_fail("the owner wrote no release");
  return {};
}

} // namespace

// Guards against LOST: the store executes the release of an earlier owner late,
// it becomes the newest record of the slice, and an entry that loads the topic
// claims the slice from its living owner with a generation that was used
// before.
Test(claims, a_late_release_does_not_replace_a_later_claim) {
  Cell C(3);
  C.run(Milliseconds(1'000));
  std::size_t First = C.owners()[0];
  Write Late = stopOwner(C);
  C.Silent_.insert(First);
  C.run(Milliseconds(3'000));
  std::size_t Second = C.owners().at(0);
  std::uint32_t Generation = C.Entries_[Second].OwnSlices_.at("s").Generation_;
  C.append(Late);
  C.Silent_.erase(First);
  C.Entries_[First] = loadNewest(C, C.Entries_[First]);
  C.run(Milliseconds(3'000));
  cr_assert_eq(C.owners().size(), 1u);
  cr_assert_eq(C.owners()[0], Second);
  cr_assert_eq(C.Entries_[Second].OwnSlices_.at("s").Generation_, Generation);
}

// Guards against slices without an owner: a release is rejected when another
// record was stored first, or refused, and must be written again.
Test(claims, a_release_that_is_not_stored_is_written_again) {
  for (StoreStatus Refusal : {StoreStatus::Moved, StoreStatus::NotDone}) {
    Cell C(2);
    C.run(Milliseconds(1'000));
    std::size_t First = C.owners()[0];
    Write Release = stopOwner(C);
    onWritten(C.Entries_[First], Release, {Refusal}, C.Now_);
    C.append({Write::Kind::Heartbeat, {}, makeNode("n9", {"n9.1", "n9:1", 1})});
    C.run(Milliseconds(800));
    cr_assert_eq(C.owners().size(), 1u);
    cr_assert_neq(C.owners()[0], First);
    cr_assert(C.Entries_[First].Releases_.empty());
  }
}

// Guards against a release that is repeated for ever, and against one that
// frees the slice of a later owner.
Test(claims, a_release_ends_when_another_entry_has_claimed_the_slice) {
  Cell C(2);
  C.run(Milliseconds(1'000));
  std::size_t First = C.owners()[0];
  Write Release = stopOwner(C);
  onWritten(C.Entries_[First], Release, {}, C.Now_);
  Write Claim{Write::Kind::Claim, "s",
              makeClaim("s", {"n9.1", Release.Generation_ + 2, 0, "n9:1", 1})};
  C.append(Claim);
  std::size_t Length = C.Log_.size();
  C.run(Milliseconds(600));
  for (std::size_t I = Length; I < C.Log_.size(); ++I)
    cr_assert_neq(C.Log_[I].Key_, "ss");
  cr_assert(C.Entries_[First].Releases_.empty());
}

// Guards against messages to an ended process, and against a dead holder that
// counts as alive: the store executes the last heartbeat of a process after the
// first one of the next process of its VM.
Test(claims, a_late_heartbeat_does_not_replace_that_of_a_later_process) {
  Cell C(1);
  State &S = C.Entries_[0];
  onRecord(S, makeNode("n7", {"n7.2", "n7:2", 9}), C.Now_);
  TimePoint SeenAt = C.Now_;
  C.Now_ += Milliseconds(1'000);
  onRecord(S, makeNode("n7", {"n7.1", "n7:1", 3}), C.Now_);
  cr_assert_eq(S.Nodes_.at("n7").Node_, "n7.2");
  cr_assert(S.Nodes_.at("n7").SeenAt_ == SeenAt);
  onRecord(S, makeNode("n7", {"n7.2", "n7:2", 9}), C.Now_);
  cr_assert(S.Nodes_.at("n7").SeenAt_ == C.Now_);
}
