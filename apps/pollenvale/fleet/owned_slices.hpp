/// \file
/// The slices that this entry owns. Each one has a SliceOwner for as long as
/// the entry holds its claim.
#pragma once

#include "fleet/slice_owner.hpp"

namespace pollenvale::fleet {

class OwnedSlices {
public:
  /// Creates the context of the owner of \p Slice.
  using MakeContext =
      std::function<SliceContext(const ownership::SliceName &Slice)>;

  explicit OwnedSlices(MakeContext Make) : MakeContext_(std::move(Make)) {}

  /// Adds owners for new claims and removes those of lost claims. Drops claims
  /// whose owner has ended, removes those of retired slices, and records in \p
  /// Claims since when this entry has been overloaded.
  void sync(ownership::State &Claims);
  /// What this entry may send for \p Slice.
  using AuthorityOver =
      std::function<ownership::Authority(const ownership::SliceName &Slice)>;
  /// Sends every call that is due. \p IsStoreStale tells for a partition
  /// whether the store's data for it is stale, so that a new owner could not
  /// load it.
  void
  runDueWork(const AuthorityOver &Authority,
             const std::function<bool(std::uint32_t Partition)> &IsStoreStale);

  void onCatalog();
  void onRecord(std::uint32_t Partition, const ledger::Change &Change);
  void onWorker(const scheduler::WorkerInfo &Info);
  void onWorkerGone(const WorkerId &Id);
  void onAdvice(const scheduler::AdviceCall &Call,
                const scheduler::AdviceReply &Reply);

  bool ownsPartition(std::uint32_t Partition) const;
  /// Whether some owner's scheduler has recently run late.
  bool isLate() const;
  bool empty() const { return Owners_.empty(); }
  std::size_t size() const { return Owners_.size(); }
  /// Number of workers of all slices.
  std::size_t workerCount() const;
  /// Adds the counters of all owners to \p All.
  void addCounters(Counters &All) const;

private:
  struct OwnedSlice {
    std::uint32_t Partition_ = 0;
    ownership::ClaimNumber Claim_ = 0;
    std::shared_ptr<SliceOwner> Owner_;
  };

  void addOwner(const ownership::SliceName &Slice,
                const ownership::OwnedSlice &Claim, Milliseconds SelfFence);

  MakeContext MakeContext_;
  std::map<ownership::SliceName, OwnedSlice> Owners_;
};

} // namespace pollenvale::fleet
