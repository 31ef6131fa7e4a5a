#include "requests/requests.hpp"

namespace pollenvale::requests {

namespace {

std::uint32_t usable(const Instance &I, TimePoint Now) {
  if (I.Draining_ || Now < I.EjectedUntil_ || Now >= I.LeaseUntil_)
    return 0;
  std::uint32_t Limit = I.Ejection_ > Milliseconds(0) ? 1 : I.Slots_;
  auto Used = std::uint32_t(I.Grants_.size());
  return Used < Limit ? Limit - Used : 0;
}

/// Of two random instances with room, near ones first, the one with more.
Instance *chooseInstance(SlotState &S, const ServiceName &Service,
                         const std::string &Dc, TimePoint Now) {
  std::vector<Instance *> Near, Far;
  for (auto &[Id, I] : S.Instances_)
    if (I.Service_ == Service && usable(I, Now) > 0)
      (I.Dc_ == Dc ? Near : Far).push_back(&I);
  auto &From = Near.empty() ? Far : Near;
  if (From.empty())
    return nullptr;
  Instance *A = From[S.Random_.below(From.size())];
  Instance *B = From[S.Random_.below(From.size())];
  return usable(*B, Now) > usable(*A, Now) ? B : A;
}

std::string dcOf(const membership::State &M, const NodeId &Entry) {
  if (Entry == M.Self_)
    return M.Dc_;
  auto It = M.Peers_.find(Entry);
  return It == M.Peers_.end() ? "" : It->second.LastHeartbeat_.Dc_;
}

void grantOne(SlotState &S, Instance &I, const NodeId &Entry,
              std::uint64_t StampMs, bool Scarce, TimePoint Now,
              peering::Outbox &Out) {
  std::uint64_t Id = ++S.LastGrant_;
  I.Grants_[Id] = {Entry, Now};
  count(S.Counters_, "slot-granted");
  peering::send(Out, Entry,
                SlotGrant{I.Service_, toString(I.Task_), I.Address_, I.Dc_,
                          I.Worker_, Id, StampMs,
                          std::uint32_t(GrantTtl.count()), Scarce});
}

/// True when few slots are left, so that an idle one should come back at once.
bool isScarce(const SlotState &S, const ServiceName &Service, TimePoint Now) {
  constexpr std::uint32_t PlentyDivisor = 4;
  std::uint32_t Free = 0, All = 0;
  for (const auto &[Key, I] : S.Instances_)
    if (I.Service_ == Service) {
      Free += usable(I, Now);
      All += I.Slots_;
    }
  return Free * PlentyDivisor < All;
}

/// Serves the waiting entries in turn, one slot each, while slots last. The
/// turn goes on where it ended, so no entry is always first.
void serve(SlotState &S, const membership::State &M, const ServiceName &Service,
           TimePoint Now, peering::Outbox &Out) {
  auto &Waiting = S.Asked_[Service];
  NodeId &Last = S.LastServed_[Service];
  bool Scarce = isScarce(S, Service, Now);
  std::size_t Passed = 0;
  for (auto It = Waiting.upper_bound(Last); Passed <= Waiting.size();
       ++Passed, ++It) {
    if (It == Waiting.end())
      It = Waiting.begin();
    if (It == Waiting.end())
      return;
    Asked &A = It->second;
    if (A.Wanted_ == 0 || elapsed(A.At_, Now) > AskTtl)
      continue;
    Instance *I = chooseInstance(S, Service, dcOf(M, It->first), Now);
    if (!I)
      return;
    grantOne(S, *I, It->first, A.StampMs_, Scarce, Now, Out);
    --A.Wanted_;
    Last = It->first;
    Passed = 0;
  }
}

} // namespace

void syncInstances(SlotState &S, const workers::State &W, TimePoint Now) {
  std::set<std::string> Seen;
  for (const auto &[Name, Worker] : W.Workers_) {
    if (!workers::isHeld(Worker, Now))
      continue;
    for (const auto &[Id, A] : Worker.Attempts_) {
      if (A.Task_.Slots_ == 0 || A.Phase_ != workers::Phase::Running)
        continue;
      std::string Key = toString(Id);
      Seen.insert(Key);
      Instance &I = S.Instances_[Key];
      I.Task_ = Id;
      I.Service_ = A.Task_.Name_;
      I.Address_ = A.Address_;
      I.Dc_ = Worker.Vm_.Dc_;
      I.Worker_ = Name;
      I.LeaseUntil_ = Worker.LeaseUntil_;
      I.Slots_ = A.Task_.Slots_;
      I.Draining_ = A.Draining_ || A.StopWanted_ || Worker.Vm_.Leaving_ ||
                    A.Address_.empty();
    }
  }
  std::erase_if(S.Instances_,
                [&](const auto &E) { return !Seen.count(E.first); });
}

void onSlotRequest(SlotState &S, const membership::State &M, TimePoint Now,
                   const NodeId &From, const SlotRequest &A,
                   peering::Outbox &Out) {
  S.Asked_[A.Service_][From] = {A.Wanted_, A.StampMs_, Now};
  std::set<std::uint64_t> Held(A.Held_.begin(), A.Held_.end());
  for (auto &[Key, I] : S.Instances_)
    if (A.Complete_ && I.Service_ == A.Service_)
      std::erase_if(I.Grants_, [&](const auto &G) {
        return G.second.Entry_ == From && !Held.count(G.first) &&
               elapsed(G.second.GrantedAt_, Now) > GrantTtl;
      });
  serve(S, M, A.Service_, Now, Out);
}

void onReturn(SlotState &S, const membership::State &M, TimePoint Now,
              const NodeId &From, const SlotReturn &R, peering::Outbox &Out) {
  auto It = S.Instances_.find(R.Instance_);
  if (It == S.Instances_.end())
    return;
  Instance &I = It->second;
  auto Grant = I.Grants_.find(R.Grant_);
  if (Grant == I.Grants_.end() || Grant->second.Entry_ != From)
    return;
  I.Grants_.erase(Grant);
  I.Draining_ |= R.Leaving_;
  if (R.Suspect_ && Now >= I.EjectedUntil_) {
    I.Ejection_ = std::clamp(I.Ejection_ * 2, FirstEjection, MaxEjection);
    I.EjectedUntil_ = Now + I.Ejection_;
    count(S.Counters_, "instance-ejected");
  } else if (!R.Suspect_ && Now >= I.EjectedUntil_) {
    I.Ejection_ = Milliseconds(0);
  }
  serve(S, M, I.Service_, Now, Out);
}

void tickSlots(SlotState &S, const membership::State &M, TimePoint Now,
               peering::Outbox &Out) {
  for (auto &[Key, I] : S.Instances_)
    std::erase_if(I.Grants_, [&](const auto &G) {
      return !membership::isLive(M, Now, G.second.Entry_);
    });
  for (auto &[Service, Waiting] : S.Asked_) {
    std::erase_if(Waiting, [&](const auto &E) {
      return elapsed(E.second.At_, Now) > AskTtl;
    });
    if (!Waiting.empty())
      serve(S, M, Service, Now, Out);
  }
}

bool isInUse(const SlotState &S, const AttemptId &Task) {
  auto It = S.Instances_.find(toString(Task));
  return It != S.Instances_.end() && !It->second.Grants_.empty();
}

std::map<ServiceName, std::uint32_t> freeSlots(const SlotState &S,
                                               TimePoint Now) {
  std::map<ServiceName, std::uint32_t> Out;
  for (const auto &[Key, I] : S.Instances_)
    Out[I.Service_] += usable(I, Now);
  return Out;
}

} // namespace pollenvale::requests
