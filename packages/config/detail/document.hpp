/// \file
/// Typed form of a configuration document.
#pragma once

#include "base/base.hpp"

#include <map>
#include <vector>

namespace pollenvale::config {

/// Spread distributes tasks over workers; Pack fills few workers.
enum class Placement { Spread, Pack };

/// How the tasks of a job are placed.
struct Policy {
  Placement Placement_ = Placement::Pack;
};

/// Limits the VMs on which matching jobs run and sets their placement policy.
struct Rule {
  std::string Name_;
  Selector JobSelector_; ///< Matches the labels kind, name, team and urgent.
  Selector VmSelector_;  ///< VMs on which the jobs may run.
  std::string Policy_;   ///< Key in Document::Policies_; empty for the default.
};

/// Labels that an operator assigned to a VM, rack or data centre.
struct LabelRule {
  std::string Scope_; ///< "vm", "rack" or "dc".
  std::string Name_;  ///< Of the VM, rack or data centre.
  Labels Labels_;
};

/// A service: the job that runs its instances, and the limits of its requests.
struct Service {
  JobSpec Spec_;
  /// A class of requests counts as long from this mean run time on.
  Milliseconds LongThreshold_{1'000};
  /// Share of the service's slots that long requests may occupy, above 0 and at
  /// most 1.
  double LongShare_ = 0.5;
  /// Requests queued per entry; further ones are refused.
  std::uint32_t QueueLimit_ = 10'000;
};

/// Resources guaranteed to a team.
struct Quota {
  Resources Amount_;
  /// The team may use more while capacity is free; it is reclaimed when other
  /// teams need it.
  bool MayBorrow_ = false;
};

/// A valid configuration.
struct Document {
  std::vector<LabelRule> Labels_;
  std::map<std::string, Policy> Policies_;
  std::vector<Rule> Rules_; ///< The first matching rule applies.
  std::map<ServiceName, Service> Services_;
  std::map<std::string, Quota> Quotas_; ///< By team.
};

/// Parses and validates a document, including references between its sections.
/// Errors: InvalidConfig, with the path of the invalid value.
Result<Document> parseDocument(const nlohmann::json &Doc);

/// Labels of a VM: \p Own of the platform, overridden by its names, then by the
/// document's labels of its data centre, its rack and the VM, in this order.
Labels labelsOf(const Document &Doc, const WorkerId &Vm,
                const std::string &Rack, const std::string &Dc, Labels Own);
/// True if the labels request that tasks be moved off the VM (drain=true).
bool isDrained(const Labels &Labels);
/// First rule whose job selector matches \p Spec; null if there is no such
/// rule.
const Rule *findRule(const Document &Doc, const JobSpec &Spec);
/// Intersection of the job's own selector and the VM selector of its rule.
Selector effectiveSelector(const Document &Doc, const JobSpec &Spec);
/// Policy of the job's rule. Without one, services spread and other jobs pack.
Policy policyFor(const Document &Doc, const JobSpec &Spec);

} // namespace pollenvale::config
