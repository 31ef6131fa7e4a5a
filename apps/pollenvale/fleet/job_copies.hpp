/// \file
/// Keeps this entry's copies of the partitions of the job topic up to date.
#pragma once

#include "fleet/follower.hpp"
#include "intake/intake.hpp"

namespace pollenvale::fleet {

/// Callbacks of the copies. All must be set.
struct JobCopiesEvents {
  /// Called for each record that changed a copy.
  std::function<void(std::uint32_t Partition, const ledger::Change &)>
      OnChange_;
  /// Called after each answer of the store and each delivery, once the copy
  /// holds its records.
  std::function<void()> OnUpdated_;
};

class JobCopies {
public:
  /// The copies are those in Intake::Partitions_. \p Intake and \p Store must
  /// outlive this object.
  JobCopies(ledger::Store &Store, intake::Intake &Intake,
            JobCopiesEvents Events)
      : Store_(Store), Intake_(Intake), Events_(std::move(Events)) {}

  /// Begins to follow \p Partition. No effect if it is followed already.
  void follow(std::uint32_t Partition);
  /// Follows these partitions and no others. Copies of partitions that are no
  /// longer followed are dropped; no owner of a slice may use them any more.
  void followOnly(const std::set<std::uint32_t> &Partitions);
  /// Takes in records of \p Partition that their writer announced.
  void deliver(std::uint32_t Partition,
               std::vector<ledger::KeyedRecord> Records);
  /// Sends the calls to the store that are due.
  void poll();
  /// Adds the counts of records that could not be read or did not match.
  void addCounters(Counters &Sum) const;

private:
  ledger::Store &Store_;
  intake::Intake &Intake_;
  JobCopiesEvents Events_;
  std::map<std::uint32_t, std::shared_ptr<Follower>> Followers_;
};

} // namespace pollenvale::fleet
