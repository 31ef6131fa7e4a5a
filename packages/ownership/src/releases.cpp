/// Slices that an entry gives up, and the names of services that keep those
/// findable that nobody has claimed.
#include "ownership/detail/internal.hpp"
#include "ownership/ownership.hpp"

namespace pollenvale::ownership {

using ledger::StoreStatus;
using namespace detail;

namespace {

/// Pause after a release, or a name, that was refused or got no answer.
constexpr Milliseconds ReleaseRetryInterval{200};

/// Forgets releases that are stored and those of superseded claims.
void dropSettledReleases(State &Claims) {
  std::erase_if(Claims.Releases_, [&](const auto &Release) {
    auto View = Claims.Slices_.find(Release.first);
    if (View == Claims.Slices_.end())
      return true;
    bool Released = View->second.Released_ && !Release.second.Removes_;
    return Released || View->second.Number_ > Release.second.Number_;
  });
}

/// Whether the name of the service is to be removed before its claim: without
/// either, entries that start would not find jobs that were accepted meanwhile.
bool hasNameToRemove(const State &Claims, const SliceName &Slice,
                     const PendingRelease &Release) {
  auto Name = Claims.ServiceNames_.find(Slice);
  return Release.Removes_ && Release.Name_ &&
         Name != Claims.ServiceNames_.end() && Name->second == *Release.Name_;
}

} // namespace

namespace detail {

std::set<SliceName> claimedSlices(const State &Claims) {
  std::set<SliceName> Out;
  for (const auto &[Slice, View] : Claims.Slices_)
    if (View.Number_ > 0)
      Out.insert(Slice);
  return Out;
}

void giveUpSlices(State &Claims) {
  for (const auto &[Slice, Own] : Claims.OwnSlices_)
    Claims.Releases_[Slice] = {Own.Number_, Own.Generation_};
  Claims.OwnSlices_.clear();
}

void sendReleases(State &Claims, Offset End, TimePoint Now,
                  std::vector<Write> &Out) {
  dropSettledReleases(Claims);
  for (auto &[Slice, Release] : Claims.Releases_) {
    if (Release.InFlight_ || Now < Release.RetryAt_ ||
        Release.RejectedEnd_ == End)
      continue;
    ClaimRecord R{Claims.Options_.Self_, Release.Generation_, Release.Number_,
                  Claims.Options_.Address_, Claims.StartOffset_};
    Write W{Write::Kind::Release, Slice, makeClaim(Slice, R), End};
    if (hasNameToRemove(Claims, Slice, Release))
      W.Record_ = makeServiceNameRemoval(Slice);
    else if (Release.Removes_)
      W.Record_ = makeClaimRemoval(Slice);
    W.Repeated_ = Release.Sends_++ > 0;
    Release.InFlight_ = true;
    Out.push_back(std::move(W));
  }
}

void onReleaseWritten(State &Claims, const Write &W, StoreStatus Status,
                      TimePoint Now) {
  auto It = Claims.Releases_.find(W.Slice_);
  if (It == Claims.Releases_.end())
    return;
  PendingRelease &Release = It->second;
  Release.InFlight_ = false;
  if (Status == StoreStatus::Moved) {
    // A record that has not been read yet may be a later claim.
    Release.RejectedEnd_ = W.ExpectedEnd_;
    return;
  }
  if (Status != StoreStatus::Done) {
    Release.RetryAt_ = Now + ReleaseRetryInterval;
    return;
  }
  if (kindOf(W.Record_.Key_) == RecordKind::Service) {
    // The claim is removed next.
    if (hasNameToRemove(Claims, W.Slice_, Release))
      Claims.ServiceNames_.erase(W.Slice_);
    return;
  }
  auto View = Claims.Slices_.find(W.Slice_);
  bool Newest =
      View != Claims.Slices_.end() && View->second.Number_ == Release.Number_;
  if (Newest && Release.Removes_)
    Claims.Slices_.erase(View);
  else if (Newest)
    View->second.Released_ = true;
  Claims.Releases_.erase(It);
}

void sendNames(State &Claims, TimePoint Now, std::vector<Write> &Out) {
  for (auto &[Slice, Pending] : Claims.PendingNames_) {
    if (Pending.Sent_ || Now < Pending.RetryAt_)
      continue;
    Pending.Sent_ = true;
    Out.push_back({Write::Kind::Name, Slice, makeServiceName(Slice), {}});
  }
}

void onNameWritten(State &Claims, const Write &W,
                   const ledger::AppendReply &Reply, TimePoint Now) {
  auto It = Claims.PendingNames_.find(W.Slice_);
  if (It == Claims.PendingNames_.end())
    return;
  // A stored name is in force once it has been read.
  if (Reply.Status_ != StoreStatus::Done)
    It->second = {false, Now + ReleaseRetryInterval};
}

} // namespace detail

bool isKnown(const State &Claims, const SliceName &Slice) {
  auto View = Claims.Slices_.find(Slice);
  return Claims.ServiceNames_.count(Slice) ||
         (View != Claims.Slices_.end() && View->second.Number_ > 0);
}

std::set<SliceName> knownSlices(const State &Claims) {
  std::set<SliceName> Out = claimedSlices(Claims);
  for (const auto &[Slice, At] : Claims.ServiceNames_)
    Out.insert(Slice);
  return Out;
}

bool ensureKnown(State &Claims, const SliceName &Slice) {
  if (isKnown(Claims, Slice))
    return true;
  Claims.PendingNames_.try_emplace(Slice);
  return false;
}

void removeSlice(State &Claims, const SliceName &Slice) {
  auto Own = Claims.OwnSlices_.extract(Slice);
  if (!Own)
    return;
  PendingRelease Release{Own.mapped().Number_, Own.mapped().Generation_};
  Release.Removes_ = true;
  if (auto Name = Claims.ServiceNames_.find(Slice);
      Name != Claims.ServiceNames_.end())
    Release.Name_ = Name->second;
  Claims.Releases_[Slice] = Release;
}

} // namespace pollenvale::ownership
