#include "fleet/policy_calls.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

namespace {

/// Entries come and go far less often than the loop turns.
constexpr Milliseconds PeersInterval{100};

} // namespace

void PolicyCalls::open(const std::string &Self) {
  Pool_ = advice::makePool(Self);
  Peers_.subscribe(FrameKind::Advice,
                   [this](const std::string &Bytes) { onPeer(Bytes); });
}

void PolicyCalls::ask(scheduler::AdviceCall Call) {
  advice::enqueue(Pool_, std::move(Call), now());
}

void PolicyCalls::turn(const ownership::State &Claims) {
  if (now() >= PeersDueAt_) {
    PeersDueAt_ = now() + PeersInterval;
    advice::setPeers(Pool_, ownership::peerAddresses(Claims));
  }
  for (const advice::Expired &X : advice::expire(Pool_, now())) {
    if (!X.Entry_.empty() && X.Entry_ != Pool_.Self_)
      Peers_.suspect(X.Entry_);
    Deliver_(X.Call_, {});
  }
  for (const advice::Dispatch &D : advice::dispatch(Pool_, now()))
    send(D);
}

void PolicyCalls::send(const advice::Dispatch &D) {
  std::string Step = workflow::toString(D.Call_.Step_);
  if (D.Entry_ == Pool_.Self_) {
    askPolicy(Step, D.Call_.Workers_,
              [this, Id = D.Id_](const scheduler::AdviceReply &R) {
                onReply(Id, R);
              });
    return;
  }
  advice::RequestMessage M{D.Id_, Pool_.Self_, Step, D.Call_.Workers_};
  Peers_.send(D.Entry_, FrameKind::Advice, advice::encode(M));
}

void PolicyCalls::askPolicy(const std::string &Step,
                            const std::vector<WorkerId> &Workers,
                            std::function<void(scheduler::AdviceReply)> Done) {
  constexpr Milliseconds PolicyTimeout{2'500};
  Client_.advise(Step, Workers, PolicyTimeout, std::move(Done));
}

void PolicyCalls::onReply(CallId Id, const scheduler::AdviceReply &Reply) {
  if (auto Call = advice::finish(Pool_, Id, Reply.Answered_, now()))
    Deliver_(*Call, Reply);
}

void PolicyCalls::onPeer(const std::string &Bytes) {
  advice::Message M = advice::decode(Bytes);
  if (auto *Ask = std::get_if<advice::RequestMessage>(&M)) {
    answerPeer(*Ask);
  } else if (auto *Tell = std::get_if<advice::ReplyMessage>(&M)) {
    scheduler::AdviceReply Reply{
        Tell->Answered_, {}, Milliseconds(Tell->ValidityMs_)};
    for (const advice::PermitText &Row : Tell->Rows_)
      Reply.Rows_.push_back({Row.Worker_, Row.Permit_});
    onReply(Tell->Id_, Reply);
  } else {
    count(Counters_, "peer-frame-unreadable");
  }
}

void PolicyCalls::answerPeer(const advice::RequestMessage &Ask) {
  askPolicy(
      Ask.Step_, Ask.Workers_,
      [this, Id = Ask.Id_, To = Ask.ReplyTo_](const scheduler::AdviceReply &R) {
        advice::ReplyMessage M{
            Id, R.Answered_, {}, std::uint32_t(R.Validity_.count())};
        for (const scheduler::PermitRow &Row : R.Rows_)
          M.Rows_.push_back({Row.Worker_, Row.Permit_});
        Peers_.send(To, FrameKind::Advice, advice::encode(M));
      });
}

} // namespace pollenvale::fleet
