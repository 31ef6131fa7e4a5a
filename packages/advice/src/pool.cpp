#include "advice/advice.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace pollenvale::advice {

namespace {

/// An entry with more expected work gets no further call. It serves one call at
/// a time, and a second one may wait only behind a short one.
constexpr Milliseconds MaxBacklog{60};
/// A peer that did not answer gets no calls for this long.
constexpr Milliseconds AvoidTime{2'000};
/// Time for the answer in addition to the expected duration.
constexpr Milliseconds AnswerTimeout{700};
constexpr Milliseconds QueueTimeout{3'000};

/// Calls with a longer expected duration never go to the reserved entries.
constexpr Milliseconds LongCallTime{100};
/// One of this many entries is reserved for short calls. All owners sort the
/// addresses alike and therefore reserve the same entries.
constexpr std::size_t EntriesPerReserved = 3;

bool answers(const EntryLoad &Load) {
  return Load.Contact_ == Contact::Answers;
}

/// Entry with the least backlog among those that may make \p Call; null if all
/// of them are busy or avoided. Silent entries come last. A call that is made
/// again prefers entries that answer, reserved or not: peers that have left for
/// good stay listed. Sets \p Address to its address.
EntryLoad *chooseEntry(Pool &Calls, const AdviceCall &Call, TimePoint Now,
                       std::string &Address) {
  std::size_t Reserved = Calls.Entries_.size() / EntriesPerReserved;
  std::size_t Rank = 0;
  EntryLoad *Best = nullptr;
  auto RankOf = [&](const EntryLoad &Load) {
    return std::tuple(Call.Retried_ && !answers(Load),
                      Load.Contact_ == Contact::Silent, Load.Backlog_);
  };
  for (auto &[Candidate, Load] : Calls.Entries_) {
    bool IsReserved = Rank++ < Reserved;
    if (Now < Load.AvoidedUntil_ || Load.Backlog_ > MaxBacklog)
      continue;
    if (IsReserved && !Call.Retried_ && Call.Expected_ > LongCallTime)
      continue;
    if (Best && RankOf(*Best) <= RankOf(Load))
      continue;
    Best = &Load;
    Address = Candidate;
  }
  return Best;
}

/// Removes \p Call from the load of its entry, and avoids a peer that did not
/// answer.
void release(Pool &Calls, const PendingCall &Call, bool Answered,
             TimePoint Now) {
  auto It = Calls.Entries_.find(Call.Entry_);
  if (It == Calls.Entries_.end())
    return;
  EntryLoad &Load = It->second;
  Load.Backlog_ =
      std::max(Load.Backlog_ - Call.Call_.Expected_, Milliseconds{0});
  --Load.InFlight_;
  Load.Contact_ = Answered ? Contact::Answers : Contact::Silent;
  if (!Answered && Call.Entry_ != Calls.Self_)
    Load.AvoidedUntil_ = Now + AvoidTime;
}

} // namespace

Pool makePool(const std::string &Self) {
  Pool Calls;
  Calls.Self_ = Self;
  Calls.Entries_[Self].Contact_ = Contact::Answers;
  return Calls;
}

void setPeers(Pool &Calls, const std::vector<std::string> &Addresses) {
  std::set<std::string_view> Listed(Addresses.begin(), Addresses.end());
  std::erase_if(Calls.Entries_, [&](const auto &Entry) {
    return Entry.first != Calls.Self_ && Entry.second.InFlight_ == 0 &&
           !Listed.count(Entry.first);
  });
  for (const std::string &A : Addresses)
    Calls.Entries_.try_emplace(A);
}

void enqueue(Pool &Calls, AdviceCall Call, TimePoint Now) {
  Calls.Queue_.push_back({std::move(Call), Now});
}

namespace {

/// Sort key of a call; smaller is more urgent. Same order as for pending steps.
auto urgencyKey(const PendingCall &Call, TimePoint Now) {
  const AdviceCall &C = Call.Call_;
  return std::tuple(
      scheduler::urgencyOf(C.LongRunning_, C.DueAt_, C.WorthlessAt_, Now),
      C.Priority_, C.DueAt_);
}

/// Indexes into Queue_, the most urgent call first.
std::vector<std::size_t> orderQueue(const Pool &Calls, TimePoint Now) {
  using Key = decltype(urgencyKey(Calls.Queue_.front(), Now));
  std::vector<std::pair<Key, std::size_t>> Keys;
  for (std::size_t I = 0; I < Calls.Queue_.size(); ++I)
    Keys.emplace_back(urgencyKey(Calls.Queue_[I], Now), I);
  std::sort(Keys.begin(), Keys.end());
  std::vector<std::size_t> Out;
  for (const auto &[Key, I] : Keys)
    Out.push_back(I);
  return Out;
}

/// Whether an entry can take one of the queued calls. Spares a busy owner the
/// sorting in most loop iterations.
bool canDispatch(Pool &Calls, TimePoint Now) {
  std::string UnusedAddress;
  // Which entries may take a call depends only on whether it is long or made
  // again, so one call of each kind is tried.
  std::array<bool, 4> Tried{};
  for (const PendingCall &Call : Calls.Queue_) {
    bool Long = Call.Call_.Expected_ > LongCallTime;
    bool &Known = Tried[2 * Long + Call.Call_.Retried_];
    if (std::exchange(Known, true))
      continue;
    if (chooseEntry(Calls, Call.Call_, Now, UnusedAddress))
      return true;
  }
  return false;
}

} // namespace

std::vector<Dispatch> dispatch(Pool &Calls, TimePoint Now) {
  std::vector<Dispatch> Out;
  if (!canDispatch(Calls, Now))
    return Out;
  std::vector<bool> Taken(Calls.Queue_.size());
  for (std::size_t I : orderQueue(Calls, Now)) {
    std::string Address;
    EntryLoad *Load = chooseEntry(Calls, Calls.Queue_[I].Call_, Now, Address);
    if (!Load)
      continue;
    Taken[I] = true;
    PendingCall Call = std::move(Calls.Queue_[I]);
    Load->Backlog_ += Call.Call_.Expected_;
    ++Load->InFlight_;
    Call.Entry_ = Address;
    Call.ExpiresAt_ = Now + Load->Backlog_ + AnswerTimeout;
    CallId Id = Calls.NextId_++;
    Out.push_back({Id, Address, Call.Call_});
    Calls.InFlight_[Id] = std::move(Call);
  }
  std::size_t I = 0;
  std::erase_if(Calls.Queue_, [&](const PendingCall &) { return Taken[I++]; });
  return Out;
}

std::optional<AdviceCall> finish(Pool &Calls, CallId Id, bool Answered,
                                 TimePoint Now) {
  auto It = Calls.InFlight_.find(Id);
  if (It == Calls.InFlight_.end())
    return std::nullopt;
  PendingCall Call = std::move(It->second);
  Calls.InFlight_.erase(It);
  release(Calls, Call, Answered, Now);
  return std::move(Call.Call_);
}

std::vector<Expired> expire(Pool &Calls, TimePoint Now) {
  std::vector<Expired> Out;
  for (auto It = Calls.InFlight_.begin(); It != Calls.InFlight_.end();) {
    if (Now < It->second.ExpiresAt_) {
      ++It;
      continue;
    }
    release(Calls, It->second, false, Now);
    Out.push_back({std::move(It->second.Call_), It->second.Entry_});
    It = Calls.InFlight_.erase(It);
  }
  std::erase_if(Calls.Queue_, [&](PendingCall &Call) {
    if (Now - Call.QueuedAt_ < QueueTimeout)
      return false;
    Out.push_back({std::move(Call.Call_), {}});
    return true;
  });
  return Out;
}

} // namespace pollenvale::advice
