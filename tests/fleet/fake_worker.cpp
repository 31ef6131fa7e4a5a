#include "fleet/fake_worker.hpp"

#include <algorithm>

namespace pollenvale::fleettest {

using scheduler::CallStatus;

namespace {

constexpr Milliseconds StopDuration{100};
/// A member of a gang ends if the other members have not been started by then.
constexpr Milliseconds GangStartLimit{3'000};
/// Limit of ends in one list.
constexpr std::size_t MaxEndsListed = 500;
/// Longer leases are shortened to this.
constexpr Milliseconds MaxLease{10'000};

} // namespace

void end(FakeWorker &W, const TaskId &Id, EndKind Kind, TimePoint Now) {
  std::uint32_t Run = W.Runs_.at(Id).Number_;
  W.Runs_.erase(Id);
  W.HighestPastRuns_[Id] = std::max(W.HighestPastRuns_[Id], Run);
  bool Saved = Kind == EndKind::Stopped || Kind == EndKind::GangBroken;
  std::string Checkpoint = Saved ? "saved" : "";
  W.Ends_.push_back({++W.LastEnd_, Id, Run, Kind, Checkpoint});
  W.EndedAt_[W.LastEnd_] = Now;
}

namespace {

CallStatus checkToken(FakeWorker &W, Token T) {
  if (T < W.Token_)
    return CallStatus::Fenced;
  W.Token_ = T;
  return CallStatus::Done;
}

void extend(FakeWorker &W, Milliseconds Until, TimePoint Now) {
  Milliseconds OnClock = std::min(Until - clockOf(W, Now), MaxLease);
  Milliseconds Length(std::int64_t(double(OnClock.count()) / W.ClockRate_));
  W.LeaseEndsAt_ = std::max(W.LeaseEndsAt_, Now + Length);
}

} // namespace

Milliseconds clockOf(const FakeWorker &W, TimePoint Now) {
  Milliseconds Since = elapsed(TimePoint{}, Now) + W.ClockShift_;
  return Milliseconds(std::int64_t(double(Since.count()) * W.ClockRate_));
}

void advance(FakeWorker &W, TimePoint Now) {
  if (W.LeaseEndsAt_ <= Now)
    W.LeaseLapsedAt_ = std::max(W.LeaseLapsedAt_, W.LeaseEndsAt_);
  auto Runs = W.Runs_;
  for (const auto &[Id, R] : Runs) {
    TimePoint DoneAt = R.WorkStartedAt_ ? *R.WorkStartedAt_ + R.Fate_.Length_
                                        : R.StartedAt_ + GangStartLimit;
    if (DoneAt <= Now && DoneAt <= W.LeaseEndsAt_)
      end(W, Id, R.WorkStartedAt_ ? R.Fate_.Kind_ : EndKind::GangIncomplete,
          DoneAt);
    else if (W.LeaseEndsAt_ <= Now)
      end(W, Id, EndKind::Lapsed, Now);
    else if (R.StopsAt_ && *R.StopsAt_ <= Now)
      end(W, Id, EndKind::Stopped, Now);
  }
}

void restart(FakeWorker &W, std::int64_t StartedUnixMs, TimePoint Now) {
  W.Runs_.clear();
  W.HighestPastRuns_.clear();
  W.Ends_.clear();
  W.EndedAt_.clear();
  W.LastEnd_ = W.ListedEnd_ = 0;
  W.Token_ = 0;
  W.LeaseEndsAt_ = {};
  W.Info_.StartedUnixMs_ = StartedUnixMs;
  W.ClockShift_ = -elapsed(TimePoint{}, Now);
}

scheduler::OrderReply start(FakeWorker &W, const scheduler::StartCall &C,
                            const TaskTraits &N, TimePoint Now) {
  advance(W, Now);
  if (CallStatus S = checkToken(W, C.Target_.Token_); S != CallStatus::Done)
    return {S, clockOf(W, Now)};
  auto It = W.Runs_.find(C.Task_);
  if (It != W.Runs_.end() && It->second.Number_ == C.Run_)
    return {CallStatus::Done, clockOf(W, Now)};
  auto Past = W.HighestPastRuns_.find(C.Task_);
  if (It != W.Runs_.end() ||
      (Past != W.HighestPastRuns_.end() && C.Run_ <= Past->second)) {
    extend(W, C.Deadline_, Now);
    return {CallStatus::Superseded, clockOf(W, Now)};
  }
  if (C.Deadline_ < clockOf(W, Now))
    return {CallStatus::Late, clockOf(W, Now)};
  extend(W, C.Deadline_, Now);
  FakeRun R{C.Run_, Now, N.Fate_(C.Task_, C.Run_), N.Size_(C.Task_), {}};
  R.Gang_ = N.IsGang_(C.Task_);
  if (!R.Gang_)
    R.WorkStartedAt_ = Now;
  W.Runs_[C.Task_] = R;
  return {CallStatus::Done, clockOf(W, Now)};
}

scheduler::OrderReply stop(FakeWorker &W, const scheduler::StopCall &C,
                           TimePoint Now) {
  advance(W, Now);
  if (CallStatus S = checkToken(W, C.Target_.Token_); S != CallStatus::Done)
    return {S, clockOf(W, Now)};
  auto It = W.Runs_.find(C.Task_);
  if (It != W.Runs_.end() && It->second.Number_ <= C.Run_) {
    if (!It->second.StopsAt_)
      It->second.StopsAt_ = Now + StopDuration;
  } else {
    W.HighestPastRuns_[C.Task_] = std::max(W.HighestPastRuns_[C.Task_], C.Run_);
  }
  return {CallStatus::Done, clockOf(W, Now)};
}

namespace {

unsigned percentOf(const FakeWorker &W, const FakeRun &R, TimePoint Now) {
  if (W.Percent_)
    return *W.Percent_;
  if (!R.WorkStartedAt_ || R.Fate_.Length_.count() == 0)
    return 0;
  return unsigned(100 * elapsed(*R.WorkStartedAt_, Now).count() /
                  R.Fate_.Length_.count());
}

} // namespace

scheduler::RenewReply renew(FakeWorker &W, const scheduler::RenewCall &C,
                            TimePoint Now) {
  advance(W, Now);
  scheduler::RenewReply Out;
  Out.Status_ = checkToken(W, C.Target_.Token_);
  Out.Clock_ = clockOf(W, Now);
  Out.StartedUnixMs_ = W.Info_.StartedUnixMs_;
  if (Out.Status_ != CallStatus::Done)
    return Out;
  if (C.LeaseUntil_)
    extend(W, *C.LeaseUntil_, Now);
  for (const EndedTask &E : W.Ends_)
    if (E.Number_ <= C.AckedEnd_ && E.Number_ > W.ListedEnd_)
      W.LostEnds_.push_back(E);
  std::erase_if(W.Ends_, [&](const EndedTask &E) {
    if (E.Number_ <= C.AckedEnd_)
      W.AckedEnds_.push_back(E);
    return E.Number_ <= C.AckedEnd_;
  });
  auto Listed = std::min(W.Ends_.size(), MaxEndsListed);
  if (Listed > 0)
    W.ListedEnd_ = std::max(W.ListedEnd_, W.Ends_[Listed - 1].Number_);
  Out.Ended_.assign(W.Ends_.begin(), W.Ends_.begin() + std::ptrdiff_t(Listed));
  if (W.HidesRuns_) {
    Out.UnreadableRuns_ = W.Runs_.size();
    return Out;
  }
  for (const auto &[Id, R] : W.Runs_)
    Out.Running_.push_back(
        {Id, R.Number_, "", percentOf(W, R, Now), double(W.Gauge_)});
  return Out;
}

} // namespace pollenvale::fleettest
