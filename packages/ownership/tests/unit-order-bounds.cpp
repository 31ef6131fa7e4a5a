/// Properties over random schedules: no former owner sends an order after the
/// time that a later owner counts from, nor one with a token that is not lower
/// than each later claim.
#include "ownership/ownership.hpp"

#include <criterion/criterion.h>

#include <memory>

using namespace pollenvale;
using namespace pollenvale::ownership;

namespace {

constexpr Milliseconds Step{25};
/// Longest delay of a call that the store executes late.
constexpr Milliseconds MaxDelay{5'000};
constexpr Milliseconds CallTimeout{1'500};
/// Clocks of entries differ from true time by up to this share.
constexpr double ClockError = 0.01;
/// What two clocks may differ by over the time in which an owner fences itself.
constexpr Milliseconds ClockSlack{100};

/// A process of an entry, and its connection to the store.
struct Process {
  State State_;
  double ClockRate_ = 1;
  Offset Read_ = 0;
  bool Alive_ = true;
  bool CanRead_ = true;
  bool CanWrite_ = true;
  TimePoint FrozenUntil_{};
};

/// A write on its way to the store.
struct Call {
  TimePoint ExecutedAt_{};
  TimePoint AnsweredAt_{}; ///< Without an answer if it is executed later.
  Process *Sender_ = nullptr;
  Write Write_;
  ledger::AppendReply Reply_;
  bool Executed_ = false;
  bool Answered_ = false;
};

/// Entries, the claims topic with late calls, and the last order by claim.
struct OrderModel {
  Random Random_;
  TimePoint Now_{std::chrono::seconds(1'000)};
  std::vector<ledger::KeyedRecord> Log_;
  std::vector<std::unique_ptr<Process>> Processes_;
  std::vector<Call> Calls_;
  bool StoreDown_ = false;
  std::map<ClaimNumber, TimePoint> LastOrders_;
  std::map<ClaimNumber, Token> HighestTokens_; ///< Of orders, by claim.
  std::size_t Claims_ = 0;
  std::size_t Nodes_ = 0;
  std::size_t Raised_ = 0; ///< Owners whose token has grown.
  std::string Broken_;

  explicit OrderModel(std::uint64_t Seed) : Random_{Seed} {
    for (int I = 0; I < 4; ++I)
      start("n" + std::to_string(I), "n" + std::to_string(I) + ":1");
  }

  Process &start(const std::string &Name, const std::string &Address) {
    auto P = std::make_unique<Process>();
    P->ClockRate_ = 1 + ClockError * (double(Random_.below(201)) / 100 - 1);
    P->State_.Options_.Self_ = Name + "." + std::to_string(++Nodes_);
    P->State_.Options_.Address_ = Address;
    P->State_.Options_.StartedAt_ = clockOf(*P);
    loadNewest(*P);
    Processes_.push_back(std::move(P));
    return *Processes_.back();
  }

  TimePoint clockOf(const Process &P) const { return toClock(P, Now_); }

  static TimePoint toClock(const Process &P, TimePoint True) {
    double Since = double(True.time_since_epoch().count()) * P.ClockRate_;
    return TimePoint(TimePoint::duration(std::int64_t(Since)));
  }

  static TimePoint toTrue(const Process &P, TimePoint Read) {
    double Since = double(Read.time_since_epoch().count()) / P.ClockRate_;
    return TimePoint(TimePoint::duration(std::int64_t(Since)));
  }

  /// Loads the newest record of each key.
  void loadNewest(Process &P) {
    std::map<std::string, const ledger::KeyedRecord *> Newest;
    for (const ledger::KeyedRecord &R : Log_)
      Newest[R.Key_] = &R;
    std::set<std::string> Keys;
    for (const auto &[Key, R] : Newest) {
      Keys.insert(Key);
      onRecord(P.State_, *R, clockOf(P));
    }
    P.Read_ = Log_.size();
    onLoaded(P.State_, Keys, P.Read_, clockOf(P));
  }

  bool runs(const Process &P) const {
    return P.Alive_ && Now_ >= P.FrozenUntil_;
  }

  void read(Process &P) {
    if (!P.CanRead_ || StoreDown_ || Random_.below(4) == 0)
      return;
    for (; P.Read_ < Log_.size(); ++P.Read_)
      onRecord(P.State_, Log_[P.Read_], clockOf(P));
    onContact(P.State_, clockOf(P), clockOf(P));
  }

  void write(Process &P) {
    for (Write &W : tick(P.State_, {"s"}, P.Read_, clockOf(P))) {
      Call C;
      C.Sender_ = &P;
      C.Write_ = std::move(W);
      C.AnsweredAt_ = Now_ + CallTimeout;
      bool Late = Random_.below(10) == 0;
      Milliseconds Delay(std::int64_t(
          Random_.below(Late ? std::uint64_t(MaxDelay.count()) : 60)));
      C.ExecutedAt_ = Now_ + Delay;
      if (!P.CanWrite_ || (StoreDown_ && Random_.below(2) == 0))
        C.ExecutedAt_ = TimePoint::max();
      Calls_.push_back(std::move(C));
    }
  }

  void execute(Call &C) {
    C.Executed_ = true;
    if (C.Write_.ExpectedEnd_ && *C.Write_.ExpectedEnd_ != Log_.size()) {
      C.Reply_ = {ledger::StoreStatus::Moved, 0, Log_.size()};
    } else {
      ledger::KeyedRecord R = C.Write_.Record_;
      R.Offset_ = Log_.size();
      Log_.push_back(R);
      Claims_ += C.Write_.Kind_ == Write::Kind::Claim;
      C.Reply_ = {ledger::StoreStatus::Done, R.Offset_, Log_.size()};
    }
    // A slow answer may still arrive in time, or get lost.
    if (Now_ < C.AnsweredAt_ && Random_.below(8) != 0)
      C.AnsweredAt_ = Now_ + Milliseconds(std::int64_t(Random_.below(400)));
    else
      C.Reply_ = {};
  }

  void runCalls() {
    for (Call &C : Calls_) {
      if (!C.Executed_ && !StoreDown_ && Now_ >= C.ExecutedAt_)
        execute(C);
      if (C.Answered_ || Now_ < C.AnsweredAt_ || !runs(*C.Sender_))
        continue;
      C.Answered_ = true;
      onWritten(C.Sender_->State_, C.Write_,
                C.Executed_ ? C.Reply_ : ledger::AppendReply{},
                clockOf(*C.Sender_));
    }
    std::erase_if(Calls_, [](const Call &C) {
      bool Ended = C.Executed_ || C.ExecutedAt_ == TimePoint::max();
      return Ended && (C.Answered_ || !C.Sender_->Alive_);
    });
  }

  void recordOrders(const Process &P) {
    auto Own = P.State_.OwnSlices_.find("s");
    if (Own != P.State_.OwnSlices_.end() &&
        maySendOrders(P.State_, "s", clockOf(P))) {
      LastOrders_[Own->second.Number_] = Now_;
      Token &Highest = HighestTokens_[Own->second.Number_];
      Highest = std::max(Highest, orderToken(P.State_, "s"));
    }
  }

  /// Checks the tokens of all owners, whenever their orders were sent.
  void checkTokens() {
    Token Before = 0;
    for (const auto &[Number, Highest] : HighestTokens_) {
      if (Number <= Before)
        Broken_ = "claim " + std::to_string(Number) +
                  " follows orders with token " + std::to_string(Before);
      Raised_ += Highest > Number;
      Before = std::max(Before, Highest);
    }
  }

  void check(const Process &P) {
    auto It = P.State_.OwnSlices_.find("s");
    if (It == P.State_.OwnSlices_.end())
      return;
    const OwnedSlice &Own = It->second;
    auto Bound = [&](bool Settled) {
      ledger::Roster R{{}, Own.PredecessorClaim_, Settled};
      TimePoint End =
          inheritedLeasesEnd(Own, R, {}, P.State_.Options_.SelfFence_);
      return toTrue(P, End) + ClockSlack;
    };
    for (const auto &[Number, At] : LastOrders_) {
      if (Number >= Own.Number_)
        break;
      // A settled roster tells of all owners but the last.
      TimePoint End = Bound(Number == Own.PredecessorClaim_);
      if (At > End)
        Broken_ = "claim " + std::to_string(Number) + " sent an order " +
                  std::to_string(elapsed(End, At).count()) +
                  " ms after the end that claim " +
                  std::to_string(Own.Number_) + " counts from";
    }
  }

  Process &anyAlive() {
    std::vector<Process *> Alive;
    for (const auto &P : Processes_)
      if (P->Alive_)
        Alive.push_back(P.get());
    return *Alive[Random_.below(Alive.size())];
  }

  void strike() {
    Process &P = anyAlive();
    const std::string Name = nodeName(P.State_.Options_.Self_);
    switch (Random_.below(8)) {
    case 0:
      P.Alive_ = false;
      start(Name, P.State_.Options_.Address_);
      break;
    case 1:
      // Lost for good, or a VM of the same name runs beside it.
      P.Alive_ = Random_.below(3) == 0;
      start(Name, Name + ":" + std::to_string(Nodes_ + 2));
      break;
    case 2:
      P.CanRead_ = !P.CanRead_;
      break;
    case 3:
      P.CanWrite_ = !P.CanWrite_;
      break;
    case 4:
      P.CanRead_ = P.CanWrite_ = !P.CanRead_;
      break;
    case 5:
      P.FrozenUntil_ = Now_ + Milliseconds(std::int64_t(Random_.below(8'000)));
      break;
    case 6:
      StoreDown_ = !StoreDown_;
      break;
    case 7:
      loadNewest(P);
      break;
    }
  }

  void run(Milliseconds Time) {
    for (TimePoint End = Now_ + Time; Now_ < End && Broken_.empty();) {
      Now_ += Step;
      runCalls();
      for (std::size_t I = 0; I < Processes_.size(); ++I) {
        Process &P = *Processes_[I];
        if (!runs(P))
          continue;
        read(P);
        write(P);
        recordOrders(P);
      }
      for (const auto &P : Processes_)
        check(*P);
      if (Random_.below(60) == 0)
        strike();
    }
  }
};

} // namespace

// Guards against TWICE: a wait that ends before the last order of a former
// owner ends before the last lease.
Test(order_bounds,
     no_order_is_sent_after_the_end_that_later_owners_count_from) {
  constexpr std::uint64_t Seeds = 500;
  std::size_t Claims = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    OrderModel M(Seed);
    M.run(Milliseconds(60'000));
    cr_assert(M.Broken_.empty(), "seed %llu: %s", (unsigned long long)Seed,
              M.Broken_.c_str());
    Claims += M.Claims_;
  }
  cr_assert_gt(Claims, 3 * Seeds, "owners change");
}

// Guards against TWICE: a worker that has seen a former owner's token would
// refuse a later owner's orders, and carry out the former one's.
Test(order_bounds, tokens_of_former_owners_are_lower_than_each_later_claim) {
  constexpr std::uint64_t Seeds = 500;
  std::size_t Raised = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    OrderModel M(Seed);
    M.run(Milliseconds(60'000));
    M.checkTokens();
    cr_assert(M.Broken_.empty(), "seed %llu: %s", (unsigned long long)Seed,
              M.Broken_.c_str());
    Raised += M.Raised_;
  }
  cr_assert_gt(Raised, 3 * Seeds, "owners raise their tokens");
}
