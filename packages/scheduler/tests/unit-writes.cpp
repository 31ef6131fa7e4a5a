/// Contents and number of the writes of the owner to the store.
#include "scheduler/scheduler.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::scheduler;

namespace {

constexpr TimePoint T0{std::chrono::seconds(1'000)};
constexpr std::size_t MaxCallBytes = 2'000'000, MaxRecordBytes = 262'144;

/// An owner with the progress of \p Jobs jobs, each of \p Tasks tasks, to
/// write.
struct WritingOwner {
  State State_ = makeState({}, {}, {});
  TimePoint Now_ = T0;

  WritingOwner(std::size_t Jobs, std::uint32_t Tasks,
               ledger::StoreLimits Limits = {}) {
    State_.Options_.StoreLimits_ = Limits;
    ledger::ReplicatedJob Row;
    Row.Accepted_.Spec_.Steps_.resize(1);
    Row.Accepted_.Spec_.Steps_[0].Count_ = Tasks;
    for (std::size_t I = 0; I < Jobs; ++I)
      onJob(State_, "j" + std::to_string(I), Row, false, Now_, 0);
    // A refused write has the progress of all jobs written again.
    onWriteReply(State_, next().at(0).Id_, false, Now_);
  }

  /// The writes of the next tick.
  std::vector<WriteCall> next() {
    Now_ += Milliseconds(500);
    Outbox Out;
    tick(State_, Now_, 0, Out);
    return Out.Writes_;
  }
};

std::size_t bytesOf(const WriteCall &Call) {
  constexpr std::size_t FrameBytes = 5;
  std::size_t Bytes = 0;
  for (const ledger::KeyedRecord &R : Call.Records_)
    Bytes += FrameBytes + R.Key_.size() + R.Value_.size();
  return Bytes;
}

} // namespace

// Guards against endless writes: the store refused a write that exceeded its
// limit, and the owner repeated the same write.
Test(writes, a_write_fits_into_a_call_and_the_rest_follows) {
  constexpr std::size_t Jobs = 250;
  WritingOwner O(Jobs, 10'000);
  std::set<std::string> Written;
  std::size_t Writes = 0;
  for (auto Calls = O.next(); !Calls.empty(); Calls = O.next()) {
    const WriteCall &Call = Calls.at(0);
    cr_assert_leq(bytesOf(Call), MaxCallBytes - MaxRecordBytes);
    for (const ledger::KeyedRecord &R : Call.Records_)
      if (ledger::nameOf(R.Key_).Kind_ == ledger::RecordKind::Progress)
        cr_assert(Written.insert(R.Key_).second, "%s", R.Key_.c_str());
    onWriteReply(O.State_, Call.Id_, true, O.Now_);
    cr_assert_leq(++Writes, Jobs);
  }
  cr_assert_eq(Written.size(), Jobs);
}

Test(writes, short_records_share_a_write) {
  WritingOwner O(100, 10);
  cr_assert_geq(O.next().at(0).Records_.size(), 100u);
}

// Guards against endless writes to a store whose limit of a call is lower than
// usual.
Test(writes, a_write_fits_into_a_call_of_any_store) {
  constexpr std::size_t Jobs = 40;
  for (std::size_t CallBytes : {30'000u, 60'000u, 200'000u}) {
    ledger::StoreLimits Limits{CallBytes / 2, CallBytes};
    WritingOwner O(Jobs, 1'000, Limits);
    std::set<std::string> Written;
    for (auto Calls = O.next(); !Calls.empty(); Calls = O.next()) {
      const WriteCall &Call = Calls.at(0);
      cr_assert_leq(bytesOf(Call), CallBytes);
      for (const ledger::KeyedRecord &R : Call.Records_)
        if (ledger::nameOf(R.Key_).Kind_ == ledger::RecordKind::Progress)
          cr_assert(Written.insert(R.Key_).second, "%s", R.Key_.c_str());
      onWriteReply(O.State_, Call.Id_, true, O.Now_);
    }
    cr_assert_eq(Written.size(), Jobs);
  }
}
