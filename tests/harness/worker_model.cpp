#include "worker_model.hpp"

#include "standin_wire/standin_wire.hpp"

namespace pollenvale::harness {

using peering::CallStatus;
using peering::WorkerCall;
using peering::WorkerOp;
using peering::WorkerReply;
using workers::AttemptState;

namespace {

bool isTokenLive(const WorkerModel &W, TimePoint Now, Token T) {
  return W.Leased_ && T == W.Token_ && Now < W.LeaseUntil_;
}

WorkerReply refuse(WorkerModel &W, const char *Reason) {
  count(W.Counters_, std::string("refused-") + Reason);
  WorkerReply R;
  R.Status_ = CallStatus::Refused;
  R.Reason_ = Reason;
  return R;
}

/// Tasks that changed after revision \p Since; all tasks for 0.
WorkerReply inventory(const WorkerModel &W, std::uint64_t Since) {
  WorkerReply R;
  R.Status_ = CallStatus::Ok;
  R.Token_ = W.Token_;
  R.Capacity_ = W.Capacity_;
  R.Revision_ = W.Revision_;
  for (const auto &[Id, T] : W.Tasks_)
    if (Since == 0 || T.Revision_ > Since) {
      R.Tasks_.push_back({Id, T.Task_, T.State_, T.Reason_, T.Address_});
      if (T.UsageSeen_)
        R.Tasks_.back().Usage_ = T.Uses_;
    }
  return R;
}

/// Actual usage of a task; tasks whose names begin with "hungry" or "busy" use
/// more than they declare.
Resources actualUse(const workers::TaskSpec &T, const Resources &Capacity) {
  constexpr std::int64_t Factor = 2;
  Resources Uses = T.Size_;
  if (T.Name_.rfind("hungry", 0) == 0 || T.Name_.rfind("busy", 0) == 0)
    Uses.Cpu_ = std::min(Uses.Cpu_ * Factor, Capacity.Cpu_);
  if (T.Name_.rfind("hungry", 0) == 0)
    Uses.Memory_ = std::min(Uses.Memory_ * Factor, Capacity.Memory_);
  return Uses;
}

WorkerReply acquire(WorkerModel &W, TimePoint Now, const WorkerCall &Call) {
  bool Live = W.Leased_ && Now < W.LeaseUntil_;
  if (Live && W.Holder_ != Call.Holder_)
    return refuse(W, "held");
  ++W.Token_;
  W.Holder_ = Call.Holder_;
  W.Leased_ = true;
  W.LeaseUntil_ = Now + Call.Ttl_;
  count(W.Counters_, "acquired");
  return inventory(W, 0);
}

WorkerReply start(WorkerModel &W, TimePoint Now, const WorkerCall &Call) {
  if (W.Tasks_.count(Call.Attempt_)) {
    WorkerReply R = inventory(W, 0);
    R.Address_ = W.Tasks_.at(Call.Attempt_).Address_;
    return R;
  }
  if (!fits(inUse(W) + Call.Task_.Size_, W.Capacity_)) {
    count(W.Counters_, "overcommit-attempt");
    return refuse(W, "no-room");
  }
  ModelTask T;
  T.Task_ = Call.Task_;
  T.Endless_ = Call.Task_.RunMs_ == 0;
  T.EndsAt_ = Now + Milliseconds(Call.Task_.RunMs_);
  if (Call.Task_.Slots_ > 0)
    T.Address_ = W.InstanceBase_ + "/" + toString(Call.Attempt_);
  T.Uses_ = actualUse(T.Task_, W.Capacity_);
  T.UsageSeenAt_ = Now + UsageLag;
  T.Revision_ = ++W.Revision_;
  W.Tasks_[Call.Attempt_] = T;
  count(W.Counters_, "started");
  WorkerReply R;
  R.Status_ = CallStatus::Ok;
  R.Address_ = T.Address_;
  return R;
}

void throttle(WorkerModel &W, const WorkerCall &Call) {
  auto It = W.Tasks_.find(Call.Attempt_);
  if (It == W.Tasks_.end() || It->second.State_ != AttemptState::Running)
    return;
  ModelTask &T = It->second;
  T.Uses_.Cpu_ = std::min(T.Uses_.Cpu_, Call.CpuLimit_);
  T.Revision_ = ++W.Revision_;
  count(W.Counters_, "throttled");
}

WorkerReply renew(WorkerModel &W, TimePoint Now, const WorkerCall &Call) {
  W.LeaseUntil_ = Now + Call.Ttl_;
  for (const AttemptId &Id : Call.Forget_) {
    auto It = W.Tasks_.find(Id);
    if (It != W.Tasks_.end() && It->second.State_ != AttemptState::Running)
      W.Tasks_.erase(It);
  }
  return inventory(W, Call.Since_);
}

} // namespace

Resources inUse(const WorkerModel &W) {
  Resources Used;
  for (const auto &[Id, T] : W.Tasks_)
    if (T.State_ == AttemptState::Running)
      Used += T.Task_.Size_;
  return Used;
}

Resources totalActualUse(const WorkerModel &W) {
  Resources Taken;
  for (const auto &[Id, T] : W.Tasks_)
    if (T.State_ == AttemptState::Running)
      Taken += T.Uses_;
  return Taken;
}

nlohmann::json toJson(const peering::WorkerReply &R) {
  nlohmann::json Out = {{"token", R.Token_},
                        {"revision", R.Revision_},
                        {"capacity", pollenvale::toJson(R.Capacity_)},
                        {"tasks", nlohmann::json::array()}};
  if (!R.Reason_.empty())
    Out["reason"] = R.Reason_;
  if (!R.Address_.empty())
    Out["address"] = R.Address_;
  for (const auto &T : R.Tasks_) {
    Out["tasks"].push_back({{"attempt", toString(T.Attempt_)},
                            {"task", standin_wire::toJson(T.Task_)},
                            {"state", workers::toString(T.State_)},
                            {"reason", T.Reason_},
                            {"address", T.Address_}});
    if (T.Usage_)
      Out["tasks"].back()["usage"] = pollenvale::toJson(*T.Usage_);
  }
  return Out;
}

namespace {

void end(WorkerModel &W, ModelTask &T, AttemptState State, const char *Reason) {
  T.State_ = State;
  T.Reason_ = Reason;
  T.Revision_ = ++W.Revision_;
}

} // namespace

void advance(WorkerModel &W, TimePoint Now) {
  bool GraceOver = !W.Leased_ || Now >= W.LeaseUntil_ + W.Grace_;
  for (auto &[Id, T] : W.Tasks_) {
    if (T.State_ != AttemptState::Running)
      continue;
    if (!T.UsageSeen_ && T.Uses_ != T.Task_.Size_ && Now >= T.UsageSeenAt_) {
      T.UsageSeen_ = true;
      T.Revision_ = ++W.Revision_;
    }
    if (W.Bad_ || T.Task_.Name_.rfind("poison", 0) == 0)
      end(W, T, AttemptState::Failed, W.Bad_ ? "worker-fault" : "exit-1");
    else if (!T.Endless_ && Now >= T.EndsAt_)
      end(W, T, AttemptState::Finished, "");
    else if (GraceOver)
      end(W, T, AttemptState::Stopped, "lease-lapsed");
  }
}

WorkerReply handle(WorkerModel &W, TimePoint Now, const WorkerCall &Call) {
  advance(W, Now);
  WorkerReply R;
  if (Call.Op_ == WorkerOp::Acquire) {
    R = acquire(W, Now, Call);
  } else if (!isTokenLive(W, Now, Call.Token_)) {
    R = refuse(W, Call.Token_ != W.Token_ ? "stale-token" : "lapsed");
  } else if (Call.Op_ == WorkerOp::Renew) {
    R = renew(W, Now, Call);
  } else if (Call.Op_ == WorkerOp::Release) {
    // The grace period starts now, so that the next holder can adopt the tasks.
    W.LeaseUntil_ = Now;
    R.Status_ = CallStatus::Ok;
  } else if (Call.Op_ == WorkerOp::Start) {
    R = start(W, Now, Call);
  } else if (Call.Op_ == WorkerOp::Throttle) {
    throttle(W, Call);
    R.Status_ = CallStatus::Ok;
  } else {
    auto It = W.Tasks_.find(Call.Attempt_);
    if (It != W.Tasks_.end() && It->second.State_ == AttemptState::Running)
      end(W, It->second, AttemptState::Stopped,
          Call.Op_ == WorkerOp::Checkpoint ? "checkpointed" : "ordered");
    R.Status_ = CallStatus::Ok;
  }
  R.Call_ = Call.Call_;
  R.Worker_ = W.Name_;
  return R;
}

} // namespace pollenvale::harness
