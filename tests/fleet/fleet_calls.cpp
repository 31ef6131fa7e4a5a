/// \file
/// The calls of a FleetCell's owners, and what becomes of them.
#include "fleet/fleet_cell.hpp"

#include <algorithm>

namespace pollenvale::fleettest {

using scheduler::CallStatus;
using scheduler::OrderReply;

namespace {

constexpr Milliseconds AppendDuration{6};
/// A late renewal is executed within this time.
constexpr Milliseconds MaxRenewalDelay{2'000};

} // namespace

void FleetCell::perform(Owner &O, scheduler::Outbox &Out) {
  for (const auto &C : Out.Stops_)
    send(O, C);
  for (const auto &C : Out.Starts_)
    send(O, C);
  for (const auto &C : Out.Renewals_)
    send(O, C);
  for (const auto &C : Out.Advice_)
    send(O, C);
  for (const auto &C : Out.Writes_)
    send(O, C);
  for (scheduler::Note &N : Out.Notes_) {
    note("log " + N.Event_ + " " + N.Fields_.dump());
    Notes_.push_back(std::move(N));
  }
}

void FleetCell::answer(Owner &O, const scheduler::Target &To, TimePoint SentAt,
                       bool Answered, std::function<void(bool)> OnAnswer) {
  TimePoint Limit = SentAt + To.Timeout_;
  TimePoint ReadAt =
      Now_ + randomTripTime() + Workers_.at(To.Worker_).AnswerDelay_ + O.Lag_;
  bool ReadInTime = Answered && ReadAt <= Limit;
  at(ReadInTime ? ReadAt : std::max(Limit, Now_ + O.Lag_), [=, this, &O] {
    if (!O.Alive_)
      return;
    if (!isDown(O))
      return OnAnswer(ReadInTime);
    // The timeout has passed by the time the owner resumes.
    at(O.FrozenUntil_, [=, this, &O] {
      if (!isDown(O))
        OnAnswer(false);
    });
  });
}

void FleetCell::send(Owner &O, const scheduler::RenewCall &C) {
  TimePoint SentAt = Now_;
  bool Lost = Random_.unit() < Failures_.LostAnswer_;
  bool Late =
      Failures_.LateRenewal_ > 0 && Random_.unit() < Failures_.LateRenewal_;
  auto Execute = [=, this] {
    note("late renewal of " + std::to_string(elapsed(SentAt, Now_).count()) +
         " ms at " + C.Target_.Worker_ + " acknowledges end " +
         std::to_string(C.AckedEnd_));
    renew(Workers_.at(C.Target_.Worker_), C, Now_);
  };
  auto Deliver = [=, this] { deliver(C.Target_.Worker_, Execute); };
  if (Late)
    at(Now_ + Milliseconds(std::int64_t(
                  Random_.below(std::uint64_t(MaxRenewalDelay.count())))),
       Deliver);
  at(Now_ + randomTripTime(), [=, this, &O] {
    scheduler::RenewReply Reply;
    bool Reaches = !Late && reaches(C.Target_.Worker_);
    if (Reaches)
      Reply = renew(Workers_.at(C.Target_.Worker_), C, Now_);
    else if (!Late)
      Deliver();
    if (Reaches && !Lost)
      recordReportedEnds(O, C.Target_.Worker_, Reply);
    answer(
        O, C.Target_, SentAt, Reaches && !Lost, [=, this, &O](bool ReadInTime) {
          scheduler::Outbox Out;
          scheduler::onRenewReply(O.State_, C,
                                  ReadInTime ? Reply : scheduler::RenewReply{},
                                  SentAt, Now_, Out);
          perform(O, Out);
        });
  });
}

void FleetCell::applyStart(const scheduler::StartCall &C,
                           scheduler::OrderReply *Reply) {
  if (!reaches(C.Target_.Worker_))
    return deliver(C.Target_.Worker_, [=, this] { applyStart(C, nullptr); });
  FakeWorker &W = Workers_.at(C.Target_.Worker_);
  advance(W, Now_);
  auto Runs = [&] {
    auto It = W.Runs_.find(C.Task_);
    return It == W.Runs_.end() ? 0 : It->second.Number_;
  };
  std::uint32_t Before = Runs();
  OrderReply R = start(W, C, taskTraits(), Now_);
  if (Runs() != Before)
    checkStart(C);
  if (Reply)
    *Reply = R;
}

void FleetCell::send(Owner &O, const scheduler::StartCall &C) {
  bool Lost = Random_.unit() < Failures_.LostAnswer_;
  bool Late = Random_.unit() < Failures_.LateOrder_;
  TimePoint SentAt = Now_;
  if (Late) {
    auto Delay = Milliseconds(2'000 + std::int64_t(Random_.below(10'000)));
    // An order pending in a worker's process is lost when the process ends.
    std::int64_t Incarnation =
        Workers_.at(C.Target_.Worker_).Info_.StartedUnixMs_;
    at(Now_ + Delay, [=, this] {
      if (Workers_.at(C.Target_.Worker_).Info_.StartedUnixMs_ == Incarnation)
        applyStart(C, nullptr);
    });
  }
  at(Now_ + randomTripTime(), [=, this, &O] {
    OrderReply Reply;
    if (!Late)
      applyStart(C, &Reply);
    bool Answered = Reply.Status_ != CallStatus::NoAnswer && !Lost;
    answer(O, C.Target_, SentAt, Answered, [=, this, &O](bool ReadInTime) {
      scheduler::Outbox Out;
      scheduler::onStartReply(O.State_, C, ReadInTime ? Reply : OrderReply{},
                              Now_, Out);
      perform(O, Out);
    });
  });
}

