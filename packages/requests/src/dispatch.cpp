#include "requests/requests.hpp"

#include <cmath>

namespace pollenvale::requests {

using peering::AnswerStatus;

namespace {

/// Slots of the service that this entry can count on: an even share.
double fairSlots(const Context &C, const config::Service &Service) {
  auto Entries = double(std::max<std::size_t>(
      1, membership::candidates(C.Members_, C.Now_).size()));
  return double(Service.Spec_.Tasks_) * Service.Spec_.Slots_ / Entries;
}

std::uint32_t longBound(const Context &C, const config::Service &Service) {
  double Bound = std::floor(fairSlots(C, Service) * Service.LongShare_);
  return std::uint32_t(std::max(1.0, Bound));
}

const config::Service *findService(const Context &C, const ServiceName &Name) {
  auto It = C.Config_.Doc_.Services_.find(Name);
  return It == C.Config_.Doc_.Services_.end() ? nullptr : &It->second;
}

/// Under this id an operator finds the request in the logs.
std::string idOf(const Context &C, const Request &R) {
  return C.Self_ + "/" + std::to_string(R.Sequence_);
}

void finishError(State &S, Context &C, Request &R, ErrorKind Kind,
                 const std::string &Message) {
  // "Not run" would be untrue once an earlier attempt may have run.
  if (R.MayHaveRun_ && errorRow(Kind).Run_ == RunState::NotRun)
    Kind = ErrorKind::ConnectionLost;
  answerError(S.Counters_, C.Out_, R.Connection_, Kind, Message);
  C.Out_.Callers_.back().RequestId_ = idOf(C, R);
  peering::noteRequest(
      C.Out_, "request-ended", idOf(C, R),
      {{"error", std::string(errorRow(Kind).Name_)}, {"message", Message}});
  S.Requests_.erase(R.Sequence_);
}

void returnSlot(State &S, Context &C, std::uint64_t SlotId, bool Suspect,
                bool Leaving = false) {
  auto It = S.Slots_.find(SlotId);
  if (It == S.Slots_.end())
    return;
  peering::send(
      C.Out_, It->second.Holder_,
      SlotReturn{It->second.Instance_, It->second.Grant_, Suspect, Leaving});
  S.Slots_.erase(It);
}

/// The holder's view of the VM list may be older than this node's.
bool isLeaving(const Context &C, const WorkerId &Worker) {
  auto It = C.Members_.Vms_.find(Worker);
  return It != C.Members_.Vms_.end() && It->second.Leaving_;
}

/// An idle slot that may still be dispatched on: near ones first, then the
/// one with the most time left.
std::optional<std::uint64_t> findIdleSlot(const State &S, const Context &C,
                                          const ServiceName &Service) {
  std::optional<std::uint64_t> Best;
  std::pair<bool, TimePoint> BestScore;
  for (const auto &[Id, Slot] : S.Slots_) {
    if (Slot.Service_ != Service || Slot.Busy_ || C.Now_ >= Slot.Until_ ||
        isLeaving(C, Slot.Worker_))
      continue;
    std::pair<bool, TimePoint> Score{Slot.Dc_ == C.Members_.Dc_, Slot.Until_};
    if (!Best || Score > BestScore) {
      Best = Id;
      BestScore = Score;
    }
  }
  return Best;
}

void dispatch(State &S, Context &C, Request &R, std::uint64_t SlotId,
              bool Long) {
  HeldSlot &Slot = S.Slots_.at(SlotId);
  Slot.Busy_ = true;
  if (R.Attempts_++ == 0)
    S.QueueWaits_.push_back(elapsed(R.ArrivedAt_, C.Now_));
  peering::InstanceCall Call;
  Call.Call_ = ++S.LastCall_;
  Call.Address_ = Slot.Address_;
  Call.Echo_ = idOf(C, R) + "/" + std::to_string(R.Attempts_);
  peering::noteRequest(C.Out_, "request-dispatched", idOf(C, R),
                       {{"attempt", std::to_string(R.Attempts_)},
                        {"instance", Slot.Instance_},
                        {"worker", Slot.Worker_},
                        {"holder", Slot.Holder_}});
  Call.Body_ = R.Body_;
  Call.Timeout_ = std::max(Milliseconds(1), elapsed(C.Now_, R.Deadline_));
  S.InFlight_[Call.Call_] = {R.Sequence_, SlotId, Call.Echo_, C.Now_, Long};
  Queue &Q = S.Queues_[R.Service_];
  ++(Long ? Q.LongInFlight_ : Q.ShortInFlight_);
  C.Out_.Instances_.push_back(std::move(Call));
}

/// Binds queued requests to idle slots while both last.
void pump(State &S, Context &C, const ServiceName &Service) {
  const config::Service *Spec = findService(C, Service);
  Queue &Q = S.Queues_[Service];
  while (Spec) {
    auto *From = nextQueue(Q, longBound(C, *Spec), false);
    if (!From)
      return;
    auto It = S.Requests_.find(From->front());
    if (It == S.Requests_.end()) {
      From->pop_front();
      continue;
    }
    auto Slot = findIdleSlot(S, C, Service);
    if (!Slot)
      return;
    bool Long = From == &Q.Long_;
    From->pop_front();
    // Work that can't end in time would only keep others waiting.
    Milliseconds Run(
        std::int64_t((Long ? Q.LongRunTime_ : Q.ShortRunTime_).MeanMs_));
    if (C.Now_ + Run > It->second.Deadline_) {
      finishError(S, C, It->second, ErrorKind::DeadlineInQueue,
                  "no time left for a run of " + std::to_string(Run.count()) +
                      " ms");
      continue;
    }
    dispatch(S, C, It->second, *Slot, Long);
  }
}

void enqueue(State &S, Context &C, const Request &R, bool Front) {
  Queue &Q = S.Queues_[R.Service_];
  const config::Service *Spec = findService(C, R.Service_);
  bool Long = Spec && isLong(Q, R.Class_, Spec->LongThreshold_);
  auto &To = Long ? Q.Long_ : Q.Short_;
  if (Front)
    To.push_front(R.Sequence_);
  else
    To.push_back(R.Sequence_);
}

std::uint64_t stampOf(TimePoint Now) {
  return std::uint64_t(
      std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch()).count());
}

/// Slots that the queue could use now: long work only up to its bound.
std::uint32_t usableSlots(const Queue &Q, const Context &C,
                          const ServiceName &Service) {
  const config::Service *Spec = findService(C, Service);
  std::uint32_t Bound = Spec ? longBound(C, *Spec) : 0;
  std::uint32_t Long = Bound > Q.LongInFlight_ ? Bound - Q.LongInFlight_ : 0;
  return std::uint32_t(Q.Short_.size()) +
         std::min(Long, std::uint32_t(Q.Long_.size()));
}

/// Asks holders with free slots, near ones first; what they can't give is
/// asked evenly of all, to wait there.
void askForSlots(State &S, Context &C, const ServiceName &Service,
                 bool Complete) {
  struct Holder {
    NodeId Node_;
    std::uint32_t Free_;
    bool Near_;
  };
  std::vector<Holder> Holders;
  auto Own = freeSlots(C.Slots_, C.Now_);
  if (auto It = Own.find(Service); It != Own.end())
    Holders.push_back({C.Self_, It->second, true});
  for (const auto &[Id, P] : C.Members_.Peers_) {
    auto It = P.LastHeartbeat_.FreeSlots_.find(Service);
    if (It != P.LastHeartbeat_.FreeSlots_.end() &&
        membership::isLive(C.Members_, C.Now_, Id))
      Holders.push_back(
          {Id, It->second, P.LastHeartbeat_.Dc_ == C.Members_.Dc_});
  }
  std::map<NodeId, std::vector<std::uint64_t>> Held;
  std::uint32_t Idle = 0;
  for (const auto &[Id, Slot] : S.Slots_)
    if (Slot.Service_ == Service) {
      Held[Slot.Holder_].push_back(Slot.Grant_);
      Idle += !Slot.Busy_ && C.Now_ < Slot.Until_;
    }
  std::uint32_t Need = usableSlots(S.Queues_[Service], C, Service);
  Need = Need > Idle ? Need - Idle : 0;
  // A random start keeps entries from all asking the same holder first.
  if (!Holders.empty())
    std::rotate(Holders.begin(),
                Holders.begin() + long(S.Random_.below(Holders.size())),
                Holders.end());
  std::stable_sort(
      Holders.begin(), Holders.end(),
      [](const Holder &A, const Holder &B) { return A.Near_ > B.Near_; });
  std::map<NodeId, std::uint32_t> Wanted;
  for (const Holder &H : Holders) {
    std::uint32_t Take = std::min(Need, H.Free_);
    Wanted[H.Node_] = Take;
    Need -= Take;
  }
  auto Rest = Holders.empty()
                  ? 0
                  : std::uint32_t((Need + Holders.size() - 1) / Holders.size());
  for (const auto &[Node, Grants] : Held)
    Wanted.try_emplace(Node, 0);
  for (const auto &[Node, Take] : Wanted)
    if (Take + Rest > 0 || (Complete && !Held[Node].empty()))
      peering::send(C.Out_, Node,
                    SlotRequest{Service, Take + Rest, stampOf(C.Now_),
                                Complete ? std::move(Held[Node])
                                         : std::vector<std::uint64_t>(),
                                Complete});
}

/// What an ended attempt proves about the work.
bool surelyNotRun(AnswerStatus Status) {
  return Status == AnswerStatus::NotSent || Status == AnswerStatus::Leaving ||
         Status == AnswerStatus::Busy;
}

ErrorKind kindOf(AnswerStatus Status) {
  switch (Status) {
  case AnswerStatus::Truncated:
    return ErrorKind::AnswerTruncated;
  case AnswerStatus::Timeout:
    return ErrorKind::AnswerTimeout;
  case AnswerStatus::Lost:
  case AnswerStatus::Whole:
    return ErrorKind::ConnectionLost;
  default:
    return ErrorKind::NotDispatched;
  }
}

/// A timeout speaks against the instance only if the answer was well overdue;
/// else the caller's deadline was short.
bool isSuspect(const Queue &Q, const Request &R, AnswerStatus Status,
               Milliseconds Took) {
  constexpr double Overdue = 3;
  if (Status == AnswerStatus::Busy || Status == AnswerStatus::Leaving)
    return false;
  if (Status != AnswerStatus::Timeout)
    return true;
  auto It = Q.RunTimes_.find(R.Class_);
  return It != Q.RunTimes_.end() &&
         double(Took.count()) > Overdue * It->second.MeanMs_;
}

const char *reasonOf(AnswerStatus Status) {
  static const char *const Names[] = {"wrong-echo", "not-sent",  "leaving",
                                      "busy",       "truncated", "lost",
                                      "timeout"};
  return Names[std::size_t(Status)];
}

/// Tries again within the budget and the deadline, or answers with an error.
void afterFailure(State &S, Context &C, Request &R, AnswerStatus Status) {
  bool NotRun = surelyNotRun(Status);
  R.MayHaveRun_ |= !NotRun;
  std::string Reason = reasonOf(Status);
  peering::noteRequest(
      C.Out_, "attempt-ended", idOf(C, R),
      {{"attempt", std::to_string(R.Attempts_)}, {"reason", Reason}});
  count(S.Counters_, "attempt-ended-" + Reason);
  bool Allowed = R.Mode_ == Mode::Repeatable ||
                 (R.Mode_ == Mode::Single && !R.MayHaveRun_);
  if (!Allowed || C.Now_ >= R.Deadline_)
    return finishError(S, C, R, kindOf(Status), "attempt ended: " + Reason);
  if (!spendRetry(S.Queues_[R.Service_].Budget_))
    return finishError(S, C, R, ErrorKind::RetryBudgetSpent,
                       "attempt ended: " + Reason +
                           "; the retry budget of service " + R.Service_ +
                           " is spent");
  count(S.Counters_, "retry-" + Reason);
  enqueue(S, C, R, true);
}

} // namespace

