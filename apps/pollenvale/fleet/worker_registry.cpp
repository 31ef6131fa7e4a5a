#include "fleet/worker_registry.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

namespace {

/// Least time between two reads. Each worker writes about once a second;
/// their records are read in batches.
constexpr Milliseconds ReadSpacing{250};
/// How long a read waits for new records.
constexpr Milliseconds ReadWait{1'000};

} // namespace

void WorkerRegistry::follow() {
  if (Follower_)
    return;
  Loaded_ = false;
  Tail_ = {};
  Tail_.Options_ = {{platform::WorkerTopic, 0}, ReadWait, ReadSpacing};
  FollowerEvents Events;
  Events.OnRecord_ = [this](const ledger::KeyedRecord &R) { onRecord(R); };
  Events.OnLoaded_ = [this](const std::set<std::string> &Keys) {
    onLoaded(Keys);
  };
  Events.OnAnswer_ = Events_.OnAnswer_;
  Follower_ = std::make_shared<Follower>(Store_, Tail_, std::move(Events));
  Follower_->poll();
}

void WorkerRegistry::unfollow() {
  if (!Follower_)
    return;
  Follower_->stop();
  Follower_.reset();
  Workers_.clear();
}

void WorkerRegistry::poll() {
  if (Follower_)
    Follower_->poll();
}

bool WorkerRegistry::isBehind(Milliseconds Limit) const {
  constexpr Milliseconds AnswerTime{500};
  return ledger::isBehind(
      Tail_, std::max(Limit, ReadWait + ReadSpacing + AnswerTime), now());
}

void WorkerRegistry::remove(const WorkerId &Id) {
  Workers_.erase(Id);
  Events_.OnGone_(Id);
}

void WorkerRegistry::onRecord(const ledger::KeyedRecord &R) {
  if (R.Value_.empty())
    return remove(R.Key_);
  auto Info = platform::parseWorker(R.Key_, R.Value_);
  if (!Info) {
    logUnreadable(R, Info.error());
    return remove(R.Key_);
  }
  Workers_[R.Key_] = Info.value();
  Events_.OnWorker_(Info.value());
}

void WorkerRegistry::logUnreadable(const ledger::KeyedRecord &R,
                                   const Error &Reason) {
  constexpr std::size_t ShownBytes = 64;
  count(Counters_, "worker-unreadable");
  std::optional<std::uint64_t> Suppressed =
      LogLimit_.admit("worker-unreadable", now());
  if (!Suppressed)
    return count(Counters_, "line-left-out");
  observe::log(observe::Level::Warning, "worker-unreadable",
               {{"worker", R.Key_.substr(0, ShownBytes)},
                {"offset", R.Offset_},
                {"bytes", R.Value_.size()},
                {"message", Reason.Message_},
                {"left_out", *Suppressed}});
}

void WorkerRegistry::onLoaded(const std::set<std::string> &Keys) {
  Loaded_ = true;
  std::vector<WorkerId> Removed;
  for (const auto &[Id, Info] : Workers_)
    if (!Keys.count(Id))
      Removed.push_back(Id);
  for (const WorkerId &Id : Removed)
    remove(Id);
}

} // namespace pollenvale::fleet
