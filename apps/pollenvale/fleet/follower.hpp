/// \file
/// Keeps the tail of one partition up to date by calls to the store.
#pragma once

#include "ledger/ledger.hpp"

#include <functional>

namespace pollenvale::fleet {

/// Callbacks of a follower. OnRecord_ and OnAnswer_ must be set.
struct FollowerEvents {
  /// Called for each record: the newest one of each key during a load, then
  /// each further record once, in the order of offsets.
  std::function<void(const ledger::KeyedRecord &)> OnRecord_;
  /// Called at the end of a load, with the keys that exist.
  std::function<void(const std::set<std::string> &)> OnLoaded_;
  /// Called after every successful answer of the store and after delivered
  /// records.
  std::function<void()> OnAnswer_;
  /// Called before the records of a load, the initial one or a repeated one.
  std::function<void()> OnLoadBegins_ = {};
};

/// Loads the newest record of each key, then reads new records. Keeps itself
/// alive while a call is in flight.
class Follower : public std::enable_shared_from_this<Follower> {
public:
  Follower(ledger::Store &Store, ledger::Tail &Tail, FollowerEvents Events)
      : Store_(Store), Tail_(Tail), Events_(std::move(Events)) {}

  /// Sends the next call to the store if it is due.
  void poll();
  /// Takes in stored records that their writer announced.
  void deliver(std::vector<ledger::KeyedRecord> Records);
  /// Ignores answers to calls in flight and sends no further ones.
  void stop() { Stopped_ = true; }

private:
  void onNewest(const ledger::NewestReply &Reply);
  void onRead(const ledger::ReadReply &Reply);
  /// Called after each answer has been processed. \p Status: as logged.
  void onAnswered(std::string_view Status);
  /// Logs the first of consecutive failed reads, then one a minute.
  void noteFailure(std::string_view Status);
  /// Logs the end of consecutive failed reads, and their number.
  void noteSuccess();

  ledger::Store &Store_;
  ledger::Tail &Tail_;
  FollowerEvents Events_;
  std::set<std::string> LoadedKeys_;
  bool Stopped_ = false;
  std::uint64_t Failures_ = 0; ///< Consecutive failed reads.
  TimePoint FailingSince_{};   ///< Time of the first of them.
  TimePoint LoggedAt_{};       ///< Time of the last logged failure.
};

/// Follows the partition that \p Options name. The referenced objects must
/// outlive the follower.
std::shared_ptr<Follower> startFollower(ledger::Store &Store,
                                        ledger::Tail &Tail,
                                        ledger::TailOptions Options,
                                        FollowerEvents Events);

} // namespace pollenvale::fleet
