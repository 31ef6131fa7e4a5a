#include "fleet/job_copies.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

namespace {

constexpr Milliseconds ReadWait{1'000}; ///< How long a read waits for records.

} // namespace

void JobCopies::followOnly(const std::set<std::uint32_t> &Partitions) {
  std::erase_if(Followers_, [&](const auto &Row) {
    if (Partitions.count(Row.first))
      return false;
    Row.second->stop();
    Intake_.Partitions_.erase(Row.first);
    return true;
  });
  for (std::uint32_t Partition : Partitions)
    follow(Partition);
}

void JobCopies::follow(std::uint32_t Partition) {
  auto [It, New] = Intake_.Partitions_.try_emplace(Partition);
  if (!New)
    return;
  intake::PartitionCopy &Copy = It->second;
  FollowerEvents Events;
  Events.OnRecord_ = [this, Partition, &Copy](const ledger::KeyedRecord &R) {
    ledger::Change Change = ledger::apply(Copy.Replica_, R, now());
    if (Change.Kind_ != ledger::Change::Kind::None)
      Events_.OnChange_(Partition, Change);
  };
  Events.OnAnswer_ = [this] { Events_.OnUpdated_(); };
  Events.OnLoadBegins_ = [&Copy] { ledger::beginLoad(Copy.Replica_); };
  // The spacing of reads is set once it is known who owns the slices.
  Followers_[Partition] =
      startFollower(Store_, Copy.Tail_,
                    {{intake::JobTopic, Partition}, ReadWait, Milliseconds(0)},
                    std::move(Events));
}

void JobCopies::deliver(std::uint32_t Partition,
                        std::vector<ledger::KeyedRecord> Records) {
  auto It = Followers_.find(Partition);
  if (It != Followers_.end())
    It->second->deliver(std::move(Records));
}

void JobCopies::addCounters(Counters &Sum) const {
  for (const auto &[Number, Copy] : Intake_.Partitions_) {
    Sum["record-unreadable"] += Copy.Replica_.UnreadableRecords_;
    Sum["record-mismatch"] += Copy.Tail_.Mismatches_;
  }
}

void JobCopies::poll() {
  for (auto &[Number, F] : Followers_)
    F->poll();
}

} // namespace pollenvale::fleet
