/// \file
/// The workers in the store's registry. They are followed only while this entry
/// owns a slice.
#pragma once

#include "fleet/follower.hpp"
#include "observe/observe.hpp"
#include "platform/adapter.hpp"

#include <map>

namespace pollenvale::fleet {

struct RegistryEvents {
  /// Called for a new worker and for each update of a known one.
  std::function<void(const scheduler::WorkerInfo &)> OnWorker_;
  /// Called when a worker was removed or its record is no longer valid.
  std::function<void(const WorkerId &)> OnGone_;
  std::function<void()> OnAnswer_; ///< As FollowerEvents::OnAnswer_.
};

class WorkerRegistry {
public:
  WorkerRegistry(ledger::Store &Store, Counters &Counts, RegistryEvents Events)
      : Store_(Store), Counters_(Counts), Events_(std::move(Events)) {}

  /// Starts to follow the registry; does nothing if it is followed already.
  void follow();
  /// Stops following the registry and forgets all workers.
  void unfollow();
  /// Sends the next read if it is due.
  void poll();
  /// Whether all workers in the registry have been read since follow().
  bool isLoaded() const { return Loaded_; }
  /// Whether the store answers, but what was read is older than \p Limit: a
  /// worker may have reported to drain meanwhile. Limits that are shorter than
  /// the time between two reads are extended to it.
  bool isBehind(Milliseconds Limit) const;
  const std::map<WorkerId, scheduler::WorkerInfo> &workers() const {
    return Workers_;
  }

private:
  void onRecord(const ledger::KeyedRecord &R);
  void onLoaded(const std::set<std::string> &Keys);
  void remove(const WorkerId &Id);
  /// Counts and logs a record that describes no valid worker.
  void logUnreadable(const ledger::KeyedRecord &R, const Error &Reason);

  ledger::Store &Store_;
  Counters &Counters_;
  RegistryEvents Events_;
  ledger::Tail Tail_;
  std::shared_ptr<Follower> Follower_;
  std::map<WorkerId, scheduler::WorkerInfo> Workers_;
  bool Loaded_ = false;
  observe::LineLimit LogLimit_{3}; ///< Lines per second.
};

} // namespace pollenvale::fleet
