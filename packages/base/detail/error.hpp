/// \file
/// The closed list of error kinds and the table from kind to answer.
#pragma once

#include <array>
#include <boost/outcome.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pollenvale {

/// Numbered and stable: an id is never reused for another meaning.
enum class ErrorKind {
  BadJson = 101,
  BodyTooLarge = 102,
  UnknownPath = 103,
  WrongMethod = 104,
  BadSpec = 105,
  UnknownService = 106,
  UnknownId = 107,
  SelectorMatchesNothing = 201,
  NoWorkerFits = 202,
  QuotaExceeded = 203,
  InvalidConfig = 301,
  ConfigConflict = 302,
  NoConfig = 303,
  LogUnavailable = 401,
  LogUnknown = 402,
  Stopping = 501,
  QueueFull = 502,
  DeadlineUnmeetable = 503,
  DeadlineInQueue = 504,
  RetryBudgetSpent = 505,
  NotDispatched = 506,
  ConnectionLost = 601,
  AnswerTimeout = 602,
  AnswerTruncated = 603,
  CancelPending = 604,
  BadSettings = 701,
};

/// What the caller may conclude about the work when it gets an error.
enum class RunState { NotRun, Ran, Unknown };

struct ErrorRow {
  ErrorKind Kind_;
  std::string_view Name_;
  int Status_; ///< HTTP status code.
  RunState Run_;
};

/// Table from kind to answer. The names are the counter names too.
inline constexpr std::array ErrorTable = {
    ErrorRow{ErrorKind::BadJson, "bad-json", 400, RunState::NotRun},
    ErrorRow{ErrorKind::BodyTooLarge, "body-too-large", 413, RunState::NotRun},
    ErrorRow{ErrorKind::UnknownPath, "unknown-path", 404, RunState::NotRun},
    ErrorRow{ErrorKind::WrongMethod, "wrong-method", 405, RunState::NotRun},
    ErrorRow{ErrorKind::BadSpec, "bad-spec", 422, RunState::NotRun},
    ErrorRow{ErrorKind::UnknownService, "unknown-service", 404,
             RunState::NotRun},
    ErrorRow{ErrorKind::UnknownId, "unknown-id", 404, RunState::NotRun},
    ErrorRow{ErrorKind::SelectorMatchesNothing, "selector-matches-nothing", 422,
             RunState::NotRun},
    ErrorRow{ErrorKind::NoWorkerFits, "no-worker-fits", 422, RunState::NotRun},
    ErrorRow{ErrorKind::QuotaExceeded, "quota-exceeded", 429, RunState::NotRun},
    ErrorRow{ErrorKind::InvalidConfig, "invalid-config", 422, RunState::NotRun},
    ErrorRow{ErrorKind::ConfigConflict, "config-conflict", 409,
             RunState::NotRun},
    ErrorRow{ErrorKind::NoConfig, "no-config", 503, RunState::NotRun},
    ErrorRow{ErrorKind::LogUnavailable, "log-unavailable", 503,
             RunState::NotRun},
    ErrorRow{ErrorKind::LogUnknown, "log-unknown", 504, RunState::Unknown},
    ErrorRow{ErrorKind::Stopping, "stopping", 503, RunState::NotRun},
    ErrorRow{ErrorKind::QueueFull, "queue-full", 503, RunState::NotRun},
    ErrorRow{ErrorKind::DeadlineUnmeetable, "deadline-unmeetable", 503,
             RunState::NotRun},
    ErrorRow{ErrorKind::DeadlineInQueue, "deadline-in-queue", 504,
             RunState::NotRun},
    ErrorRow{ErrorKind::RetryBudgetSpent, "retry-budget-spent", 503,
             RunState::NotRun},
    ErrorRow{ErrorKind::NotDispatched, "not-dispatched", 503, RunState::NotRun},
    ErrorRow{ErrorKind::ConnectionLost, "connection-lost", 502,
             RunState::Unknown},
    ErrorRow{ErrorKind::AnswerTimeout, "answer-timeout", 504,
             RunState::Unknown},
    ErrorRow{ErrorKind::AnswerTruncated, "answer-truncated", 502,
             RunState::Unknown},
    ErrorRow{ErrorKind::CancelPending, "cancel-pending", 504,
             RunState::Unknown},
    ErrorRow{ErrorKind::BadSettings, "bad-settings", 500, RunState::NotRun},
};

/// Row of \p Kind. O(kinds). Every kind has a row; see the unit test.
const ErrorRow &errorRow(ErrorKind Kind);
std::string_view toString(RunState Run);

/// A kind and a message that names the offending value and place.
struct Error {
  ErrorKind Kind_;
  std::string Message_;
};

template <class T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

/// The value of \p R. Throws std::invalid_argument with the error's message:
/// Result::value() itself does not check.
template <class T> T valueOrThrow(Result<T> R) {
  if (!R)
    throw std::invalid_argument(R.error().Message_);
  return std::move(R.value());
}

inline Error makeError(ErrorKind Kind, std::string Message) {
  return Error{Kind, std::move(Message)};
}

} // namespace pollenvale
