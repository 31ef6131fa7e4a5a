#include "jobs/detail/shares.hpp"

#include "jobs/detail/recovery.hpp"
#include "jobs/detail/round.hpp"

namespace pollenvale::jobs {

namespace {

constexpr Milliseconds PeerUsageInterval{500};

Resources valueOf(const std::map<std::string, Resources> &Map,
                  const std::string &Team) {
  auto It = Map.find(Team);
  return It == Map.end() ? Resources() : It->second;
}

void countTasks(Work &W) {
  W.InUse_ = W.Waiting_ = 0;
  for (const Task &T : W.Tasks_) {
    W.InUse_ += isHoldStage(T) || isLocatable(T);
    W.Waiting_ += T.Phase_ == TaskPhase::Pending && T.WaitsForRoom_;
  }
}

void sumPeers(State &S, const Context &C) {
  S.PeerUsage_.clear();
  for (const auto &[Id, P] : C.Members_.Peers_)
    if (membership::isLive(C.Members_, C.Now_, Id))
      for (const auto &[Team, Used] : P.LastHeartbeat_.TeamUsage_)
        S.PeerUsage_[Team] += Used;
}

} // namespace

Claim claimOf(const State &S, const Context &C, const JobSpec &Spec) {
  auto Quota = C.Config_.Doc_.Quotas_.find(Spec.Team_);
  if (Quota == C.Config_.Doc_.Quotas_.end())
    return Claim::Within;
  Resources Used = Spec.Size_ + valueOf(S.TeamUsage_, Spec.Team_) +
                   valueOf(S.PeerUsage_, Spec.Team_);
  if (fits(Used, Quota->second.Amount_))
    return Claim::Entitled;
  return Quota->second.MayBorrow_ ? Claim::Borrowed : Claim::Refused;
}

double quotaShare(const State &S, const Context &C, const std::string &Team) {
  auto Quota = C.Config_.Doc_.Quotas_.find(Team);
  if (Quota == C.Config_.Doc_.Quotas_.end())
    return 0;
  return dominantShare(valueOf(S.TeamUsage_, Team) +
                           valueOf(S.PeerUsage_, Team),
                       Quota->second.Amount_);
}

void sumTeamUsage(State &S, const Context &C) {
  S.TeamUsage_.clear();
  S.Waiting_ = 0;
  for (auto &[Id, W] : S.Works_) {
    if (C.Now_ >= W.NextLook_)
      countTasks(W);
    const JobSpec &Spec = specOf(C, C.Table_.Jobs_.at(Id));
    S.TeamUsage_[Spec.Team_] += Spec.Size_ * W.InUse_;
    S.Waiting_ += W.Waiting_;
  }
  if (C.Now_ < S.NextPeerUsage_)
    return;
  S.NextPeerUsage_ = C.Now_ + PeerUsageInterval;
  sumPeers(S, C);
}

} // namespace pollenvale::jobs
