#include "requests/requests.hpp"

namespace pollenvale::requests {

namespace {

/// Slots that may be granted now. An instance whose ejection has ended gets one
/// slot as a probe until a grant is returned without suspicion.
std::uint32_t availableSlots(const Instance &Instance, TimePoint Now) {
  if (Instance.Draining_ || Now < Instance.EjectedUntil_ ||
      Now >= Instance.LeaseUntil_)
    return 0;
  std::uint32_t Limit =
      Instance.Ejection_ > Milliseconds(0) ? 1 : Instance.Slots_;
  auto Used = std::uint32_t(Instance.Grants_.size());
  return Used < Limit ? Limit - Used : 0;
}

/// Power of two choices: picks two random instances with available slots,
/// preferring the data centre \p Dc, and returns the one with more of them.
/// Null if no instance has one.
Instance *chooseInstance(SlotState &State, const ServiceName &Service,
                         const std::string &Dc, TimePoint Now) {
  std::vector<Instance *> Near, Far;
  for (auto &[Id, Instance] : State.Instances_)
    if (Instance.Service_ == Service && availableSlots(Instance, Now) > 0)
      (Instance.Dc_ == Dc ? Near : Far).push_back(&Instance);
  auto &Nearest = Near.empty() ? Far : Near;
  if (Nearest.empty())
    return nullptr;
  Instance *First = Nearest[State.Random_.below(Nearest.size())];
  Instance *Second = Nearest[State.Random_.below(Nearest.size())];
  return availableSlots(*Second, Now) > availableSlots(*First, Now) ? Second
                                                                    : First;
}

/// Data centre of \p Entry; empty if the entry is unknown.
std::string dataCentreOf(const membership::State &Members,
                         const NodeId &Entry) {
  if (Entry == Members.Self_)
    return Members.Dc_;
  auto It = Members.Peers_.find(Entry);
  return It == Members.Peers_.end() ? "" : It->second.LastHeartbeat_.Dc_;
}

void grantSlot(SlotState &State, Instance &Instance, const NodeId &Entry,
               std::uint64_t StampMs, bool Scarce, TimePoint Now,
               peering::Outbox &Out) {
  std::uint64_t Id = ++State.LastGrant_;
  Instance.Grants_[Id] = {Entry, Now};
  count(State.Counters_, "slot-granted");
  peering::send(Out, Entry,
                SlotGrant{Instance.Service_, toString(Instance.Task_),
                          Instance.Address_, Instance.Dc_, Instance.Worker_, Id,
                          StampMs, std::uint32_t(GrantTtl.count()), Scarce});
}

/// True if less than a quarter of the slots of \p Service is available. Entries
/// then return idle slots immediately.
bool isScarce(const SlotState &State, const ServiceName &Service,
              TimePoint Now) {
  constexpr std::uint32_t ScarceDivisor = 4;
  std::uint32_t Free = 0, Total = 0;
  for (const auto &[Key, Instance] : State.Instances_)
    if (Instance.Service_ == Service) {
      Free += availableSlots(Instance, Now);
      Total += Instance.Slots_;
    }
  return Free * ScarceDivisor < Total;
}

/// Grants available slots to the entries with pending requests, round-robin and
/// one slot per turn. The next call continues after the last entry served, so
/// that no entry is always first.
void grantPending(SlotState &State, const membership::State &Members,
                  const ServiceName &Service, TimePoint Now,
                  peering::Outbox &Out) {
  auto &Pending = State.SlotRequests_[Service];
  NodeId &LastServed = State.LastServed_[Service];
  bool Scarce = isScarce(State, Service, Now);
  std::size_t Skipped = 0;
  for (auto It = Pending.upper_bound(LastServed); Skipped <= Pending.size();
       ++Skipped, ++It) {
    if (It == Pending.end())
      It = Pending.begin();
    if (It == Pending.end())
      return;
    PendingSlotRequest &Request = It->second;
    if (Request.Wanted_ == 0 ||
        elapsed(Request.ReceivedAt_, Now) > SlotRequestTtl)
      continue;
    Instance *Instance =
        chooseInstance(State, Service, dataCentreOf(Members, It->first), Now);
    if (!Instance)
      return;
    grantSlot(State, *Instance, It->first, Request.StampMs_, Scarce, Now, Out);
    --Request.Wanted_;
    LastServed = It->first;
    Skipped = 0;
  }
}

} // namespace

void syncInstances(SlotState &State, const workers::State &Workers,
                   TimePoint Now) {
  std::set<std::string> Seen;
  for (const auto &[Name, Worker] : Workers.Workers_) {
    if (!workers::isHeld(Worker, Now))
      continue;
    for (const auto &[Id, Attempt] : Worker.Attempts_) {
      if (Attempt.Task_.Slots_ == 0 ||
          Attempt.Phase_ != workers::Phase::Running)
        continue;
      std::string Key = toString(Id);
      Seen.insert(Key);
      Instance &Instance = State.Instances_[Key];
      Instance.Task_ = Id;
      Instance.Service_ = Attempt.Task_.Name_;
      Instance.Address_ = Attempt.Address_;
      Instance.Dc_ = Worker.Vm_.Dc_;
      Instance.Worker_ = Name;
      Instance.LeaseUntil_ = Worker.LeaseUntil_;
      Instance.Slots_ = Attempt.Task_.Slots_;
      Instance.Draining_ = Attempt.Draining_ || Attempt.StopWanted_ ||
                           Worker.Vm_.Leaving_ || Attempt.Address_.empty();
    }
  }
  std::erase_if(State.Instances_,
                [&](const auto &Entry) { return !Seen.count(Entry.first); });
}

void onSlotRequest(SlotState &State, const membership::State &Members,
                   TimePoint Now, const NodeId &From,
                   const SlotRequest &Request, peering::Outbox &Out) {
  State.SlotRequests_[Request.Service_][From] = {Request.Wanted_,
                                                 Request.StampMs_, Now};
  std::set<std::uint64_t> Held(Request.Held_.begin(), Request.Held_.end());
  for (auto &[Key, Instance] : State.Instances_)
    if (Request.Complete_ && Instance.Service_ == Request.Service_)
      std::erase_if(Instance.Grants_, [&](const auto &G) {
        return G.second.Entry_ == From && !Held.count(G.first) &&
               elapsed(G.second.GrantedAt_, Now) > GrantTtl;
      });
  grantPending(State, Members, Request.Service_, Now, Out);
}

void onReturn(SlotState &State, const membership::State &Members, TimePoint Now,
              const NodeId &From, const SlotReturn &Return,
              peering::Outbox &Out) {
  auto It = State.Instances_.find(Return.Instance_);
  if (It == State.Instances_.end())
    return;
  Instance &Instance = It->second;
  auto Grant = Instance.Grants_.find(Return.Grant_);
  if (Grant == Instance.Grants_.end() || Grant->second.Entry_ != From)
    return;
  Instance.Grants_.erase(Grant);
  Instance.Draining_ |= Return.Leaving_;
  if (Return.Suspect_ && Now >= Instance.EjectedUntil_) {
    Instance.Ejection_ =
        std::clamp(Instance.Ejection_ * 2, FirstEjection, MaxEjection);
    Instance.EjectedUntil_ = Now + Instance.Ejection_;
    count(State.Counters_, "instance-ejected");
  } else if (!Return.Suspect_ && Now >= Instance.EjectedUntil_) {
    Instance.Ejection_ = Milliseconds(0);
  }
  grantPending(State, Members, Instance.Service_, Now, Out);
}

void tickSlots(SlotState &State, const membership::State &Members,
               TimePoint Now, peering::Outbox &Out) {
  for (auto &[Key, Instance] : State.Instances_)
    std::erase_if(Instance.Grants_, [&](const auto &G) {
      return !membership::isLive(Members, Now, G.second.Entry_);
    });
  for (auto &[Service, Pending] : State.SlotRequests_) {
    std::erase_if(Pending, [&](const auto &Entry) {
      return elapsed(Entry.second.ReceivedAt_, Now) > SlotRequestTtl;
    });
    if (!Pending.empty())
      grantPending(State, Members, Service, Now, Out);
  }
}

bool isInUse(const SlotState &State, const AttemptId &Task) {
  auto It = State.Instances_.find(toString(Task));
  return It != State.Instances_.end() && !It->second.Grants_.empty();
}

std::map<ServiceName, std::uint32_t> freeSlots(const SlotState &State,
                                               TimePoint Now) {
  std::map<ServiceName, std::uint32_t> Out;
  for (const auto &[Key, Instance] : State.Instances_)
    Out[Instance.Service_] += availableSlots(Instance, Now);
  return Out;
}

} // namespace pollenvale::requests