void answerError(Counters &Count, peering::Outbox &Out,
                 std::uint64_t Connection, ErrorKind Kind,
                 const std::string &Message) {
  const ErrorRow &Row = errorRow(Kind);
  count(Count, std::string(Row.Name_));
  nlohmann::json Body = {{"error", Row.Name_},
                         {"id", int(Kind)},
                         {"run", toString(Row.Run_)},
                         {"message", Message}};
  Out.Callers_.push_back({Connection, Row.Status_, Body.dump()});
}

void onRequest(State &S, Context &C, Request R) {
  auto Refuse = [&](ErrorKind Kind, const std::string &Message) {
    answerError(S.Counters_, C.Out_, R.Connection_, Kind, Message);
  };
  if (!C.Config_.VersionKnown_ || C.Config_.Version_ == 0)
    return Refuse(ErrorKind::NoConfig, "no configuration is in force yet");
  const config::Service *Spec = findService(C, R.Service_);
  if (!Spec)
    return Refuse(ErrorKind::UnknownService,
                  "no service '" + R.Service_ + "' in the configuration");
  Queue &Q = S.Queues_[R.Service_];
  if (Q.size() >= Spec->QueueLimit_)
    return Refuse(ErrorKind::QueueFull, "queue of service " + R.Service_ +
                                            " is at its limit of " +
                                            std::to_string(Spec->QueueLimit_));
  bool Long = isLong(Q, R.Class_, Spec->LongThreshold_);
  auto Wait = estimateAnswer(Q, Long, fairSlots(C, *Spec), Spec->LongShare_);
  if (double(Wait.count()) >
      AdmitShare * double(elapsed(C.Now_, R.Deadline_).count()))
    return Refuse(ErrorKind::DeadlineUnmeetable,
                  "an answer is expected in " + std::to_string(Wait.count()) +
                      " ms, past the deadline");
  earnRetry(Q.Budget_);
  R.Sequence_ = ++S.LastSequence_;
  enqueue(S, C, R, false);
  ServiceName Service = R.Service_;
  count(S.Counters_, "request-admitted");
  peering::noteRequest(C.Out_, "request-admitted", idOf(C, R),
                       {{"service", R.Service_}, {"class", R.Class_}});
  S.Requests_[R.Sequence_] = std::move(R);
  pump(S, C, Service);
  // A long queue is asked for already; the tick repeats it.
  std::uint32_t Usable = usableSlots(Q, C, Service);
  if (Usable > 0 && Usable <= AskAtOnce)
    askForSlots(S, C, Service, false);
}

