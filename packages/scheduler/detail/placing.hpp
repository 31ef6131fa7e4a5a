/// \file
/// Pure parts of placement: the order of waiting steps, the choice of workers
/// and of those to ask the policy about.
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler::detail {

/// Place of a waiting step in the order; smaller goes first.
struct WaitKey {
  Standing Standing_ = Standing::InTime;
  int Priority_ = 0;
  TimePoint DueAt_{};
  TimePoint AcceptedAt_{};

  auto key() const {
    return std::tie(Standing_, Priority_, DueAt_, AcceptedAt_);
  }
  bool operator<(const WaitKey &O) const { return key() < O.key(); }
  bool operator==(const WaitKey &O) const { return key() == O.key(); }
};

/// End of the objective of an occurrence.
TimePoint dueAt(const Job &J, const Occurrence &O);
/// The same of a step that waits. That of a service begins anew each time that
/// a task of it comes up.
TimePoint dueAt(const Job &J, const Occurrence &O,
                const workflow::StepSpec &Spec, const Step &P);
/// Time after which an occurrence is worth nothing.
TimePoint worthlessAt(const Job &J, const Occurrence &O);

WaitKey waitKey(const Job &J, const Occurrence &O,
                const workflow::StepSpec &Spec, const Step &P, TimePoint Now);

/// A worker that could take a task of the step.
struct Candidate {
  Worker *Worker_ = nullptr;
  Resources Free_;
  std::uint32_t OnIt_ = 0; ///< Tasks of the step there.
  bool Permitted_ = false;
  bool Allowed_ = false; ///< The policy has allowed it at some time.
};

/// Tasks of \p Spec that fit into \p C.
std::uint32_t capacityFor(const workflow::StepSpec &Spec, const Candidate &C);

/// Index of the best candidate for one task; empty when none fits. The one
/// with the least room left over, near the data, not where it failed last.
std::optional<std::size_t> chooseWorker(const workflow::StepSpec &Spec,
                                        const std::vector<Candidate> &All,
                                        const WorkerId &FailedOn);

/// Workers to ask the policy about so that \p Tasks tasks find room: those with
/// room, and more of \p Unknown as long as naming them costs little beside the
/// decision, since the answer stays valid.
std::vector<WorkerId> chooseForAdvice(const workflow::StepSpec &Spec,
                                      const workflow::AdvicePolicy &Policy,
                                      const std::vector<Candidate> &All,
                                      const std::vector<WorkerId> &Unknown,
                                      std::uint32_t Tasks);

} // namespace pollenvale::scheduler::detail
