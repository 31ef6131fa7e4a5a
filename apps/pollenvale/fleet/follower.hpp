/// \file
/// Drives the tail of one partition with calls to the store.
#pragma once

#include "ledger/ledger.hpp"

#include <functional>

namespace pollenvale::fleet {

struct FollowerEvents {
  std::function<void(const ledger::KeyedRecord &)> OnRecord_;
  /// After the newest record of each key has been read: the keys that exist.
  std::function<void(const std::set<std::string> &)> OnLoaded_;
  /// After every answer of the store.
  std::function<void()> OnAnswer_;
  /// Before the records of a load, the first or a later one.
  std::function<void()> OnLoadBegins_ = {};
};

/// Keeps itself alive while a call is in flight.
class Follower : public std::enable_shared_from_this<Follower> {
public:
  Follower(ledger::Store &Store, ledger::Tail &Tail, FollowerEvents Events)
      : Store_(Store), Tail_(Tail), Events_(std::move(Events)) {}

  /// Makes the next call if it is due.
  void poll();
  /// Stored records that came from their writer.
  void deliver(std::vector<ledger::KeyedRecord> Records);
  void stop() { Stopped_ = true; }

private:
  void onNewest(const ledger::NewestReply &Reply);
  void onRead(const ledger::ReadReply &Reply);
  /// Logs that the store did not answer, at most once a second.
  void logFailure();

  ledger::Store &Store_;
  ledger::Tail &Tail_;
  FollowerEvents Events_;
  std::set<std::string> LoadedKeys_;
  bool Stopped_ = false;
  TimePoint LoggedAt_{};
};

} // namespace pollenvale::fleet