void onGrant(State &S, Context &C, const NodeId &From, const SlotGrant &G) {
  HeldSlot Slot{
      G.Service_, G.Instance_,
      G.Address_, G.Dc_,
      G.Worker_,  From,
      G.Grant_,   TimePoint(Milliseconds(G.StampMs_)) + Milliseconds(G.TtlMs_),
      C.Now_,     false,
      G.Scarce_};
  S.Slots_[++S.LastSlot_] = std::move(Slot);
  pump(S, C, G.Service_);
}

void onAnswer(State &S, Context &C, const peering::InstanceReply &R) {
  auto It = S.InFlight_.find(R.Call_);
  if (It == S.InFlight_.end()) {
    count(S.Counters_, "answer-late-dropped");
    return;
  }
  InFlight F = std::move(It->second);
  S.InFlight_.erase(It);
  auto Found = S.Requests_.find(F.Sequence_);
  if (Found == S.Requests_.end())
    return;
  Request &Req = Found->second;
  ServiceName Service = Req.Service_;
  Queue &Q = S.Queues_[Service];
  --(F.Long_ ? Q.LongInFlight_ : Q.ShortInFlight_);
  bool Own = R.Status_ == AnswerStatus::Whole && R.Echo_ == F.Echo_;
  if (Own) {
    learn(Q, Req.Class_, F.Long_, elapsed(F.SentAt_, C.Now_));
    S.Latencies_.push_back(elapsed(Req.ArrivedAt_, C.Now_));
    count(S.Counters_, "request-answered");
    C.Out_.Callers_.push_back({Req.Connection_, R.Code_, R.Body_});
    C.Out_.Callers_.back().RequestId_ = idOf(C, Req);
    peering::noteRequest(C.Out_, "request-ended", idOf(C, Req),
                         {{"code", std::to_string(R.Code_)}});
    S.Requests_.erase(Found);
  }
  auto Slot = S.Slots_.find(F.Slot_);
  if (Slot != S.Slots_.end()) {
    Slot->second.Busy_ = false;
    Slot->second.IdleSince_ = C.Now_;
    bool Suspect =
        !Own && isSuspect(Q, Req, R.Status_, elapsed(F.SentAt_, C.Now_));
    if (!Own || C.Now_ >= Slot->second.Until_)
      returnSlot(S, C, F.Slot_, Suspect, R.Status_ == AnswerStatus::Leaving);
  }
  if (!Own)
    afterFailure(S, C, Req, R.Status_);
  pump(S, C, Service);
  // The pump may have put the slot to work again.
  Slot = S.Slots_.find(F.Slot_);
  if (Slot != S.Slots_.end() && !Slot->second.Busy_ && Slot->second.Scarce_)
    returnSlot(S, C, F.Slot_, false);
}

