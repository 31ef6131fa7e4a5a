/// \file
/// One pass of placement: the workers that accept tasks, the room that is
/// reserved on them, and the search for candidates of a step.
#pragma once

#include "scheduler/detail/placing.hpp"

namespace pollenvale::scheduler::detail {

/// A worker that accepts tasks.
struct OpenWorker {
  Worker *Worker_ = nullptr;
  Resources Free_;     ///< Free during the pass, reserved room included.
  Resources Reserved_; ///< Reserved for steps, in all.
};

/// A step with tasks to start, and the objects that it belongs to.
struct WaitingStep {
  WaitOrderKey Key_;
  StepId Id_;
  Job *Job_ = nullptr;
  const Occurrence *Occurrence_ = nullptr;
  Step *Step_ = nullptr;
  const workflow::StepSpec *Spec_ = nullptr;
  Resources Size_; ///< Resources charged for one task.
};

/// One placement pass over all waiting steps.
struct Pass {
  State &State_;
  TimePoint Now_;
  Outbox &Out_;
  std::vector<OpenWorker> Open_; ///< Sorted by worker id.
};

/// Also removes expired reservations.
Pass makePass(State &State, TimePoint Now, Outbox &Out);
/// The worker \p Id; null if it accepts no tasks.
OpenWorker *findOpen(Pass &Pass, const WorkerId &Id);

/// Adds a permit of the policy for the worker.
void addPermit(Step &Step, const WorkerId &Id, Permit P);
/// canHost() of tasks.hpp for a worker that is known to accept tasks.
bool canHost(const Worker &W, const WaitingStep &Ready);

/// Workers with room for a task of the step that the policy has not denied,
/// sorted by id.
std::vector<Candidate> findCandidates(Pass &Pass, const WaitingStep &Ready);
/// Those of findCandidates() with a valid permit. Takes time in the number of
/// permits, not of workers.
std::vector<Candidate> findPermitted(Pass &Pass, const WaitingStep &Ready);
/// Whether findCandidates() finds any.
bool hasCandidate(Pass &Pass, const WaitingStep &Ready);

void dropReservations(Pass &Pass, const StepId &Id);
/// Reserves room for a task of the step on the workers that \p Call names, so
/// that short tasks do not fill it before the policy answers.
void reserveAdvisedWorkers(Pass &Pass, const AdviceCall &Call,
                           const Resources &Size);
/// Reserves the worker with the most free resources for the step, of those that
/// no other step has as a whole and on which a task will fit. Does nothing if
/// other steps have a quarter of the workers.
void reserveFreestWorker(Pass &Pass, const WaitingStep &Ready);
/// Whether a worker may be reserved for the step: small tasks would refill it
/// before a large one fits. At most a quarter of the workers are reserved.
bool mayReserve(const Pass &Pass, const WaitingStep &Ready);

} // namespace pollenvale::scheduler::detail
