#include "fleet/worker_registry.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

namespace {

/// Workers write every second or so; their entries are read in steps.
constexpr Milliseconds ReadSpacing{250};
constexpr Milliseconds ReadWait{1'000};

} // namespace

void WorkerRegistry::follow() {
  if (Follower_)
    return;
  Loaded_ = false;
  Tail_ = {};
  Tail_.Options_ = {{platform::WorkerTopic, 0}, ReadWait, ReadSpacing};
  FollowerEvents E;
  E.OnRecord_ = [this](const ledger::KeyedRecord &R) { onRecord(R); };
  E.OnLoaded_ = [this](const std::set<std::string> &Keys) { onLoaded(Keys); };
  E.OnAnswer_ = Events_.OnAnswer_;
  Follower_ = std::make_shared<Follower>(Store_, Tail_, std::move(E));
  Follower_->poll();
}

void WorkerRegistry::leave() {
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
                                   const Error &Why) {
  constexpr std::size_t ShownBytes = 64;
  count(Counters_, "worker-unreadable");
  std::optional<std::uint64_t> LeftOut =
      Lines_.admit("worker-unreadable", now());
  if (!LeftOut)
    return count(Counters_, "line-left-out");
  observe::log(observe::Level::Warning, "worker-unreadable",
               {{"worker", R.Key_.substr(0, ShownBytes)},
                {"offset", R.Offset_},
                {"bytes", R.Value_.size()},
                {"message", Why.Message_},
                {"left_out", *LeftOut}});
}

void WorkerRegistry::onLoaded(const std::set<std::string> &Keys) {
  Loaded_ = true;
  std::vector<WorkerId> Gone;
  for (const auto &[Id, Info] : Workers_)
    if (!Keys.count(Id))
      Gone.push_back(Id);
  for (const WorkerId &Id : Gone)
    remove(Id);
}

} // namespace pollenvale::fleet
