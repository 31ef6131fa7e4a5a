#include "fleet/claim_writes.hpp"

#include "observe/observe.hpp"

namespace pollenvale::fleet {

namespace {

const char *releaseReason(const ownership::Write &W, bool Stopping) {
  if (W.Record_.Value_.empty())
    return "retired";
  return Stopping ? "stopping" : "overloaded";
}

} // namespace

ledger::Partition claimPartition() { return {"keyed.claims", 0}; }

ledger::AppendCall makeAppend(const ownership::Write &W) {
  ledger::AppendCall Call;
  Call.Partition_ = claimPartition();
  Call.Records_ = {W.Record_};
  Call.ExpectedEnd_ = W.ExpectedEnd_;
  return Call;
}

void logRelease(const ownership::Write &W, bool Stopping) {
  if (W.Kind_ == ownership::Write::Kind::Release && !W.Repeated_)
    observe::log(observe::Level::Info, "slice-given-up",
                 {{"slice", W.Slice_}, {"reason", releaseReason(W, Stopping)}});
}

} // namespace pollenvale::fleet
