/// Until when former owners of a slice may send orders.
#include "claims_cell.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace pollenvale;
using namespace pollenvale::ownership;

namespace {

constexpr Milliseconds Lease{5'400};

TimePoint leasesEnd(const State &Entry) {
  const OwnedSlice &Own = Entry.OwnSlices_.at("s");
  ledger::Roster Settled{{"w"}, Own.PredecessorClaim_, true};
  return inheritedLeasesEnd(Own, Settled, {Lease, Lease},
                            Entry.Options_.SelfFence_);
}

/// Stores a heartbeat of the process with this uptime.
void storeHeartbeat(ClaimsCell &C, const State &Entry, Milliseconds Uptime) {
  NodeRecord Late{Entry.Options_.Self_, Entry.Options_.Address_,
                  Entry.StartOffset_, 0, Uptime.count()};
  ledger::KeyedRecord R = makeNode(nodeName(Late.Node_), Late);
  R.Offset_ = C.Log_.size();
  C.Log_.push_back(R);
  C.deliver(R);
}

Milliseconds uptime(const ClaimsCell &C, const State &Entry) {
  return elapsed(Entry.Options_.StartedAt_, C.Now_);
}

} // namespace

// Guards against LOST: the owner's VM is lost for good as the store falls
// silent. All inherited tasks waited for orders that it might have sent until
// 4 s after the next claim, though the store was down for everybody before it.
Test(former_owners, an_outage_before_the_claim_counts) {
  ClaimsCell C(3);
  C.run(Milliseconds(10'000));
  C.Silent_.insert(C.owners().at(0));
  TimePoint KilledAt = C.Now_;
  C.StoreDown_ = true;
  C.run(Milliseconds(4'200));
  C.StoreDown_ = false;
  C.run(Milliseconds(3'000));
  const State &Next = C.Entries_[C.owners().at(0)];
  cr_assert(Next.OwnSlices_.at("s").Predecessor_ == Predecessor::MayRun);
  cr_assert_leq(leasesEnd(Next), KilledAt + Next.Options_.SelfFence_ + Lease);
}

// Guards against LOST: the store executes the last heartbeat of the lost owner
// only when it is back.
Test(former_owners, a_heartbeat_that_is_stored_late_is_not_a_late_heartbeat) {
  ClaimsCell C(3);
  C.run(Milliseconds(10'000));
  std::size_t First = C.owners().at(0);
  Milliseconds LastUptime = uptime(C, C.Entries_[First]);
  TimePoint KilledAt = C.Now_;
  C.Silent_.insert(First);
  C.StoreDown_ = true;
  C.run(Milliseconds(4'200));
  C.StoreDown_ = false;
  C.step();
  storeHeartbeat(C, C.Entries_[First], LastUptime);
  C.run(Milliseconds(3'000));
  const State &Next = C.Entries_[C.owners().at(0)];
  constexpr Milliseconds ForDrift{100};
  cr_assert_leq(leasesEnd(Next),
                KilledAt + Next.Options_.SelfFence_ + Lease + ForDrift);
}

// Guards against TWICE: an entry that began after the last heartbeat of the
// owner was stored knows only that the owner sent it before.
Test(former_owners, an_entry_that_saw_no_heartbeat_waits_from_its_own_load) {
  ClaimsCell C(2);
  C.run(Milliseconds(10'000));
  std::size_t First = C.owners().at(0);
  C.Silent_ = {0, 1};
  C.run(Milliseconds(1'000));
  State Late;
  Late.Options_ = C.Entries_[1 - First].Options_;
  Late.Options_.Self_ = nodeName(Late.Options_.Self_) + ".2";
  Late.Options_.StartedAt_ = C.Now_;
  std::set<std::string> Keys;
  for (const ledger::KeyedRecord &R : C.Log_) {
    Keys.insert(R.Key_);
    onRecord(Late, R, C.Now_);
  }
  onLoaded(Late, Keys, C.Log_.size(), C.Now_);
  TimePoint LoadedAt = C.Now_;
  C.Entries_[1 - First] = Late;
  C.Silent_ = {First};
  C.run(Milliseconds(3'000));
  cr_assert_geq(leasesEnd(C.Entries_[1 - First]),
                LoadedAt + Late.Options_.SelfFence_ + Lease);
}

// Guards against TWICE: later owners count from the newest heartbeat that is
// stored, so an owner that can read and not write has to stop, too.
Test(former_owners, an_owner_whose_heartbeats_are_not_stored_stops) {
  ClaimsCell C(1);
  C.run(Milliseconds(10'000));
  State &S = C.Entries_[0];
  cr_assert(maySendOrders(S, "s", C.Now_));
  for (TimePoint End = C.Now_ + S.Options_.SelfFence_; C.Now_ < End;) {
    C.Now_ += Milliseconds(25);
    onContact(S, C.Now_, C.Now_);
    for (const Write &W : tick(S, {"s"}, C.Log_.size(), C.Now_))
      onWritten(S, W, {}, C.Now_);
  }
  cr_assert_not(maySendOrders(S, "s", C.Now_));
}

// Guards against TWICE: a heartbeat that is stored after a later claim shows
// that claim to the owner as soon as it reads the heartbeat back.
Test(former_owners, a_stored_heartbeat_counts_once_it_has_been_read) {
  ClaimsCell C(1);
  C.run(Milliseconds(10'000));
  State &S = C.Entries_[0];
  std::vector<ledger::KeyedRecord> Unread;
  for (TimePoint End = C.Now_ + S.Options_.SelfFence_; C.Now_ < End;) {
    C.Now_ += Milliseconds(25);
    onContact(S, C.Now_, C.Now_);
    for (const Write &W : tick(S, {"s"}, C.Log_.size(), C.Now_)) {
      ledger::KeyedRecord R = W.Record_;
      R.Offset_ = C.Log_.size() + Unread.size();
      Unread.push_back(R);
      onWritten(S, W, {ledger::StoreStatus::Done, R.Offset_, R.Offset_ + 1},
                C.Now_);
    }
  }
  cr_assert_not(Unread.empty());
  cr_assert_not(maySendOrders(S, "s", C.Now_));
  onRecord(S, Unread.back(), C.Now_);
  cr_assert(maySendOrders(S, "s", C.Now_));
}

// Guards against LOST: the owner before the last one waits with the last one's
// claim, too, if it was lost before that.
Test(former_owners, an_owner_before_the_last_counts_from_its_own_heartbeats) {
  ClaimsCell C(3);
  C.run(Milliseconds(10'000));
  TimePoint FirstLostAt = C.Now_;
  C.Silent_.insert(C.owners().at(0));
  C.run(Milliseconds(3'000));
  C.Silent_.insert(C.owners().at(0));
  TimePoint SecondLostAt = C.Now_;
  C.run(Milliseconds(3'000));
  const State &Third = C.Entries_[C.owners().at(0)];
  const OwnedSlice &Own = Third.OwnSlices_.at("s");
  cr_assert_eq(Own.Generation_, 3u);
  cr_assert(Own.EarlierFencedBy_);
  cr_assert_leq(*Own.EarlierFencedBy_, FirstLostAt + Third.Options_.SelfFence_);
  ledger::Roster Unsettled{{"w"}, Own.PredecessorClaim_, false};
  cr_assert_leq(inheritedLeasesEnd(Own, Unsettled, {Lease, Lease},
                                   Third.Options_.SelfFence_),
                SecondLostAt + Third.Options_.SelfFence_ + Lease);
}

// Guards against TWICE: a load shows only the newest claim and, of two VMs of
// the same name, only the newest heartbeat.
Test(former_owners, a_load_tells_nothing_of_what_it_omits) {
  ClaimsCell C(2);
  C.run(Milliseconds(10'000));
  std::size_t First = C.owners().at(0);
  State &Reader = C.Entries_[1 - First];
  TimePoint Before = Reader.Slices_.at("s").HolderSentBy_;
  C.Now_ += Milliseconds(3'000);
  onLoaded(Reader, {"ss"}, C.Log_.size(), C.Now_);
  cr_assert_gt(Reader.Slices_.at("s").HolderSentBy_, Before);
  cr_assert(Reader.Slices_.at("s").HolderSentBy_ == C.Now_);
  // Two claims later; the holder in between is not shown.
  ClaimRecord R{"n9.1", 3, 0, "n9:1", 1, true};
  ledger::KeyedRecord Claim = makeClaim("s", R);
  Claim.Offset_ = C.Log_.size() + 1;
  C.Now_ += Milliseconds(3'000);
  onRecord(Reader, Claim, C.Now_);
  cr_assert(Reader.Slices_.at("s").FormerHolderFencedBy_ ==
            C.Now_ + Reader.Options_.SelfFence_);
}

// An owner of an earlier build follows only what it reads.
Test(former_owners, an_owner_of_an_earlier_build_counts_from_the_claim) {
  ClaimsCell C(2);
  ClaimRecord R{"old.1", 1, 0, "old:1", 1};
  ledger::KeyedRecord Claim = makeClaim("s", R);
  C.Log_.push_back(Claim);
  C.deliver(Claim);
  C.run(Milliseconds(4'000));
  const State &Next = C.Entries_[C.owners().at(0)];
  const OwnedSlice &Own = Next.OwnSlices_.at("s");
  cr_assert_not(Own.PredecessorFencedBy_);
  cr_assert_eq(leasesEnd(Next),
               Own.ClaimedAt_ + Next.Options_.SelfFence_ + Lease);
}

// Guards against LOST: no lease lasts much longer than the fence of its owner,
// however long it may last when it is given before.
Test(former_owners, leases_end_soon_after_their_owner_has_fenced_itself) {
  constexpr Milliseconds SelfFence{4'000}, AfterFence{4'300};
  TimePoint Claimed{std::chrono::seconds(50)};
  OwnedSlice Own{9, 3, Predecessor::MayRun, 7, Claimed};
  ledger::Roster Settled{{"w"}, 7, true};
  auto End = [&](const ledger::Roster &R) {
    return inheritedLeasesEnd(Own, R, {Lease, AfterFence}, SelfFence);
  };
  cr_assert(End(Settled) == Claimed + SelfFence + Lease);
  Own.PredecessorFencedBy_ = Claimed + Milliseconds(1'000);
  cr_assert(End(Settled) == *Own.PredecessorFencedBy_ + AfterFence);
  // It has ended long before it would have fenced itself.
  Own.PredecessorEndedBy_ = Claimed - Milliseconds(2'000);
  cr_assert(End(Settled) == *Own.PredecessorEndedBy_ + Lease);
  ledger::Roster Unsettled{{"w"}, 7, false};
  Own.EarlierFencedBy_ = Claimed;
  cr_assert(End(Unsettled) == *Own.EarlierFencedBy_ + AfterFence);
}

// Guards against LOST: an owner that stored no roster has given no lease, but
// each of several such owners in a row prolonged the wait.
Test(former_owners, an_owner_without_a_roster_gave_no_lease) {
  constexpr Milliseconds SelfFence{4'000};
  TimePoint Claimed{std::chrono::seconds(50)};
  OwnedSlice Own{9, 3, Predecessor::MayRun, 7, Claimed};
  Own.PredecessorFencedBy_ = Claimed + Milliseconds(3'000);
  Own.EarlierFencedBy_ = Claimed - Milliseconds(1'000);
  auto End = [&](const ledger::Roster &R) {
    return inheritedLeasesEnd(Own, R, {Lease, Lease}, SelfFence);
  };
  cr_assert(End({{"w"}, 5, true}) == *Own.EarlierFencedBy_ + Lease);
  cr_assert(End({{"w"}, 7, true}) == *Own.PredecessorFencedBy_ + Lease);
}

// Guards against LOST: an owner that is back in contact needs a stored
// heartbeat before it may order, and its last one may hang in the store.
Test(former_owners, a_heartbeat_is_sent_as_soon_as_the_store_is_back) {
  ClaimsCell C(1);
  C.run(Milliseconds(10'000));
  State &S = C.Entries_[0];
  auto Heartbeats = [&] {
    C.Now_ += Milliseconds(25);
    auto Writes = tick(S, {"s"}, C.Log_.size(), C.Now_);
    return std::count_if(Writes.begin(), Writes.end(), [](const Write &W) {
      return W.Kind_ == Write::Kind::Heartbeat;
    });
  };
  C.Now_ += Milliseconds(4'200);
  cr_assert_eq(Heartbeats(), 1, "without an answer");
  C.Now_ += Milliseconds(100);
  cr_assert_eq(Heartbeats(), 0);
  onContact(S, C.Now_, C.Now_);
  cr_assert_eq(Heartbeats(), 1);
}

// Guards against an owner that keeps its slices after its way to the store has
// failed: its heartbeats did not wait for each other, and later ones went
// another way, while its other writes were held up.
Test(former_owners, an_owner_without_an_answer_to_its_heartbeat_is_replaced) {
  ClaimsCell C(2);
  C.run(Milliseconds(10'000));
  std::size_t Owner = C.owners().front(), Read = C.Log_.size();
  State &S = C.Entries_[Owner];
  C.Silent_ = {Owner};
  std::optional<Write> Unanswered;
  TimePoint TimedOutAt{};
  for (TimePoint End = C.Now_ + Milliseconds(4'000); C.Now_ < End;) {
    C.step();
    for (; Read < C.Log_.size(); ++Read)
      onRecord(S, C.Log_[Read], C.Now_);
    onContact(S, C.Now_, C.Now_);
    for (const Write &W : tick(S, C.Wanted_, C.Log_.size(), C.Now_)) {
      if (TimedOutAt != TimePoint{}) {
        onWritten(S, W, C.append(W), C.Now_);
        continue;
      }
      Unanswered = W;
      TimedOutAt = C.Now_ + ledger::AppendCall{}.Timeout_;
    }
    if (Unanswered && C.Now_ >= TimedOutAt) {
      onWritten(S, *Unanswered, {}, C.Now_);
      Unanswered.reset();
    }
  }
  cr_assert(S.OwnSlices_.empty());
  cr_assert_eq(C.Entries_[1 - Owner].OwnSlices_.count("s"), 1);
}

namespace {

/// An entry that pauses after each read, as those of a fleet do.
struct PausingReader {
  static constexpr Milliseconds Pause{200};
  State Claims_;
  std::size_t Read_ = 0;
  TimePoint NextReadAt_{};

  void read(const ClaimsCell &C) {
    if (C.Now_ < NextReadAt_ || Read_ == C.Log_.size())
      return;
    for (; Read_ < C.Log_.size(); ++Read_)
      onRecord(Claims_, C.Log_[Read_], C.Now_);
    NextReadAt_ = C.Now_ + Pause;
  }
};

} // namespace

// Guards against LOST: the heartbeats of several owners come in the same order
// for ever, so that an entry reads each one of the lost owner late, and counts
// its leases from then.
Test(former_owners, no_owner_is_always_read_late) {
  ClaimsCell C(3);
  C.Wanted_ = {"s", "t", "u"};
  PausingReader Reader;
  auto Run = [&](Milliseconds Time, auto OnStep) {
    for (TimePoint End = C.Now_ + Time; C.Now_ < End; OnStep()) {
      C.step();
      Reader.read(C);
    }
  };
  Run(Milliseconds(10'000), [] {});
  for (std::size_t I = 0; I < C.Entries_.size(); ++I)
    C.Entries_[I].HeartbeatSentAt_ -= Milliseconds(150) * I;
  Run(Milliseconds(10'000), [] {});
  std::size_t Moments = 0, Late = 0;
  Run(Milliseconds(60'000), [&] {
    for (const State &Owner : C.Entries_)
      for (const auto &[Slice, Own] : Owner.OwnSlices_) {
        Milliseconds Delay =
            elapsed(Owner.HeartbeatSentAt_,
                    Reader.Claims_.Slices_[Slice].HolderSentBy_);
        ++Moments;
        Late += Delay > PausingReader::Pause / 2;
      }
  });
  cr_assert_gt(Moments, 0);
  cr_assert_lt(Late * 10, Moments);
}

// Guards against an owner that stops sending orders while the store is slow for
// every entry: its heartbeats wait for each other.
Test(former_owners, an_owner_on_a_slow_store_keeps_its_slices) {
  constexpr Milliseconds AppendTime{1'500};
  ClaimsCell C(2);
  C.run(Milliseconds(10'000));
  std::size_t Owner = C.owners().front();
  std::vector<std::pair<TimePoint, Write>> Waiting;
  for (TimePoint End = C.Now_ + Milliseconds(60'000); C.Now_ < End;) {
    C.Now_ += Milliseconds(25);
    for (State &S : C.Entries_)
      onContact(S, C.Now_, C.Now_);
    if (!Waiting.empty() && Waiting.front().first <= C.Now_) {
      Write W = Waiting.front().second;
      Waiting.erase(Waiting.begin());
      onWritten(C.Entries_[Owner], W, C.append(W), C.Now_);
    }
    for (const Write &W :
         tick(C.Entries_[Owner], C.Wanted_, C.Log_.size(), C.Now_))
      Waiting.push_back({C.Now_ + AppendTime, W});
    State &Other = C.Entries_[1 - Owner];
    tick(Other, C.Wanted_, C.Log_.size(), C.Now_);
    cr_assert(Other.ClaimsInFlight_.empty());
    cr_assert(maySendOrders(C.Entries_[Owner], "s", C.Now_));
  }
}
