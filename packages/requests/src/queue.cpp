#include "requests/requests.hpp"

namespace pollenvale::requests {

void earnRetry(RetryBudget &Budget) {
  Budget.Tokens_ = std::min(MaxRetryTokens, Budget.Tokens_ + RetryShare);
}

bool spendRetry(RetryBudget &Budget) {
  if (Budget.Tokens_ < 1)
    return false;
  Budget.Tokens_ -= 1;
  return true;
}

namespace {

/// Updates the weighted mean; the first sample sets it.
void updateMean(RunTime &Run, Milliseconds Duration) {
  double Weight = Run.Samples_ == 0 ? 1.0 : RunTimeWeight;
  Run.MeanMs_ += Weight * (double(Duration.count()) - Run.MeanMs_);
  ++Run.Samples_;
}

} // namespace

void recordRunTime(Queue &Queue, const std::string &Class, bool Long,
                   Milliseconds Duration) {
  updateMean(Queue.RunTimes_[Class], Duration);
  updateMean(Long ? Queue.LongRunTime_ : Queue.ShortRunTime_, Duration);
}

bool isLongClass(const Queue &Queue, const std::string &Class,
                 Milliseconds Threshold) {
  auto It = Queue.RunTimes_.find(Class);
  return It != Queue.RunTimes_.end() &&
         It->second.MeanMs_ >= double(Threshold.count());
}

Milliseconds estimateAnswerTime(const Queue &Queue, bool Long, double Slots,
                                double LongShare) {
  // Covers the scatter of run times around their mean.
  constexpr double RunTimeMargin = 1.5;
  double MeanMs = (Long ? Queue.LongRunTime_ : Queue.ShortRunTime_).MeanMs_;
  double QueuedAhead = double(Long ? Queue.Long_.size() : Queue.Short_.size());
  double UsableSlots =
      Long ? Slots * LongShare : Slots - double(Queue.LongInFlight_);
  double WaitMs = QueuedAhead * MeanMs / std::max(1.0, UsableSlots);
  return Milliseconds(std::int64_t(WaitMs + RunTimeMargin * MeanMs));
}

std::deque<std::uint64_t> *nextQueue(Queue &Queue, std::uint32_t LongLimit,
                                     bool ShortFirst) {
  bool LongAllowed = !Queue.Long_.empty() && Queue.LongInFlight_ < LongLimit;
  if (Queue.Short_.empty())
    return LongAllowed ? &Queue.Long_ : nullptr;
  if (!LongAllowed || ShortFirst)
    return &Queue.Short_;
  // Sequence numbers are assigned on arrival: the smaller one is older.
  return Queue.Long_.front() < Queue.Short_.front() ? &Queue.Long_
                                                    : &Queue.Short_;
}

} // namespace pollenvale::requests
