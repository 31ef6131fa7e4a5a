/// \file
/// Queue of one service at an entry, and its admission and retry decisions.
#pragma once

#include "base/base.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace pollenvale::requests {

/// How often a request may be run.
enum class Mode {
  Repeatable, ///< Idempotent: may be retried after any failed attempt.
  Single,     ///< Retried only if the failed attempt provably did not run.
  Once        ///< Dispatched at most once.
};

/// A caller's request to a service.
struct Request {
  std::uint64_t Sequence_ = 0;   ///< Order of admission; unique at the entry.
  std::uint64_t Connection_ = 0; ///< Caller's connection, for the answer.
  ServiceName Service_;
  std::string Class_; ///< Key under which run times are recorded.
  Mode Mode_ = Mode::Repeatable;
  std::string Body_;
  TimePoint ArrivedAt_{};
  TimePoint Deadline_{};
  std::uint32_t Attempts_ = 0; ///< Dispatches so far.
  /// A failed attempt may have run the request.
  bool MayHaveRun_ = false;
};

/// Exponentially weighted mean of measured run times.
struct RunTime {
  double MeanMs_ = 0;
  std::uint64_t Samples_ = 0;
};

/// Token bucket that limits the retries of a service to a share of its admitted
/// requests.
struct RetryBudget {
  double Tokens_ = 10; ///< A retry takes one token.
};

/// Tokens that each admitted request adds to the retry budget.
inline constexpr double RetryShare = 0.2;
inline constexpr double MaxRetryTokens = 100;
/// Weight of a new sample in the mean run time.
inline constexpr double RunTimeWeight = 0.1;

/// Queued requests of one service, with its run times and retry budget.
/// Requests of long-running classes are queued apart from short ones.
struct Queue {
  std::deque<std::uint64_t> Short_;         ///< Sequence numbers of requests.
  std::deque<std::uint64_t> Long_;          ///< Sequence numbers of requests.
  std::map<std::string, RunTime> RunTimes_; ///< By class.
  RunTime ShortRunTime_;                    ///< Over all short classes.
  RunTime LongRunTime_;                     ///< Over all long classes.
  RetryBudget Budget_;
  std::uint32_t ShortInFlight_ = 0; ///< Dispatched short requests.
  std::uint32_t LongInFlight_ = 0;  ///< Dispatched long requests.
  std::size_t size() const { return Short_.size() + Long_.size(); }
};

/// Adds the tokens that an admitted request earns.
void earnRetry(RetryBudget &Budget);
/// Takes the token for one retry; false if the budget is exhausted.
bool spendRetry(RetryBudget &Budget);
/// Records the run time of an answered request of \p Class.
void recordRunTime(Queue &Queue, const std::string &Class, bool Long,
                   Milliseconds Duration);
/// True if the mean run time of \p Class is at least \p Threshold. False for a
/// class without samples.
bool isLongClass(const Queue &Queue, const std::string &Class,
                 Milliseconds Threshold);
/// Expected time until a new request is answered: the wait for the requests
/// queued ahead of it, plus its own run time with a margin. \p Slots is the
/// number of slots that this entry can expect to get, \p LongShare the share of
/// them that long requests may use.
Milliseconds estimateAnswerTime(const Queue &Queue, bool Long, double Slots,
                                double LongShare);
/// Queue from which to dispatch next: the one with the older request, or the
/// short one if \p ShortFirst. Null if both are empty, or if only long requests
/// are queued and \p LongLimit of them are in flight.
std::deque<std::uint64_t> *nextQueue(Queue &Queue, std::uint32_t LongLimit,
                                     bool ShortFirst);

} // namespace pollenvale::requests
