#include "fleet/follower.hpp"

#include "fleet/clock.hpp"
#include "observe/observe.hpp"

namespace pollenvale::fleet {

using ledger::TailStep;

void Follower::poll() {
  if (Stopped_)
    return;
  TailStep Step = ledger::nextStep(Tail_, now());
  if (Step == TailStep::Idle)
    return;
  ledger::onSent(Tail_, now());
  auto Self = shared_from_this();
  if (Step == TailStep::Newest) {
    Store_.readNewest(
        ledger::nextPage(Tail_),
        [Self](const ledger::NewestReply &R) { Self->onNewest(R); });
    return;
  }
  Store_.read(ledger::nextRead(Tail_),
              [Self](const ledger::ReadReply &R) { Self->onRead(R); });
}

void Follower::onNewest(const ledger::NewestReply &Reply) {
  if (Stopped_)
    return;
  if (Tail_.PageAfterKey_.empty()) {
    LoadedKeys_.clear();
    if (Events_.OnLoadBegins_)
      Events_.OnLoadBegins_();
  }
  for (const ledger::KeyedRecord &R : Reply.Records_) {
    LoadedKeys_.insert(R.Key_);
    Events_.OnRecord_(R);
  }
  if (ledger::onNewest(Tail_, Reply, now()) && Events_.OnLoaded_)
    Events_.OnLoaded_(LoadedKeys_);
  onAnswered(ledger::toString(Reply.Status_));
}

void Follower::onRead(const ledger::ReadReply &Reply) {
  if (Stopped_)
    return;
  Offset FirstNew = Tail_.Next_;
  ledger::onRead(Tail_, Reply, now());
  // A reply that contradicts earlier ones starts a new load; its records are
  // ignored.
  if (!Tail_.Loading_)
    for (const ledger::KeyedRecord &R : Reply.Records_)
      if (R.Offset_ >= FirstNew)
        Events_.OnRecord_(R);
  for (const ledger::KeyedRecord &R : ledger::takeBufferedRecords(Tail_))
    Events_.OnRecord_(R);
  onAnswered(ledger::toString(Reply.Status_));
}

void Follower::onAnswered(std::string_view Status) {
  if (Tail_.Reachable_) {
    noteSuccess();
    Events_.OnAnswer_();
  } else {
    noteFailure(Status);
  }
  poll();
}

void Follower::noteFailure(std::string_view Status) {
  constexpr std::chrono::minutes Interval{1};
  if (Failures_ == 0)
    FailingSince_ = now();
  ++Failures_;
  if (Failures_ > 1 && now() - LoggedAt_ < Interval)
    return;
  LoggedAt_ = now();
  observe::log(observe::Level::Warning, "store-read-failed",
               {{"topic", Tail_.Options_.Partition_.Topic_},
                {"partition", Tail_.Options_.Partition_.Number_},
                {"status", Status},
                {"failures", Failures_},
                {"next", Tail_.Next_},
                {"took_ms", elapsed(Tail_.SentAt_, now()).count()},
                {"behind_ms", elapsed(Tail_.CurrentAt_, now()).count()}});
}

void Follower::noteSuccess() {
  if (Failures_ == 0)
    return;
  observe::log(observe::Level::Info, "store-read-resumed",
               {{"topic", Tail_.Options_.Partition_.Topic_},
                {"partition", Tail_.Options_.Partition_.Number_},
                {"failures", Failures_},
                {"after_ms", elapsed(FailingSince_, now()).count()}});
  Failures_ = 0;
}

void Follower::deliver(std::vector<ledger::KeyedRecord> Records) {
  if (Stopped_)
    return;
  auto Next = ledger::deliver(Tail_, std::move(Records), now());
  for (const ledger::KeyedRecord &R : Next)
    Events_.OnRecord_(R);
  if (!Next.empty())
    Events_.OnAnswer_();
}

std::shared_ptr<Follower> startFollower(ledger::Store &Store,
                                        ledger::Tail &Tail,
                                        ledger::TailOptions Options,
                                        FollowerEvents Events) {
  Tail.Options_ = std::move(Options);
  auto F = std::make_shared<Follower>(Store, Tail, std::move(Events));
  F->poll();
  return F;
}

} // namespace pollenvale::fleet
