/// \file
/// The slices that this entry owns: begun with their claims, ended with them.
#pragma once

#include "fleet/slice_owner.hpp"

namespace pollenvale::fleet {

class OwnedSlices {
public:
  using MakeContext = std::function<SliceContext(std::uint32_t Partition)>;

  explicit OwnedSlices(MakeContext Make) : Make_(std::move(Make)) {}

  /// Begins owners of new claims and ends those of lost ones.
  void sync(ownership::State &Claims);
  /// Makes every call that is due. \p StoreAway tells whether a new owner of
  /// jobs in a partition could not read what it needs.
  void turn(bool MayOrder,
            const std::function<bool(std::uint32_t Partition)> &StoreAway);

  void onCatalog();
  void onRecord(std::uint32_t Partition, const ledger::Change &Change);
  void onWorker(const scheduler::WorkerInfo &Info);
  void onWorkerGone(const WorkerId &Id);
  void onAdvice(const scheduler::AdviceCall &Call,
                const scheduler::AdviceReply &Reply);

  bool ownsPartition(std::uint32_t Partition) const;
  /// Some owner's turns were late a moment ago.
  bool isLate() const;
  bool empty() const { return Owners_.empty(); }
  std::size_t size() const { return Owners_.size(); }
  void addCounters(Counters &All) const;

private:
  struct Entry {
    std::uint32_t Partition_ = 0;
    ownership::ClaimNumber Claim_ = 0;
    std::shared_ptr<SliceOwner> Owner_;
  };

  void begin(const ownership::SliceName &Slice,
             const ownership::OwnedSlice &Own, Milliseconds SelfFence);

  MakeContext Make_;
  std::map<ownership::SliceName, Entry> Owners_;
};

} // namespace pollenvale::fleet
