#include "advice/advice.hpp"

#include <algorithm>

namespace pollenvale::advice {

namespace {

/// An entry serves one call at a time; a second one may wait behind a short.
constexpr Milliseconds MaxBacklog{60};
/// A peer without an answer is left alone for this long.
constexpr Milliseconds AvoidTime{2'000};
constexpr Milliseconds AnswerMargin{700};
constexpr Milliseconds MaxQueueTime{3'000};

/// Calls that take longer than this never go to the reserved entries.
constexpr Milliseconds LongCall{100};
/// One entry in so many is reserved for short calls. All owners see the same
/// order of addresses, so they reserve the same ones.
constexpr std::size_t EntriesPerReserved = 3;

/// The helper that is free first; empty when all that may be asked are busy.
EntryLoad *choose(Pool &P, const AdviceCall &Call, TimePoint Now,
                  std::string &Name) {
  std::size_t Reserved = P.Entries_.size() / EntriesPerReserved;
  std::size_t Rank = 0;
  EntryLoad *Best = nullptr;
  for (auto &[Address, H] : P.Entries_) {
    bool Kept = Rank++ < Reserved;
    if (Now < H.AvoidUntil_ || H.Backlog_ > MaxBacklog)
      continue;
    if (Kept && Call.Expected_ > LongCall)
      continue;
    if (Best && Best->Backlog_ <= H.Backlog_)
      continue;
    Best = &H;
    Name = Address;
  }
  return Best;
}

void release(Pool &P, const Pending &X, bool Answered, TimePoint Now) {
  auto It = P.Entries_.find(X.Entry_);
  if (It == P.Entries_.end())
    return;
  EntryLoad &H = It->second;
  H.Backlog_ = std::max(H.Backlog_ - X.Call_.Expected_, Milliseconds{0});
  --H.InFlight_;
  if (!Answered && X.Entry_ != P.Self_)
    H.AvoidUntil_ = Now + AvoidTime;
}

} // namespace

Pool makePool(const std::string &Self) {
  Pool P;
  P.Self_ = Self;
  P.Entries_[Self];
  return P;
}

void setPeers(Pool &P, const std::vector<std::string> &Addresses) {
  for (const std::string &A : Addresses)
    P.Entries_.try_emplace(A);
  std::erase_if(P.Entries_, [&](const auto &Entry) {
    return Entry.first != P.Self_ && Entry.second.InFlight_ == 0 &&
           std::find(Addresses.begin(), Addresses.end(), Entry.first) ==
               Addresses.end();
  });
}

void enqueue(Pool &P, AdviceCall Call, TimePoint Now) {
  P.Queue_.push_back({std::move(Call), Now});
}

namespace {

/// The same order as that of waiting steps.
auto keyOf(const Pending &X, TimePoint Now) {
  const AdviceCall &C = X.Call_;
  return std::tuple(
      scheduler::standing(C.LongRunning_, C.DueAt_, C.WorthlessAt_, Now),
      C.Priority_, C.DueAt_);
}

/// Places in the queue, the most urgent call first.
std::vector<std::size_t> orderQueue(const Pool &P, TimePoint Now) {
  using Key = decltype(keyOf(P.Queue_.front(), Now));
  std::vector<std::pair<Key, std::size_t>> Keys;
  for (std::size_t I = 0; I < P.Queue_.size(); ++I)
    Keys.emplace_back(keyOf(P.Queue_[I], Now), I);
  std::sort(Keys.begin(), Keys.end());
  std::vector<std::size_t> Out;
  for (const auto &[Key, I] : Keys)
    Out.push_back(I);
  return Out;
}

/// Whether an entry may take one of the waiting calls. Most turns of a busy
/// owner end here.
bool mayDispatch(Pool &P, TimePoint Now) {
  std::string Ignored;
  const AdviceCall *Tried = nullptr;
  // A call is long or not; that alone decides who may take it.
  for (const Pending &X : P.Queue_) {
    bool Long = X.Call_.Expected_ > LongCall;
    if (Tried && Long == (Tried->Expected_ > LongCall))
      continue;
    if (choose(P, X.Call_, Now, Ignored))
      return true;
    if (Tried)
      return false;
    Tried = &X.Call_;
  }
  return false;
}

} // namespace

std::vector<Dispatch> dispatch(Pool &P, TimePoint Now) {
  std::vector<Dispatch> Out;
  if (!mayDispatch(P, Now))
    return Out;
  std::vector<bool> Taken(P.Queue_.size());
  for (std::size_t I : orderQueue(P, Now)) {
    std::string Name;
    EntryLoad *H = choose(P, P.Queue_[I].Call_, Now, Name);
    if (!H)
      continue;
    Taken[I] = true;
    Pending X = std::move(P.Queue_[I]);
    H->Backlog_ += X.Call_.Expected_;
    ++H->InFlight_;
    X.Entry_ = Name;
    X.GiveUpAt_ = Now + H->Backlog_ + AnswerMargin;
    CallId Id = P.NextId_++;
    Out.push_back({Id, Name, X.Call_});
    P.InFlight_[Id] = std::move(X);
  }
  std::size_t I = 0;
  std::erase_if(P.Queue_, [&](const Pending &) { return Taken[I++]; });
  return Out;
}

std::optional<AdviceCall> finish(Pool &P, CallId Id, bool Answered,
                                 TimePoint Now) {
  auto It = P.InFlight_.find(Id);
  if (It == P.InFlight_.end())
    return std::nullopt;
  Pending X = std::move(It->second);
  P.InFlight_.erase(It);
  release(P, X, Answered, Now);
  return std::move(X.Call_);
}

std::vector<Expired> expire(Pool &P, TimePoint Now) {
  std::vector<Expired> Out;
  for (auto It = P.InFlight_.begin(); It != P.InFlight_.end();) {
    if (Now < It->second.GiveUpAt_) {
      ++It;
      continue;
    }
    release(P, It->second, false, Now);
    Out.push_back({std::move(It->second.Call_), It->second.Entry_});
    It = P.InFlight_.erase(It);
  }
  std::erase_if(P.Queue_, [&](Pending &X) {
    if (Now - X.QueuedAt_ < MaxQueueTime)
      return false;
    Out.push_back({std::move(X.Call_), {}});
    return true;
  });
  return Out;
}

} // namespace pollenvale::advice
