#include "jobs/detail/shares.hpp"

#include "jobs/detail/recovery.hpp"
#include "jobs/detail/round.hpp"

namespace pollenvale::jobs {

namespace {

/// Interval at which the usage of peers' jobs is summed.
constexpr Milliseconds PeerUsageInterval{500};

Resources usageOf(const std::map<std::string, Resources> &UsageByTeam,
                  const std::string &Team) {
  auto It = UsageByTeam.find(Team);
  return It == UsageByTeam.end() ? Resources() : It->second;
}

void countTasks(HomedJob &Job) {
  Job.TasksInUse_ = Job.TasksWithoutRoom_ = 0;
  for (const Task &Task : Job.Tasks_) {
    Job.TasksInUse_ += isHoldStage(Task) || isLocatable(Task);
    Job.TasksWithoutRoom_ +=
        Task.Phase_ == TaskPhase::Pending && Task.WaitsForRoom_;
  }
}

void sumPeerUsage(State &State, const Context &Context) {
  State.PeerUsage_.clear();
  for (const auto &[Id, Peer] : Context.Members_.Peers_)
    if (membership::isLive(Context.Members_, Context.Now_, Id))
      for (const auto &[Team, Used] : Peer.LastHeartbeat_.TeamUsage_)
        State.PeerUsage_[Team] += Used;
}

} // namespace

QuotaStatus quotaStatus(const State &State, const Context &Context,
                        const JobSpec &Spec) {
  auto Quota = Context.Config_.Doc_.Quotas_.find(Spec.Team_);
  if (Quota == Context.Config_.Doc_.Quotas_.end())
    return QuotaStatus::Within;
  Resources UsedWithTask = Spec.Size_ + usageOf(State.TeamUsage_, Spec.Team_) +
                           usageOf(State.PeerUsage_, Spec.Team_);
  if (fits(UsedWithTask, Quota->second.Amount_))
    return QuotaStatus::Entitled;
  return Quota->second.MayBorrow_ ? QuotaStatus::Borrowed
                                  : QuotaStatus::Refused;
}

double quotaShare(const State &State, const Context &Context,
                  const std::string &Team) {
  auto Quota = Context.Config_.Doc_.Quotas_.find(Team);
  if (Quota == Context.Config_.Doc_.Quotas_.end())
    return 0;
  return dominantShare(usageOf(State.TeamUsage_, Team) +
                           usageOf(State.PeerUsage_, Team),
                       Quota->second.Amount_);
}

void sumTeamUsage(State &State, const Context &Context) {
  State.TeamUsage_.clear();
  State.TasksWithoutRoom_ = 0;
  for (auto &[Id, Job] : State.HomedJobs_) {
    if (Context.Now_ >= Job.NextCheck_)
      countTasks(Job);
    const JobSpec &Spec = specOf(Context, Context.Table_.Jobs_.at(Id));
    State.TeamUsage_[Spec.Team_] += Spec.Size_ * Job.TasksInUse_;
    State.TasksWithoutRoom_ += Job.TasksWithoutRoom_;
  }
  if (Context.Now_ < State.NextPeerUsage_)
    return;
  State.NextPeerUsage_ = Context.Now_ + PeerUsageInterval;
  sumPeerUsage(State, Context);
}

} // namespace pollenvale::jobs
