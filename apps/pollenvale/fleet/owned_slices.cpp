#include "fleet/owned_slices.hpp"

#include "fleet/clock.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace pollenvale::fleet {

using observe::Level;

void OwnedSlices::sync(ownership::State &Claims) {
  for (auto It = Owners_.begin(); It != Owners_.end();) {
    Entry &E = It->second;
    auto Own = Claims.OwnSlices_.find(It->first);
    bool Lost =
        Own == Claims.OwnSlices_.end() || Own->second.Number_ != E.Claim_;
    if (E.Owner_->isOver() && !Lost)
      ownership::forgetSlice(Claims, It->first);
    if (!Lost && !E.Owner_->isOver()) {
      ++It;
      continue;
    }
    E.Owner_->stop();
    observe::log(Level::Info, "slice-left", {{"slice", It->first}});
    It = Owners_.erase(It);
  }
  for (const auto &[Slice, Own] : Claims.OwnSlices_)
    if (!Owners_.count(Slice))
      begin(Slice, Own, Claims.Options_.SelfFence_);
  if (!isLate())
    Claims.OverloadedSince_.reset();
  else if (!Claims.OverloadedSince_)
    Claims.OverloadedSince_ = now();
}

void OwnedSlices::begin(const ownership::SliceName &Slice,
                        const ownership::OwnedSlice &Own,
                        Milliseconds SelfFence) {
  observe::log(Level::Info, "slice-claimed",
               {{"slice", Slice},
                {"claim", Own.Number_},
                {"generation", Own.Generation_},
                {"predecessor", toString(Own.Predecessor_)}});
  std::uint32_t Partition = intake::partitionOf(Slice);
  auto Owner = std::make_shared<SliceOwner>(Make_(Partition), Slice, Partition,
                                            Own, SelfFence);
  Owners_[Slice] = {Partition, Own.Number_, std::move(Owner)};
}

void OwnedSlices::turn(
    bool MayOrder,
    const std::function<bool(std::uint32_t Partition)> &StoreAway) {
  for (auto &[Slice, E] : Owners_)
    E.Owner_->turn(MayOrder, StoreAway(E.Partition_));
}

void OwnedSlices::onCatalog() {
  for (auto &[Slice, E] : Owners_)
    E.Owner_->onCatalog();
}

void OwnedSlices::onRecord(std::uint32_t Partition,
                           const ledger::Change &Change) {
  for (auto &[Slice, E] : Owners_)
    if (E.Partition_ == Partition)
      E.Owner_->onRecord(Change);
}

void OwnedSlices::onWorker(const scheduler::WorkerInfo &Info) {
  for (auto &[Slice, E] : Owners_)
    E.Owner_->onWorker(Info);
}

void OwnedSlices::onWorkerGone(const WorkerId &Id) {
  for (auto &[Slice, E] : Owners_)
    E.Owner_->onWorkerGone(Id);
}

void OwnedSlices::onAdvice(const scheduler::AdviceCall &Call,
                           const scheduler::AdviceReply &Reply) {
  for (auto &[Slice, E] : Owners_)
    E.Owner_->onAdvice(Call, Reply);
}

bool OwnedSlices::ownsPartition(std::uint32_t Partition) const {
  for (const auto &[Slice, E] : Owners_)
    if (E.Partition_ == Partition)
      return true;
  return false;
}

bool OwnedSlices::isLate() const {
  return std::any_of(Owners_.begin(), Owners_.end(),
                     [](const auto &E) { return E.second.Owner_->isLate(); });
}

void OwnedSlices::addCounters(Counters &All) const {
  for (const auto &[Slice, E] : Owners_)
    for (const auto &[Name, Value] : E.Owner_->counters())
      All[Name] += Value;
}

} // namespace pollenvale::fleet
