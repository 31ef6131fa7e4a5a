/// \file
/// Messages between the home of a job and the holders of workers, and between
/// holders.
#pragma once

#include "base/base.hpp"

#include <vector>

namespace pollenvale::workers {

/// Task fields a holder needs to place and start it.
struct TaskSpec {
  std::uint8_t Kind_ = 0; ///< JobKind.
  std::string Name_;
  std::string Team_;
  Resources Size_;
  std::uint32_t RunMs_ = 0; ///< Declared run time; 0 means endless.
  std::uint32_t Slots_ = 0; ///< Concurrent requests; services only.
  bool Urgent_ = false;
  bool Borrowed_ = false; ///< Started above its team's quota.
  MSGPACK_DEFINE(Kind_, Name_, Team_, Size_, RunMs_, Slots_, Urgent_, Borrowed_)
};

/// Home to holder: requests a hold, which reserves room for one task and
/// expires after HoldTtl.
struct HoldRequest {
  AttemptId Attempt_;
  TaskSpec Task_;
  /// Accepted values by label; a label that is not listed may have any value.
  std::map<std::string, std::vector<std::string>> Selector_;
  bool Spread_ = false;         ///< Spread placement instead of packing.
  std::vector<WorkerId> Avoid_; ///< Workers where this task has failed.
  bool Entitled_ = false; ///< Within its team's quota: may take borrowed room.
  MSGPACK_DEFINE(Attempt_, Task_, Selector_, Spread_, Avoid_, Entitled_)
};

/// Holder to home: result of a HoldRequest.
struct HoldReply {
  AttemptId Attempt_;
  bool Granted_ = false;
  WorkerId Worker_; ///< Empty when refused.
  /// Refused: number of workers ruled out, by reason.
  std::map<std::string, std::uint32_t> Reasons_;
  MSGPACK_DEFINE(Attempt_, Granted_, Worker_, Reasons_)
};

/// Home to holder: starts the task of a granted hold.
struct Commit {
  AttemptId Attempt_;
  WorkerId Worker_;
  MSGPACK_DEFINE(Attempt_, Worker_)
};

/// Home to holder: drops a hold, or stops the attempt when it was committed.
struct Release {
  AttemptId Attempt_;
  WorkerId Worker_;
  std::string Reason_; ///< "drain" stops it once none of its slots is in use.
  MSGPACK_DEFINE(Attempt_, Worker_, Reason_)
};

enum class AttemptState : std::uint8_t {
  Running,
  Finished, ///< Ran to completion.
  Failed,   ///< Ran and failed.
  Stopped,  ///< Ran and was stopped on request or after its lease expired.
  NotRun,   ///< Did not start and never will.
  Unsettled ///< Held or being started.
};

inline std::string toString(AttemptState S) {
  static const char *const Names[] = {"running", "finished", "failed",
                                      "stopped", "not-run",  "unsettled"};
  return Names[std::size_t(S)];
}

/// Holder to home: state of an attempt. Repeated until acknowledged, except
/// Running.
struct TaskReport {
  AttemptId Attempt_;
  WorkerId Worker_;
  std::uint8_t State_ = 0; ///< AttemptState.
  std::string Reason_;     ///< May be empty.
  MSGPACK_DEFINE(Attempt_, Worker_, State_, Reason_)
};

/// Home to holder: the outcome is recorded. A finished attempt stays in the
/// inventory until its job is closed in the log, so that a new home finds it.
struct TaskAck {
  AttemptId Attempt_;
  WorkerId Worker_;
  MSGPACK_DEFINE(Attempt_, Worker_)
};

/// Asks the holders of these workers to release them. The sender has just
/// reached the workers, so a holder that releases one knows that it will be
/// acquired again.
struct HandOverRequest {
  std::vector<WorkerId> Workers_;
  MSGPACK_DEFINE(Workers_)
};

/// Home to possible holders: asks for the sender's attempts on these workers.
struct LocateRequest {
  std::vector<WorkerId> Workers_;
  /// A holder replies only once it has applied the log up to this offset, so
  /// that it knows the jobs and their homes at least as well as the sender.
  Offset MinNext_ = 0;
  std::uint64_t Nonce_ = 0; ///< Increases with every request of a home.
  MSGPACK_DEFINE(Workers_, MinNext_, Nonce_)
};

/// Holder to home: complete list of the home's attempts on one worker.
struct LocateReply {
  WorkerId Worker_;
  Offset MinNext_ = 0;      ///< Copied from the request.
  std::uint64_t Nonce_ = 0; ///< Copied from the request.
  std::vector<TaskReport> Attempts_;
  MSGPACK_DEFINE(Worker_, MinNext_, Nonce_, Attempts_)
};

} // namespace pollenvale::workers