void FleetCell::send(Owner &O, const scheduler::StopCall &C) {
  bool Lost = Random_.unit() < Failures_.LostAnswer_;
  TimePoint SentAt = Now_;
  note("stop " + workflow::toString(C.Task_) + "#" + std::to_string(C.Run_) +
       "@" + C.Target_.Worker_);
  at(Now_ + randomTripTime(), [=, this, &O] {
    OrderReply Reply;
    bool Answered = reaches(C.Target_.Worker_);
    if (Answered)
      Reply = stop(Workers_.at(C.Target_.Worker_), C, Now_);
    else
      deliver(C.Target_.Worker_,
              [this, C] { stop(Workers_.at(C.Target_.Worker_), C, Now_); });
    answer(O, C.Target_, SentAt, Answered && !Lost,
           [=, this, &O](bool ReadInTime) {
             scheduler::onStopReply(O.State_, C,
                                    ReadInTime ? Reply : OrderReply{}, Now_);
           });
  });
}

scheduler::AdviceReply FleetCell::advise(const scheduler::AdviceCall &C) const {
  scheduler::AdviceReply Reply{true, {}, Milliseconds(2'000)};
  for (const WorkerId &W : C.Workers_)
    if (allows(C.Step_, W))
      Reply.Rows_.push_back({W, "permit-" + W});
  return Reply;
}

void FleetCell::send(Owner &O, const scheduler::AdviceCall &C) {
  ++AdviceCalls_;
  if (!O.Policy_)
    O.Policy_ = Policy_;
  if (O.Policy_)
    return advice::enqueue(*O.Policy_, C, Now_);
  scheduler::AdviceReply Reply = advise(C);
  at(Now_ + Milliseconds(20), [=, this, &O] {
    if (!isDown(O))
      scheduler::onAdviceReply(O.State_, C, Reply, Now_);
  });
}

void FleetCell::runPolicyPool(Owner &O) {
  for (const advice::Expired &X : advice::expire(*O.Policy_, Now_))
    scheduler::onAdviceReply(O.State_, X.Call_, {}, Now_);
  for (const advice::Dispatch &D : advice::dispatch(*O.Policy_, Now_)) {
    if (SilentEntries_.count(D.Entry_))
      continue;
    at(Now_ + D.Call_.Expected_, [=, this, &O] {
      if (isDown(O))
        return;
      if (auto Call = advice::finish(*O.Policy_, D.Id_, true, Now_))
        scheduler::onAdviceReply(O.State_, *Call, advise(*Call), Now_);
    });
  }
}

void FleetCell::send(Owner &O, const scheduler::WriteCall &C) {
  at(Now_ + AppendDuration, [=, this, &O] {
    bool Reaches = !StoreDown_ && !O.CutFromStore_;
    if (!Reaches || isDown(O)) {
      if (!isDown(O))
        scheduler::onWriteReply(O.State_, C.Id_, false, Now_);
      return;
    }
    if (O.Token_ < Epoch_) {
      O.State_.Fenced_ = true;
      return;
    }
    for (ledger::KeyedRecord R : C.Records_) {
      if (ledger::recordBytes(R) > O.State_.Options_.StoreLimits_.RecordBytes_)
        broken("a record that the store refuses " + R.Key_);
      append(std::move(R));
    }
    // Writing the records again is idempotent: they hold the whole progress.
    if (Random_.unit() < Failures_.LostAppend_) {
      O.RepeatedWrite_ = C;
      return;
    }
    scheduler::onWriteReply(O.State_, C.Id_, true, Now_);
  });
}

} // namespace pollenvale::fleettest
