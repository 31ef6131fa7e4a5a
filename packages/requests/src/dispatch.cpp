#include "requests/requests.hpp"

#include <cmath>

namespace pollenvale::requests {

using peering::AnswerStatus;

namespace {

/// Even share of the service's slots per entry.
double fairSlotShare(const Context &Ctx, const config::Service &Service) {
  auto Entries = double(std::max<std::size_t>(
      1, membership::candidates(Ctx.Members_, Ctx.Now_).size()));
  return double(Service.Spec_.Tasks_) * Service.Spec_.Slots_ / Entries;
}

/// Slots that long requests may occupy at a time, at least 1.
std::uint32_t longLimit(const Context &Ctx, const config::Service &Service) {
  double Limit = std::floor(fairSlotShare(Ctx, Service) * Service.LongShare_);
  return std::uint32_t(std::max(1.0, Limit));
}

const config::Service *findService(const Context &Ctx,
                                   const ServiceName &Name) {
  auto It = Ctx.Config_.Doc_.Services_.find(Name);
  return It == Ctx.Config_.Doc_.Services_.end() ? nullptr : &It->second;
}

/// Id of the request in logs: ENTRY/SEQUENCE.
std::string idOf(const Context &Ctx, const Request &Request) {
  return Ctx.Self_ + "/" + std::to_string(Request.Sequence_);
}

void failRequest(State &State, Context &Ctx, Request &Request, ErrorKind Kind,
                 const std::string &Message) {
  // The answer must not say "not run" if an earlier attempt may have run.
  if (Request.MayHaveRun_ && errorRow(Kind).Run_ == RunState::NotRun)
    Kind = ErrorKind::ConnectionLost;
  answerError(State.Counters_, Ctx.Out_, Request.Connection_, Kind, Message);
  Ctx.Out_.Callers_.back().RequestId_ = idOf(Ctx, Request);
  peering::noteRequest(
      Ctx.Out_, "request-ended", idOf(Ctx, Request),
      {{"error", std::string(errorRow(Kind).Name_)}, {"message", Message}});
  State.Requests_.erase(Request.Sequence_);
}

void returnSlot(State &State, Context &Ctx, std::uint64_t SlotId, bool Suspect,
                bool Leaving = false) {
  auto It = State.Slots_.find(SlotId);
  if (It == State.Slots_.end())
    return;
  peering::send(
      Ctx.Out_, It->second.Holder_,
      SlotReturn{It->second.Instance_, It->second.Grant_, Suspect, Leaving});
  State.Slots_.erase(It);
}

/// Checked here as well, since the holder's VM list may be older.
bool isLeaving(const Context &Ctx, const WorkerId &Worker) {
  auto It = Ctx.Members_.Vms_.find(Worker);
  return It != Ctx.Members_.Vms_.end() && It->second.Leaving_;
}

/// Unexpired idle slot, preferring this data centre, then the latest expiry.
std::optional<std::uint64_t> findIdleSlot(const State &State,
                                          const Context &Ctx,
                                          const ServiceName &Service) {
  std::optional<std::uint64_t> Best;
  std::pair<bool, TimePoint> BestScore;
  for (const auto &[Id, Slot] : State.Slots_) {
    if (Slot.Service_ != Service || Slot.Busy_ || Ctx.Now_ >= Slot.ExpiresAt_ ||
        isLeaving(Ctx, Slot.Worker_))
      continue;
    std::pair<bool, TimePoint> Score{Slot.Dc_ == Ctx.Members_.Dc_,
                                     Slot.ExpiresAt_};
    if (!Best || Score > BestScore) {
      Best = Id;
      BestScore = Score;
    }
  }
  return Best;
}

void dispatch(State &State, Context &Ctx, Request &Request,
              std::uint64_t SlotId, bool Long) {
  HeldSlot &Slot = State.Slots_.at(SlotId);
  Slot.Busy_ = true;
  if (Request.Attempts_++ == 0)
    State.QueueWaits_.push_back(elapsed(Request.ArrivedAt_, Ctx.Now_));
  peering::InstanceCall Call;
  Call.Call_ = ++State.LastCall_;
  Call.Address_ = Slot.Address_;
  Call.Echo_ = idOf(Ctx, Request) + "/" + std::to_string(Request.Attempts_);
  peering::noteRequest(Ctx.Out_, "request-dispatched", idOf(Ctx, Request),
                       {{"attempt", std::to_string(Request.Attempts_)},
                        {"instance", Slot.Instance_},
                        {"worker", Slot.Worker_},
                        {"holder", Slot.Holder_}});
  Call.Body_ = Request.Body_;
  Call.Timeout_ =
      std::max(Milliseconds(1), elapsed(Ctx.Now_, Request.Deadline_));
  State.CallsInFlight_[Call.Call_] = {Request.Sequence_, SlotId, Call.Echo_,
                                      Ctx.Now_, Long};
  Queue &Queue = State.Queues_[Request.Service_];
  ++(Long ? Queue.LongInFlight_ : Queue.ShortInFlight_);
  Ctx.Out_.Instances_.push_back(std::move(Call));
}

/// Dispatches queued requests while there are idle slots.
void dispatchQueued(State &State, Context &Ctx, const ServiceName &Service) {
  const config::Service *Spec = findService(Ctx, Service);
  Queue &Queue = State.Queues_[Service];
  while (Spec) {
    auto *From = nextQueue(Queue, longLimit(Ctx, *Spec), false);
    if (!From)
      return;
    auto It = State.Requests_.find(From->front());
    if (It == State.Requests_.end()) {
      From->pop_front();
      continue;
    }
    auto Slot = findIdleSlot(State, Ctx, Service);
    if (!Slot)
      return;
    bool Long = From == &Queue.Long_;
    From->pop_front();
    // A run that cannot finish before the deadline would only delay others.
    Milliseconds Run(std::int64_t(
        (Long ? Queue.LongRunTime_ : Queue.ShortRunTime_).MeanMs_));
    if (Ctx.Now_ + Run > It->second.Deadline_) {
      failRequest(State, Ctx, It->second, ErrorKind::DeadlineInQueue,
                  "no time left for a run of " + std::to_string(Run.count()) +
                      " ms");
      continue;
    }
    dispatch(State, Ctx, It->second, *Slot, Long);
  }
}

/// Queues the request as long or short by its class; a retry goes to the front.
void enqueue(State &State, Context &Ctx, const Request &Request, bool Front) {
  Queue &Queue = State.Queues_[Request.Service_];
  const config::Service *Spec = findService(Ctx, Request.Service_);
  bool Long = Spec && isLongClass(Queue, Request.Class_, Spec->LongThreshold_);
  auto &To = Long ? Queue.Long_ : Queue.Short_;
  if (Front)
    To.push_front(Request.Sequence_);
  else
    To.push_back(Request.Sequence_);
}

std::uint64_t timestampMs(TimePoint Now) {
  return std::uint64_t(
      std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch()).count());
}

/// Slots that the queue could use now. Long requests count up to their limit.
std::uint32_t usableSlots(const Queue &Queue, const Context &Ctx,
                          const ServiceName &Service) {
  const config::Service *Spec = findService(Ctx, Service);
  std::uint32_t Limit = Spec ? longLimit(Ctx, *Spec) : 0;
  std::uint32_t Long =
      Limit > Queue.LongInFlight_ ? Limit - Queue.LongInFlight_ : 0;
  return std::uint32_t(Queue.Short_.size()) +
         std::min(Long, std::uint32_t(Queue.Long_.size()));
}

/// Requests slots from holders that report free ones, nearest first. Demand
/// beyond these is spread evenly over all holders and stays pending there.
/// \p Complete also lists the held grants, so that holders free lost ones.
void requestSlots(State &State, Context &Ctx, const ServiceName &Service,
                  bool Complete) {
  struct Holder {
    NodeId Node_;
    std::uint32_t Free_;
    bool SameDc_;
  };
  std::vector<Holder> Holders;
  auto Own = freeSlots(Ctx.Slots_, Ctx.Now_);
  if (auto It = Own.find(Service); It != Own.end())
    Holders.push_back({Ctx.Self_, It->second, true});
  for (const auto &[Id, P] : Ctx.Members_.Peers_) {
    auto It = P.LastHeartbeat_.FreeSlots_.find(Service);
    if (It != P.LastHeartbeat_.FreeSlots_.end() &&
        membership::isLive(Ctx.Members_, Ctx.Now_, Id))
      Holders.push_back(
          {Id, It->second, P.LastHeartbeat_.Dc_ == Ctx.Members_.Dc_});
  }
  std::map<NodeId, std::vector<std::uint64_t>> Held;
  std::uint32_t Idle = 0;
  for (const auto &[Id, Slot] : State.Slots_)
    if (Slot.Service_ == Service) {
      Held[Slot.Holder_].push_back(Slot.Grant_);
      Idle += !Slot.Busy_ && Ctx.Now_ < Slot.ExpiresAt_;
    }
  std::uint32_t Need = usableSlots(State.Queues_[Service], Ctx, Service);
  Need = Need > Idle ? Need - Idle : 0;
  // A random start spreads the requests of different entries over the holders.
  if (!Holders.empty())
    std::rotate(Holders.begin(),
                Holders.begin() + long(State.Random_.below(Holders.size())),
                Holders.end());
  std::stable_sort(
      Holders.begin(), Holders.end(),
      [](const Holder &A, const Holder &B) { return A.SameDc_ > B.SameDc_; });
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
      peering::send(Ctx.Out_, Node,
                    SlotRequest{Service, Take + Rest, timestampMs(Ctx.Now_),
                                Complete ? std::move(Held[Node])
                                         : std::vector<std::uint64_t>(),
                                Complete});
}

bool provesNotRun(AnswerStatus Status) {
  return Status == AnswerStatus::NotSent || Status == AnswerStatus::Leaving ||
         Status == AnswerStatus::Busy;
}

ErrorKind errorKindOf(AnswerStatus Status) {
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

/// True if the instance should be ejected. A timeout counts only after a
/// multiple of the mean run time; otherwise the caller's deadline was short.
bool isSuspect(const Queue &Queue, const Request &Request, AnswerStatus Status,
               Milliseconds Took) {
  constexpr double OverdueFactor = 3;
  if (Status == AnswerStatus::Busy || Status == AnswerStatus::Leaving)
    return false;
  if (Status != AnswerStatus::Timeout)
    return true;
  auto It = Queue.RunTimes_.find(Request.Class_);
  return It != Queue.RunTimes_.end() &&
         double(Took.count()) > OverdueFactor * It->second.MeanMs_;
}

const char *reasonOf(AnswerStatus Status) {
  static const char *const Names[] = {"wrong-echo", "not-sent",  "leaving",
                                      "busy",       "truncated", "lost",
                                      "timeout"};
  return Names[std::size_t(Status)];
}

/// Retries the request if mode, deadline and budget allow, else fails it.
void handleFailedAttempt(State &State, Context &Ctx, Request &Request,
                         AnswerStatus Status) {
  bool NotRun = provesNotRun(Status);
  Request.MayHaveRun_ |= !NotRun;
  std::string Reason = reasonOf(Status);
  peering::noteRequest(
      Ctx.Out_, "attempt-ended", idOf(Ctx, Request),
      {{"attempt", std::to_string(Request.Attempts_)}, {"reason", Reason}});
  count(State.Counters_, "attempt-ended-" + Reason);
  bool MayRetry = Request.Mode_ == Mode::Repeatable ||
                  (Request.Mode_ == Mode::Single && !Request.MayHaveRun_);
  if (!MayRetry || Ctx.Now_ >= Request.Deadline_)
    return failRequest(State, Ctx, Request, errorKindOf(Status),
                       "attempt ended: " + Reason);
  if (!spendRetry(State.Queues_[Request.Service_].Budget_))
    return failRequest(State, Ctx, Request, ErrorKind::RetryBudgetSpent,
                       "attempt ended: " + Reason +
                           "; the retry budget of service " + Request.Service_ +
                           " is spent");
  count(State.Counters_, "retry-" + Reason);
  enqueue(State, Ctx, Request, true);
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

void onRequest(State &State, Context &Ctx, Request Request) {
  auto Refuse = [&](ErrorKind Kind, const std::string &Message) {
    answerError(State.Counters_, Ctx.Out_, Request.Connection_, Kind, Message);
  };
  if (!Ctx.Config_.VersionKnown_ || Ctx.Config_.Version_ == 0)
    return Refuse(ErrorKind::NoConfig, "no configuration is in force yet");
  const config::Service *Spec = findService(Ctx, Request.Service_);
  if (!Spec)
    return Refuse(ErrorKind::UnknownService,
                  "no service '" + Request.Service_ + "' in the configuration");
  Queue &Queue = State.Queues_[Request.Service_];
  if (Queue.size() >= Spec->QueueLimit_)
    return Refuse(ErrorKind::QueueFull, "queue of service " + Request.Service_ +
                                            " is at its limit of " +
                                            std::to_string(Spec->QueueLimit_));
  bool Long = isLongClass(Queue, Request.Class_, Spec->LongThreshold_);
  auto Wait = estimateAnswerTime(Queue, Long, fairSlotShare(Ctx, *Spec),
                                 Spec->LongShare_);
  if (double(Wait.count()) >
      MaxDeadlineShare * double(elapsed(Ctx.Now_, Request.Deadline_).count()))
    return Refuse(ErrorKind::DeadlineUnmeetable,
                  "an answer is expected in " + std::to_string(Wait.count()) +
                      " ms, too late for the deadline");
  earnRetry(Queue.Budget_);
  Request.Sequence_ = ++State.LastSequence_;
  enqueue(State, Ctx, Request, false);
  ServiceName Service = Request.Service_;
  count(State.Counters_, "request-admitted");
  peering::noteRequest(
      Ctx.Out_, "request-admitted", idOf(Ctx, Request),
      {{"service", Request.Service_}, {"class", Request.Class_}});
  State.Requests_[Request.Sequence_] = std::move(Request);
  dispatchQueued(State, Ctx, Service);
  // For a longer queue, tick() requests the slots.
  std::uint32_t Usable = usableSlots(Queue, Ctx, Service);
  if (Usable > 0 && Usable <= MaxImmediateSlotRequest)
    requestSlots(State, Ctx, Service, false);
}

void onGrant(State &State, Context &Ctx, const NodeId &From,
             const SlotGrant &G) {
  HeldSlot Slot{
      G.Service_, G.Instance_,
      G.Address_, G.Dc_,
      G.Worker_,  From,
      G.Grant_,   TimePoint(Milliseconds(G.StampMs_)) + Milliseconds(G.TtlMs_),
      Ctx.Now_,   false,
      G.Scarce_};
  State.Slots_[++State.LastSlot_] = std::move(Slot);
  dispatchQueued(State, Ctx, G.Service_);
}

void onAnswer(State &State, Context &Ctx, const peering::InstanceReply &Reply) {
  auto It = State.CallsInFlight_.find(Reply.Call_);
  if (It == State.CallsInFlight_.end()) {
    count(State.Counters_, "answer-late-dropped");
    return;
  }
  InFlightCall Call = std::move(It->second);
  State.CallsInFlight_.erase(It);
  auto Found = State.Requests_.find(Call.Sequence_);
  if (Found == State.Requests_.end())
    return;
  Request &Request = Found->second;
  ServiceName Service = Request.Service_;
  Queue &Queue = State.Queues_[Service];
  --(Call.Long_ ? Queue.LongInFlight_ : Queue.ShortInFlight_);
  bool Ok = Reply.Status_ == AnswerStatus::Whole && Reply.Echo_ == Call.Echo_;
  if (Ok) {
    recordRunTime(Queue, Request.Class_, Call.Long_,
                  elapsed(Call.SentAt_, Ctx.Now_));
    State.Latencies_.push_back(elapsed(Request.ArrivedAt_, Ctx.Now_));
    count(State.Counters_, "request-answered");
    Ctx.Out_.Callers_.push_back(
        {Request.Connection_, Reply.Code_, Reply.Body_});
    Ctx.Out_.Callers_.back().RequestId_ = idOf(Ctx, Request);
    peering::noteRequest(Ctx.Out_, "request-ended", idOf(Ctx, Request),
                         {{"code", std::to_string(Reply.Code_)}});
    State.Requests_.erase(Found);
  }
  auto Slot = State.Slots_.find(Call.SlotId_);
  if (Slot != State.Slots_.end()) {
    Slot->second.Busy_ = false;
    Slot->second.IdleSince_ = Ctx.Now_;
    bool Suspect = !Ok && isSuspect(Queue, Request, Reply.Status_,
                                    elapsed(Call.SentAt_, Ctx.Now_));
    if (!Ok || Ctx.Now_ >= Slot->second.ExpiresAt_)
      returnSlot(State, Ctx, Call.SlotId_, Suspect,
                 Reply.Status_ == AnswerStatus::Leaving);
  }
  if (!Ok)
    handleFailedAttempt(State, Ctx, Request, Reply.Status_);
  dispatchQueued(State, Ctx, Service);
  // dispatchQueued() may have used the slot again.
  Slot = State.Slots_.find(Call.SlotId_);
  if (Slot != State.Slots_.end() && !Slot->second.Busy_ && Slot->second.Scarce_)
    returnSlot(State, Ctx, Call.SlotId_, false);
}

namespace {

void expireQueued(State &State, Context &Ctx,
                  std::deque<std::uint64_t> &Queue) {
  std::deque<std::uint64_t> Kept;
  for (std::uint64_t Sequence : Queue) {
    auto It = State.Requests_.find(Sequence);
    if (It == State.Requests_.end())
      continue;
    if (Ctx.Now_ < It->second.Deadline_)
      Kept.push_back(Sequence);
    else
      failRequest(State, Ctx, It->second, ErrorKind::DeadlineInQueue,
                  "deadline expired in the queue");
  }
  Queue = std::move(Kept);
}

} // namespace

void tick(State &State, Context &Ctx) {
  std::vector<std::uint64_t> Unused;
  for (const auto &[Id, Slot] : State.Slots_)
    if (!Slot.Busy_ && (Ctx.Now_ >= Slot.ExpiresAt_ ||
                        elapsed(Slot.IdleSince_, Ctx.Now_) >= IdleSlotTimeout))
      Unused.push_back(Id);
  for (std::uint64_t Id : Unused)
    returnSlot(State, Ctx, Id, false);
  std::set<ServiceName> Held;
  for (const auto &[Id, Slot] : State.Slots_)
    Held.insert(Slot.Service_);
  for (auto &[Service, Queue] : State.Queues_) {
    expireQueued(State, Ctx, Queue.Short_);
    expireQueued(State, Ctx, Queue.Long_);
    dispatchQueued(State, Ctx, Service);
    if (Ctx.Now_ < State.NextSlotRequest_[Service] ||
        (Queue.size() == 0 && !Held.count(Service)))
      continue;
    State.NextSlotRequest_[Service] = Ctx.Now_ + SlotRequestInterval;
    requestSlots(State, Ctx, Service, true);
  }
}

bool isIdle(const State &State) { return State.Requests_.empty(); }

} // namespace pollenvale::requests
