#include "fleet/policy_calls.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

void PolicyCalls::open(const std::string &Self) {
  Pool_ = advice::makePool(Self);
  Peers_.subscribe(FrameKind::Advice,
                   [this](const std::string &Bytes) { onPeer(Bytes); });
}

void PolicyCalls::enqueue(scheduler::AdviceCall Call) {
  advice::enqueue(Pool_, std::move(Call), now());
}

void PolicyCalls::setPeers(const std::vector<std::string> &Peers) {
  advice::setPeers(Pool_, Peers);
}

void PolicyCalls::runDueWork() {
  for (const advice::Expired &Expired : advice::expire(Pool_, now())) {
    if (!Expired.Entry_.empty() && Expired.Entry_ != Pool_.Self_)
      Peers_.suspect(Expired.Entry_);
    DeliverAdvice_(Expired.Call_, {});
  }
  for (const advice::Dispatch &Dispatch : advice::dispatch(Pool_, now()))
    send(Dispatch);
}

void PolicyCalls::send(const advice::Dispatch &Dispatch) {
  std::string Step = workflow::toString(Dispatch.Call_.Step_);
  if (Dispatch.Entry_ == Pool_.Self_) {
    callPolicy(Step, Dispatch.Call_.Workers_,
               [this, Id = Dispatch.Id_](const scheduler::AdviceReply &R) {
                 onReply(Id, R);
               });
    return;
  }
  advice::RequestMessage Message{Dispatch.Id_, Pool_.Self_, Step,
                                 Dispatch.Call_.Workers_};
  Peers_.send(Dispatch.Entry_, FrameKind::Advice, advice::encode(Message));
}

void PolicyCalls::callPolicy(const std::string &Step,
                             const std::vector<WorkerId> &Workers,
                             std::function<void(scheduler::AdviceReply)> Done) {
  constexpr Milliseconds PolicyTimeout{2'500};
  Client_.advise(Step, Workers, PolicyTimeout, std::move(Done));
}

void PolicyCalls::onReply(CallId Id, const scheduler::AdviceReply &Reply) {
  if (auto Call = advice::finish(Pool_, Id, Reply.Answered_, now()))
    DeliverAdvice_(*Call, Reply);
}

void PolicyCalls::onPeer(const std::string &Bytes) {
  advice::Message Message = advice::decode(Bytes);
  if (auto *Request = std::get_if<advice::RequestMessage>(&Message)) {
    answerPeer(*Request);
  } else if (auto *PeerReply = std::get_if<advice::ReplyMessage>(&Message)) {
    scheduler::AdviceReply Reply{
        PeerReply->Answered_, {}, Milliseconds(PeerReply->ValidityMs_)};
    for (const advice::PermitText &Permit : PeerReply->Rows_)
      Reply.Rows_.push_back({Permit.Worker_, Permit.Permit_});
    onReply(PeerReply->Id_, Reply);
  } else {
    count(Counters_, "peer-frame-unreadable");
  }
}

void PolicyCalls::answerPeer(const advice::RequestMessage &Request) {
  callPolicy(Request.Step_, Request.Workers_,
             [this, Id = Request.Id_,
              To = Request.ReplyTo_](const scheduler::AdviceReply &R) {
               advice::ReplyMessage Message{
                   Id, R.Answered_, {}, std::uint32_t(R.Validity_.count())};
               for (const scheduler::PermitRow &Permit : R.Rows_)
                 Message.Rows_.push_back({Permit.Worker_, Permit.Permit_});
               Peers_.send(To, FrameKind::Advice, advice::encode(Message));
             });
}

} // namespace pollenvale::fleet
