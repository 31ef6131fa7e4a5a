#include "fleet/owned_slices.hpp"

#include "fleet/clock.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace pollenvale::fleet {

using observe::Level;

void OwnedSlices::sync(ownership::State &Claims) {
  for (auto It = Owners_.begin(); It != Owners_.end();) {
    OwnedSlice &Owned = It->second;
    auto Claim = Claims.OwnSlices_.find(It->first);
    bool ClaimLost = Claim == Claims.OwnSlices_.end() ||
                     Claim->second.Number_ != Owned.Claim_;
    bool Retired = Owned.Owner_->isRetired();
    if (!ClaimLost && !Retired && !Owned.Owner_->hasEnded()) {
      Owned.Owner_->onClaim(Claim->second);
      ++It;
      continue;
    }
    if (!ClaimLost && Retired)
      ownership::removeSlice(Claims, It->first);
    else if (!ClaimLost)
      ownership::forgetSlice(Claims, It->first);
    Owned.Owner_->stop();
    observe::log(Level::Info, "slice-left",
                 {{"slice", It->first}, {"retired", Retired}});
    It = Owners_.erase(It);
  }
  for (const auto &[Slice, Claim] : Claims.OwnSlices_)
    if (!Owners_.count(Slice))
      addOwner(Slice, Claim, Claims.Options_.SelfFence_);
  if (!isLate())
    Claims.OverloadedSince_.reset();
  else if (!Claims.OverloadedSince_)
    Claims.OverloadedSince_ = now();
}

void OwnedSlices::addOwner(const ownership::SliceName &Slice,
                           const ownership::OwnedSlice &Claim,
                           Milliseconds SelfFence) {
  observe::log(Level::Info, "slice-claimed",
               {{"slice", Slice},
                {"claim", Claim.Number_},
                {"generation", Claim.Generation_},
                {"predecessor", toString(Claim.Predecessor_)}});
  SliceContext Context = MakeContext_(Slice);
  std::uint32_t Partition = Context.PartitionNumber_;
  auto Owner =
      std::make_shared<SliceOwner>(std::move(Context), Slice, Claim, SelfFence);
  Owners_[Slice] = {Partition, Claim.Number_, std::move(Owner)};
}

void OwnedSlices::runDueWork(
    const AuthorityOver &Authority,
    const std::function<bool(std::uint32_t Partition)> &IsStoreStale) {
  for (auto &[Slice, Owned] : Owners_)
    Owned.Owner_->runDueWork(Authority(Slice), IsStoreStale(Owned.Partition_));
}

void OwnedSlices::onCatalog() {
  for (auto &[Slice, Owned] : Owners_)
    Owned.Owner_->onCatalog();
}

void OwnedSlices::onRecord(std::uint32_t Partition,
                           const ledger::Change &Change) {
  for (auto &[Slice, Owned] : Owners_)
    if (Owned.Partition_ == Partition)
      Owned.Owner_->onRecord(Change);
}

void OwnedSlices::onWorker(const scheduler::WorkerInfo &Info) {
  for (auto &[Slice, Owned] : Owners_)
    Owned.Owner_->onWorker(Info);
}

void OwnedSlices::onWorkerGone(const WorkerId &Id) {
  for (auto &[Slice, Owned] : Owners_)
    Owned.Owner_->onWorkerGone(Id);
}

void OwnedSlices::onAdvice(const scheduler::AdviceCall &Call,
                           const scheduler::AdviceReply &Reply) {
  for (auto &[Slice, Owned] : Owners_)
    Owned.Owner_->onAdvice(Call, Reply);
}

bool OwnedSlices::ownsPartition(std::uint32_t Partition) const {
  for (const auto &[Slice, Owned] : Owners_)
    if (Owned.Partition_ == Partition)
      return true;
  return false;
}

bool OwnedSlices::isLate() const {
  return std::any_of(Owners_.begin(), Owners_.end(), [](const auto &Owned) {
    return Owned.second.Owner_->isLate();
  });
}

std::size_t OwnedSlices::workerCount() const {
  std::size_t Count = 0;
  for (const auto &[Slice, Owned] : Owners_)
    Count += Owned.Owner_->workerCount();
  return Count;
}

void OwnedSlices::addCounters(Counters &All) const {
  for (const auto &[Slice, Owned] : Owners_)
    for (const auto &[Name, Value] : Owned.Owner_->counters())
      All[Name] += Value;
}

} // namespace pollenvale::fleet
