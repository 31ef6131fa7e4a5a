/// Following the registry of workers past entries of other writers.
#include "fleet/worker_registry.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using fleet::WorkerRegistry;
using ledger::StoreStatus;

namespace {

std::string entry(const std::string &Address) {
  return R"({"service":"s","address":")" + Address +
         R"(","zone":"north","state":"ready","labels":["a","r1-3"],)"
         R"("capacity":{"cpu":16000,"memMb":32768,"gpus":0}})";
}

std::string nested() {
  constexpr std::size_t Levels = 130'000;
  return R"({"a":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}";
}

const std::string OddEntries[] = {nested(), entry("10.0.0.2:99999"),
                                  entry("10.0.0.2:80").replace(9, 3, "1e999"),
                                  "\xff\xfe", "[]"};

/// Holds calls until the test answers them.
struct HeldStore : ledger::Store {
  void append(ledger::AppendCall,
              ledger::ReplyHandler<ledger::AppendReply>) override {
    cr_assert_fail("the registry is read only");
  }
  void read(ledger::ReadCall,
            ledger::ReplyHandler<ledger::ReadReply> Done) override {
    Read_ = std::move(Done);
  }
  void readNewest(ledger::NewestCall Call,
                  ledger::ReplyHandler<ledger::NewestReply> Done) override {
    After_ = Call.AfterKey_;
    Newest_ = std::move(Done);
  }

  std::string After_; ///< Of the last page asked for.
  ledger::ReplyHandler<ledger::ReadReply> Read_;
  ledger::ReplyHandler<ledger::NewestReply> Newest_;
};

struct Registry {
  HeldStore Store_;
  Counters Counters_;
  std::vector<WorkerId> Gone_;
  WorkerRegistry Workers_{Store_,
                          Counters_,
                          {[](const scheduler::WorkerInfo &) {},
                           [this](const WorkerId &Id) { Gone_.push_back(Id); },
                           [] {}}};

  Registry() { Workers_.follow(); }
  ~Registry() { Workers_.leave(); }

  /// Answers the open call for a page.
  void load(std::vector<ledger::KeyedRecord> Records, Offset End) {
    ledger::NewestReply R;
    R.Status_ = StoreStatus::Done;
    R.Records_ = std::move(Records);
    R.End_ = End;
    std::exchange(Store_.Newest_, nullptr)(R);
  }

  /// Answers the open read.
  void read(std::vector<ledger::KeyedRecord> Records, Offset Next) {
    ledger::ReadReply R;
    R.Status_ = StoreStatus::Done;
    R.Records_ = std::move(Records);
    R.Next_ = R.End_ = Next;
    std::exchange(Store_.Read_, nullptr)(R);
  }

  bool holds(const WorkerId &Id) const {
    return Workers_.workers().count(Id) > 0;
  }
};

} // namespace

// Guards against an odd entry that ends its reader or stops it from following:
// the entries before and after it hold.
Test(worker_registry, it_loads_past_an_odd_entry) {
  for (const std::string &Odd : OddEntries) {
    Registry R;
    R.load({{"i-1", entry("10.0.0.1:80"), 0},
            {"i-2", Odd, 1},
            {"i-3", entry("10.0.0.3:80"), 2}},
           3);
    cr_assert(R.Workers_.isLoaded());
    cr_assert(R.holds("i-1") && R.holds("i-3") && !R.holds("i-2"));
    cr_assert_eq(R.Counters_["worker-unreadable"], 1u);
  }
}

// Guards against an odd entry that ends its reader or stops it from following.
Test(worker_registry, it_reads_on_past_an_odd_entry) {
  for (const std::string &Odd : OddEntries) {
    Registry R;
    R.load({{"i-1", entry("10.0.0.1:80"), 0}}, 1);
    cr_assert(bool(R.Store_.Read_));
    R.read({{"i-2", Odd, 1}, {"i-3", entry("10.0.0.3:80"), 2}}, 3);
    cr_assert(R.holds("i-1") && R.holds("i-3") && !R.holds("i-2"));
  }
}

Test(worker_registry, an_odd_entry_under_the_id_of_a_worker_names_it_no_more) {
  for (const std::string &Odd : OddEntries) {
    Registry R;
    R.load({{"i-1", entry("10.0.0.1:80"), 0}}, 1);
    R.read({{"i-1", Odd, 1}}, 2);
    cr_assert_not(R.holds("i-1"));
    cr_assert_eq(R.Gone_, std::vector<WorkerId>{"i-1"});
  }
}

Test(worker_registry, an_id_that_is_not_printable_names_no_worker) {
  Registry R;
  R.load(
      {{"i-\xff", entry("10.0.0.1:80"), 0}, {"i-3", entry("10.0.0.3:80"), 2}},
      3);
  cr_assert_eq(R.Workers_.workers().size(), 1u);
  cr_assert(R.holds("i-3"));
}
