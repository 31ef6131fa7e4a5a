/// \file
/// Typed form of a configuration document.
#pragma once

#include "base/base.hpp"

#include <map>
#include <vector>

namespace pollenvale::config {

enum class Placement { Spread, Pack };

struct Policy {
  Placement Placement_ = Placement::Pack;
};

/// Which work (by its labels kind, name, team, urgent) may run on which VMs.
struct Rule {
  std::string Name_;
  Selector Work_;
  Selector Vms_;
  std::string Policy_;
};

/// Labels that operators put on a "vm", "rack" or "dc" of the given name.
struct LabelRule {
  std::string Scope_;
  std::string Name_;
  Labels Labels_;
};

struct Service {
  JobSpec Spec_;
  /// Requests that run at least this long count as long.
  Milliseconds LongThreshold_{1'000};
  /// Largest share of a service's slots that long requests may take.
  double LongShare_ = 0.5;
  std::uint32_t QueueLimit_ = 10'000;
};

/// What a team is guaranteed.
struct Quota {
  Resources Amount_;
  /// The team may use more while others leave room; it is claimed back.
  bool MayBorrow_ = false;
};

struct Document {
  std::vector<LabelRule> Labels_;
  std::map<std::string, Policy> Policies_;
  std::vector<Rule> Rules_;
  std::map<ServiceName, Service> Services_;
  std::map<std::string, Quota> Quotas_; ///< By team.
};

/// Checks schema and references. Errors: InvalidConfig, with the place.
Result<Document> parseDocument(const nlohmann::json &Doc);

/// Labels of a VM: the platform's own, then the operators' by dc, rack, vm.
Labels labelsOf(const Document &D, const WorkerId &Vm, const std::string &Rack,
                const std::string &Dc, Labels Own);
/// True when operators asked by label that work leave the VM.
bool isDrained(const Labels &L);
/// First rule whose work selector matches \p Spec; null when none does.
const Rule *ruleFor(const Document &D, const JobSpec &Spec);
/// Selector of the job and of its rule joined.
Selector effectiveSelector(const Document &D, const JobSpec &Spec);
Policy policyFor(const Document &D, const JobSpec &Spec);

} // namespace pollenvale::config