namespace {

void expireQueued(State &S, Context &C, std::deque<std::uint64_t> &Queue) {
  std::deque<std::uint64_t> Kept;
  for (std::uint64_t Sequence : Queue) {
    auto It = S.Requests_.find(Sequence);
    if (It == S.Requests_.end())
      continue;
    if (C.Now_ < It->second.Deadline_)
      Kept.push_back(Sequence);
    else
      finishError(S, C, It->second, ErrorKind::DeadlineInQueue,
                  "deadline passed in the queue");
  }
  Queue = std::move(Kept);
}

} // namespace

void tick(State &S, Context &C) {
  std::vector<std::uint64_t> Unused;
  for (const auto &[Id, Slot] : S.Slots_)
    if (!Slot.Busy_ && (C.Now_ >= Slot.Until_ ||
                        elapsed(Slot.IdleSince_, C.Now_) >= IdleSlotTime))
      Unused.push_back(Id);
  for (std::uint64_t Id : Unused)
    returnSlot(S, C, Id, false);
  std::set<ServiceName> Held;
  for (const auto &[Id, Slot] : S.Slots_)
    Held.insert(Slot.Service_);
  for (auto &[Service, Q] : S.Queues_) {
    expireQueued(S, C, Q.Short_);
    expireQueued(S, C, Q.Long_);
    pump(S, C, Service);
    if (C.Now_ < S.NextAsk_[Service] || (Q.size() == 0 && !Held.count(Service)))
      continue;
    S.NextAsk_[Service] = C.Now_ + AskInterval;
    askForSlots(S, C, Service, true);
  }
}

bool isIdle(const State &S) { return S.Requests_.empty(); }

} // namespace pollenvale::requests
