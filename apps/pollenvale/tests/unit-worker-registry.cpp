/// The worker registry skips invalid records and those of other writers.
#include "fleet/worker_registry.hpp"

#include <criterion/criterion.h>
#include <thread>

using namespace pollenvale;
using fleet::WorkerRegistry;
using ledger::StoreStatus;

namespace {

std::string workerRecord(const std::string &Address) {
  return R"({"service":"s","address":")" + Address +
         R"(","zone":"north","state":"ready","labels":["a","r1-3"],)"
         R"("capacity":{"cpu":16000,"memMb":32768,"gpus":0}})";
}

std::string nested() {
  constexpr std::size_t Levels = 130'000;
  return R"({"a":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}";
}

const std::string InvalidRecords[] = {
    nested(), workerRecord("10.0.0.2:99999"),
    workerRecord("10.0.0.2:80").replace(9, 3, "1e999"), "\xff\xfe", "[]"};

/// Holds calls until the test answers them.
struct HeldStore : ledger::Store {
  void append(ledger::AppendCall,
              ledger::ReplyHandler<ledger::AppendReply>) override {
    cr_assert_fail("the registry must not write");
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

  std::string After_; ///< AfterKey_ of the last requested page.
  ledger::ReplyHandler<ledger::ReadReply> Read_;
  ledger::ReplyHandler<ledger::NewestReply> Newest_;
};

struct Registry {
  HeldStore Store_;
  Counters Counters_;
  std::vector<WorkerId> RemovedIds_;
  WorkerRegistry Workers_{
      Store_,
      Counters_,
      {[](const scheduler::WorkerInfo &) {},
       [this](const WorkerId &Id) { RemovedIds_.push_back(Id); }, [] {}}};

  Registry() { Workers_.follow(); }
  ~Registry() { Workers_.unfollow(); }

  /// Answers the pending call for a page.
  void load(std::vector<ledger::KeyedRecord> Records, Offset End) {
    ledger::NewestReply R;
    R.Status_ = StoreStatus::Done;
    R.Records_ = std::move(Records);
    R.End_ = End;
    std::exchange(Store_.Newest_, nullptr)(R);
  }

  /// Answers the pending read. \p End: of the partition; where the read ended
  /// by default.
  void read(std::vector<ledger::KeyedRecord> Records, Offset Next,
            std::optional<Offset> End = {}) {
    ledger::ReadReply R;
    R.Status_ = StoreStatus::Done;
    R.Records_ = std::move(Records);
    R.Next_ = Next;
    R.End_ = End.value_or(Next);
    std::exchange(Store_.Read_, nullptr)(R);
  }

  bool holds(const WorkerId &Id) const {
    return Workers_.workers().count(Id) > 0;
  }
};

} // namespace

// Guards against an invalid record that crashes the reader or stops it during a
// load: the records before and after it are used.
Test(worker_registry, a_load_skips_an_invalid_record) {
  for (const std::string &Invalid : InvalidRecords) {
    Registry R;
    R.load({{"i-1", workerRecord("10.0.0.1:80"), 0},
            {"i-2", Invalid, 1},
            {"i-3", workerRecord("10.0.0.3:80"), 2}},
           3);
    cr_assert(R.Workers_.isLoaded());
    cr_assert(R.holds("i-1") && R.holds("i-3") && !R.holds("i-2"));
    cr_assert_eq(R.Counters_["worker-unreadable"], 1u);
  }
}

// Guards against an invalid record that crashes the reader or stops it from
// reading on.
Test(worker_registry, reads_skip_an_invalid_record) {
  for (const std::string &Invalid : InvalidRecords) {
    Registry R;
    R.load({{"i-1", workerRecord("10.0.0.1:80"), 0}}, 1);
    cr_assert(bool(R.Store_.Read_));
    R.read({{"i-2", Invalid, 1}, {"i-3", workerRecord("10.0.0.3:80"), 2}}, 3);
    cr_assert(R.holds("i-1") && R.holds("i-3") && !R.holds("i-2"));
  }
}

// Guards against a worker that stays in use after its record became invalid.
Test(worker_registry, an_invalid_record_removes_a_known_worker) {
  for (const std::string &Invalid : InvalidRecords) {
    Registry R;
    R.load({{"i-1", workerRecord("10.0.0.1:80"), 0}}, 1);
    R.read({{"i-1", Invalid, 1}}, 2);
    cr_assert_not(R.holds("i-1"));
    cr_assert_eq(R.RemovedIds_, std::vector<WorkerId>{"i-1"});
  }
}

// Guards against a worker id that can't be sent in a header.
Test(worker_registry, a_record_with_an_unprintable_id_is_ignored) {
  Registry R;
  R.load({{"i-\xff", workerRecord("10.0.0.1:80"), 0},
          {"i-3", workerRecord("10.0.0.3:80"), 2}},
         3);
  cr_assert_eq(R.Workers_.workers().size(), 1u);
  cr_assert(R.holds("i-3"));
}

// Guards against DRAIN: an owner that could not keep up with the registry
// started tasks on workers that had reported to drain 4 s before.
Test(worker_registry, it_is_behind_while_old_records_are_unread) {
  constexpr Milliseconds NoLimit{0}, LongLimit{60'000};
  Registry R;
  R.load({{"i-1", workerRecord("10.0.0.1:80"), 0}}, 1);
  R.read({}, 1);
  cr_assert_not(R.Workers_.isBehind(NoLimit));
  constexpr Milliseconds LongerThanReadsTake{1'900};
  std::this_thread::sleep_for(LongerThanReadsTake);
  // A store that does not answer is no reason to stop.
  cr_assert_not(R.Workers_.isBehind(NoLimit));
  R.Workers_.poll();
  R.read({{"i-2", workerRecord("10.0.0.2:80"), 1}}, 2, 900);
  cr_assert(R.Workers_.isBehind(NoLimit));
  cr_assert_not(R.Workers_.isBehind(LongLimit));
  R.read({{"i-3", workerRecord("10.0.0.3:80"), 899}}, 900);
  cr_assert_not(R.Workers_.isBehind(NoLimit));
}
