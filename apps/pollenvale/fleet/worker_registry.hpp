/// \file
/// The workers that the registry in the store names, followed while this entry
/// owns a slice.
#pragma once

#include "fleet/follower.hpp"
#include "observe/observe.hpp"
#include "platform/adapter.hpp"

#include <map>

namespace pollenvale::fleet {

struct RegistryEvents {
  std::function<void(const scheduler::WorkerInfo &)> OnWorker_;
  std::function<void(const WorkerId &)> OnGone_;
  std::function<void()> OnAnswer_; ///< After every answer of the store.
};

class WorkerRegistry {
public:
  WorkerRegistry(ledger::Store &Store, Counters &Counts, RegistryEvents Events)
      : Store_(Store), Counters_(Counts), Events_(std::move(Events)) {}

  /// Begins to follow; nothing if it does already.
  void follow();
  /// Stops and forgets the workers.
  void leave();
  void poll();
  /// Whether every worker that the registry names was read.
  bool isLoaded() const { return Loaded_; }
  const std::map<WorkerId, scheduler::WorkerInfo> &workers() const {
    return Workers_;
  }

private:
  void onRecord(const ledger::KeyedRecord &R);
  void onLoaded(const std::set<std::string> &Keys);
  void remove(const WorkerId &Id);
  /// Counts an entry that names no worker, and tells it in the log.
  void logUnreadable(const ledger::KeyedRecord &R, const Error &Why);

  ledger::Store &Store_;
  Counters &Counters_;
  RegistryEvents Events_;
  ledger::Tail Tail_;
  std::shared_ptr<Follower> Follower_;
  std::map<WorkerId, scheduler::WorkerInfo> Workers_;
  bool Loaded_ = false;
  observe::LineLimit Lines_{3};
};

} // namespace pollenvale::fleet
