#include "jobs/jobs.hpp"

namespace pollenvale::jobs {

using namespace eventlog;

namespace {

void close(Table &T, Job &J, const std::string &State,
           const std::string &Reason) {
  J.Closed_ = true;
  J.State_ = State;
  J.Reason_ = Reason;
  T.OpenByHome_[J.Home_].erase(J.Id_);
  auto Key = T.OpenByKey_.find(J.Spec_.Key_);
  if (Key != T.OpenByKey_.end() && Key->second == J.Id_)
    T.OpenByKey_.erase(Key);
  T.ClosedOrder_.push_back(J.Id_);
  if (T.ClosedOrder_.size() > KeptClosed) {
    T.Jobs_.erase(T.ClosedOrder_.front());
    T.ClosedOrder_.pop_front();
  }
}

void rememberAttached(Job &First, const JobId &Id) {
  First.Attached_.push_back(Id);
  if (First.Attached_.size() > KeptAttached)
    First.Attached_.erase(First.Attached_.begin());
}

/// Brings back attached jobs whose own records retention has removed.
void restoreAttached(Table &T, Job &First, const std::vector<JobId> &Ids) {
  for (const JobId &Id : Ids) {
    auto [It, New] = T.Jobs_.try_emplace(Id);
    if (!New)
      continue;
    Job &J = It->second;
    J.Id_ = Id;
    J.Spec_ = First.Spec_;
    J.Home_ = First.Home_;
    J.AttachedTo_ = First.Id_;
    rememberAttached(First, Id);
    close(T, J, "attached", First.Id_);
  }
}

struct Apply {
  Table &T_;
  Offset At_;

  Change operator()(const AcceptRecord &R) const {
    auto [It, New] = T_.Jobs_.try_emplace(R.Job_);
    Job &J = It->second;
    if (!New) {
      restoreAttached(T_, J, R.Attached_);
      return {Change::Kind::Repeated, {R.Job_}, "", J.Home_};
    }
    J.Id_ = R.Job_;
    J.Spec_ = R.Spec_;
    J.Home_ = currentHome(T_, R.Home_);
    J.Cancelled_ = R.Cancelled_;
    J.AcceptedAt_ = At_;
    if (!J.Spec_.Key_.empty()) {
      auto [Key, First] = T_.OpenByKey_.emplace(J.Spec_.Key_, J.Id_);
      if (!First) {
        J.AttachedTo_ = Key->second;
        rememberAttached(T_.Jobs_.at(Key->second), J.Id_);
        J.State_ = "attached";
        T_.OpenByHome_[J.Home_].insert(J.Id_);
        return {Change::Kind::Attached, {J.Id_}, "", J.Home_};
      }
    }
    T_.OpenByHome_[J.Home_].insert(J.Id_);
    restoreAttached(T_, J, R.Attached_);
    return {Change::Kind::Accepted, {J.Id_}, "", J.Home_};
  }

  Change operator()(const CancelRecord &R) const {
    auto It = T_.Jobs_.find(R.Job_);
    if (It == T_.Jobs_.end() || It->second.Closed_)
      return {};
    It->second.Cancelled_ = true;
    return {Change::Kind::Cancelled, {R.Job_}, "", It->second.Home_};
  }

  Change operator()(const OutcomeRecord &R) const {
    auto It = T_.Jobs_.find(R.Job_);
    if (It == T_.Jobs_.end() || It->second.Closed_)
      return {};
    if (R.State_ == "attached")
      It->second.AttachedTo_ = R.Reason_;
    close(T_, It->second, R.State_, R.Reason_);
    return {Change::Kind::Closed, {R.Job_}, "", ""};
  }

  Change operator()(const TakeoverRecord &R) const {
    // A node that lost its jobs itself takes over nothing, so no chain of
    // take-overs is a cycle.
    if (T_.Takeovers_.count(R.NewHome_) || R.Dead_ == R.NewHome_ ||
        !T_.Takeovers_.emplace(R.Dead_, R.NewHome_).second)
      return {};
    Change C{Change::Kind::Moved, {}, R.Dead_, currentHome(T_, R.NewHome_)};
    auto Jobs = std::move(T_.OpenByHome_[R.Dead_]);
    T_.OpenByHome_.erase(R.Dead_);
    for (const JobId &Id : Jobs) {
      T_.Jobs_.at(Id).Home_ = C.Home_;
      C.Jobs_.push_back(Id);
    }
    T_.OpenByHome_[C.Home_].merge(Jobs);
    auto Uses = std::move(T_.Uses_[R.Dead_]);
    T_.Uses_.erase(R.Dead_);
    T_.Uses_[C.Home_].merge(Uses);
    return C;
  }

  Change operator()(const UsesRecord &R) const {
    NodeId Node = currentHome(T_, R.Node_);
    T_.Uses_[Node].insert(R.Workers_.begin(), R.Workers_.end());
    return {};
  }

  Change operator()(const ConfigRecord &) const { return {}; }
  Change operator()(const ConfigSnapshot &) const { return {}; }
};

} // namespace

Change apply(Table &T, Offset At, const Record &R) {
  return std::visit(Apply{T, At}, R);
}

NodeId currentHome(const Table &T, NodeId Home) {
  for (auto It = T.Takeovers_.find(Home); It != T.Takeovers_.end();
       It = T.Takeovers_.find(Home))
    Home = It->second;
  return Home;
}

const Job *find(const Table &T, const JobId &Id) {
  auto It = T.Jobs_.find(Id);
  return It == T.Jobs_.end() ? nullptr : &It->second;
}

const Job *findWork(const Table &T, const JobId &Id) {
  const Job *J = find(T, Id);
  while (J && !J->AttachedTo_.empty()) {
    const Job *Next = find(T, J->AttachedTo_);
    if (!Next)
      return J;
    J = Next;
  }
  return J;
}

} // namespace pollenvale::jobs
