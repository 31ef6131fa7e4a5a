/// \file
/// Index of workers by free resources, so that a placement decision examines
/// few of them.
#pragma once

#include "base/base.hpp"

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace pollenvale::placement {

/// Workers with room that pack placement compares in each class.
inline constexpr std::size_t CompareLimit = 32;

/// A worker as the index knows it.
struct IndexedWorker {
  WorkerId Name_;
  std::string Rack_;
  std::string Dc_;
  Labels Labels_; ///< Including vm, rack and dc.
  Resources Total_;
  Resources Free_;     ///< Negative where tasks use more than the total.
  bool Usable_ = true; ///< False for leaving workers and those set aside.
};

/// Sort key of a worker: by free accelerators, then by free processors in
/// thousandths of a core.
struct FreeKey {
  std::int64_t Accelerators_;
  std::int64_t Cpu_;
  WorkerId Name_;
  auto key() const { return std::tie(Accelerators_, Cpu_, Name_); }
  bool operator<(const FreeKey &O) const { return key() < O.key(); }
};

/// Workers whose labels are equal except for vm, rack and dc.
struct WorkerClass {
  Labels Labels_; ///< Without vm, rack and dc.
  std::set<FreeKey> ByFree_;
  std::map<std::string, std::set<FreeKey>> ByRack_;
};

struct Index {
  std::map<WorkerId, IndexedWorker> Workers_;
  std::map<std::string, WorkerClass> Classes_; ///< By the text of their labels.
};

/// Requirements of one task.
struct Query {
  Resources Size_;
  Selector Selector_;
  bool Spread_ = false;      ///< Spread placement instead of packing.
  std::set<WorkerId> Avoid_; ///< Workers that are not chosen.
  /// Spread: number of tasks of the same job by rack and by data centre.
  std::map<std::string, std::uint32_t> TasksByRack_;
  std::map<std::string, std::uint32_t> TasksByDc_;
};

struct Choice {
  WorkerId Worker_; ///< Empty when no worker has room.
  /// Number of workers ruled out, by reason; filled only without a worker.
  std::map<std::string, std::uint32_t> Reasons_;
};

/// Adds or replaces a worker. O(log n).
void upsert(Index &Index, IndexedWorker Worker);
/// Removes a worker, if it is indexed. O(log n).
void remove(Index &Index, const WorkerId &Name);
/// Pack: the tightest fit, workers without accelerators first for tasks that
/// need none, O(classes * (log n + CompareLimit)) while room is found. Spread:
/// the data centre and rack with the fewest tasks of the job, then the emptiest
/// worker, O(racks log n). A refusal costs O(n) for its reasons.
Choice choose(const Index &Index, const Query &Query);
/// Number of tasks of \p Size that the workers matching \p Selector could run
/// together if they were empty, at most \p Limit. Sets \p Matching to the
/// number of matching workers. O(n).
std::uint64_t maxRunnableTasks(const Index &Index, const Selector &Selector,
                               const Resources &Size, std::uint64_t Limit,
                               std::size_t &Matching);

} // namespace pollenvale::placement
