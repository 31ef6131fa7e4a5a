/// \file
/// Functions of placement without side effects: the order of waiting steps, and
/// the choice of workers to run tasks and to ask the placement policy about.
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler::detail {

/// Sort key of a waiting step; the smallest is placed first.
struct WaitOrderKey {
  Urgency Urgency_ = Urgency::InTime;
  int Priority_ = 0;
  TimePoint DueAt_{};
  TimePoint AcceptedAt_{};

  auto key() const {
    return std::tie(Urgency_, Priority_, DueAt_, AcceptedAt_);
  }
  bool operator<(const WaitOrderKey &O) const { return key() < O.key(); }
  bool operator==(const WaitOrderKey &O) const { return key() == O.key(); }
};

/// When the objective of an occurrence ends.
TimePoint dueAt(const Job &J, const Occurrence &O);
/// When the objective of a waiting step ends. For a service, the objective
/// restarts each time the step begins to wait.
TimePoint dueAt(const Job &J, const Occurrence &O,
                const workflow::StepSpec &Spec, const Step &Step);
/// Time after which a result of the occurrence has no value.
TimePoint worthlessAt(const Job &J, const Occurrence &O);

WaitOrderKey makeWaitKey(const Job &J, const Occurrence &O,
                         const workflow::StepSpec &Spec, const Step &Step,
                         TimePoint Now);

/// A worker with room for a task of a step.
struct Candidate {
  Worker *Worker_ = nullptr;
  Resources Free_;              ///< Without resources reserved for other steps.
  std::uint32_t StepTasks_ = 0; ///< Tasks of the step there, if it limits them.
  bool Permitted_ = false;      ///< No permit is needed, or one is valid.
  bool Allowed_ = false; ///< The policy has given a permit, maybe expired.
};

/// How many tasks of \p Spec the candidate can take.
std::uint32_t tasksThatFit(const workflow::StepSpec &Spec, const Candidate &C);

/// Index of the best permitted candidate for one task; empty if the task fits
/// on none. Prefers little room left over, a rack with the data, and a worker
/// other than \p FailedOn.
std::optional<std::size_t>
chooseWorker(const workflow::StepSpec &Spec,
             const std::vector<Candidate> &Candidates,
             const WorkerId &FailedOn);

/// Workers to ask the policy about so that \p Tasks tasks find room: candidates
/// with room, and workers of \p Unknown as long as this costs little compared
/// with the decision, as the answer stays valid for a while.
std::vector<WorkerId> chooseWorkersForAdvice(
    const workflow::StepSpec &Spec, const workflow::AdvicePolicy &Policy,
    const std::vector<Candidate> &Candidates,
    const std::vector<WorkerId> &Unknown, std::uint32_t Tasks);

} // namespace pollenvale::scheduler::detail
