/// A follower that gets replies for another range of records.
#include "fleet/follower.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using ledger::StoreStatus;

namespace {

/// Holds calls until the test answers them.
struct HeldStore : ledger::Store {
  void append(ledger::AppendCall,
              ledger::ReplyHandler<ledger::AppendReply>) override {
    cr_assert_fail("a follower must not write");
  }
  void read(ledger::ReadCall,
            ledger::ReplyHandler<ledger::ReadReply> Done) override {
    Read_ = std::move(Done);
  }
  void readNewest(ledger::NewestCall,
                  ledger::ReplyHandler<ledger::NewestReply> Done) override {
    Newest_ = std::move(Done);
  }

  ledger::ReplyHandler<ledger::ReadReply> Read_;
  ledger::ReplyHandler<ledger::NewestReply> Newest_;
};

} // namespace

// Guards against LOST: the records of a reply for other offsets than requested
// are applied to the copy, although the reply causes a new load.
Test(follower, records_of_a_reply_for_other_offsets_are_ignored) {
  HeldStore Store;
  ledger::Tail Tail;
  std::vector<std::string> Keys;
  unsigned Loads = 0;
  auto F = std::make_shared<fleet::Follower>(
      Store, Tail,
      fleet::FollowerEvents{
          [&](const ledger::KeyedRecord &R) { Keys.push_back(R.Key_); },
          {},
          [] {},
          [&] { ++Loads; }});
  F->poll();
  ledger::NewestReply Page{StoreStatus::Done};
  Page.End_ = 5;
  std::exchange(Store.Newest_, nullptr)(Page);
  cr_assert(bool(Store.Read_));
  ledger::ReadReply OtherOffsets{StoreStatus::Done, {{"k", "v", 9}}, 10, 10};
  OtherOffsets.Records_.push_back({"k2", "v", 3});
  std::exchange(Store.Read_, nullptr)(OtherOffsets);
  cr_assert(Keys.empty());
  cr_assert(Tail.Loading_);
  cr_assert_eq(Loads, 1u);
  F->stop();
}
