/// \file
/// Simulates a cell on a virtual clock: the same entry code as in the binary,
/// with fakes of the network, log, VM list, workers and instances. Checks the
/// guarantees of the scheduler during the run.
#pragma once

#include "harness/log_model.hpp"
#include "harness/worker_model.hpp"
#include "node/node.hpp"

#include <functional>
#include <queue>

namespace pollenvale::harness {

struct Event {
  TimePoint At_;
  std::uint64_t Order_;
  std::function<void()> Run_;
  bool operator<(const Event &O) const {
    return std::tie(O.At_, O.Order_) < std::tie(At_, Order_);
  }
};

/// One entry process.
struct Process {
  node::Node Node_;
  bool Alive_ = false;
  bool Frozen_ = false;
  bool FreezeNext_ = false;
  std::uint32_t Incarnation_ = 0;
  /// Inputs received and outputs not yet sent while frozen.
  std::vector<std::function<void()>> Deferred_;
  Offset HighestConfig_ = 0;
  std::set<std::uint64_t> OpenConnections_;
};

/// A caller's call and its answer.
struct Call {
  std::string Name_;
  std::string Entry_;
  std::string Id_; ///< Request id in the body, empty for other calls.
  std::string Mode_;
  std::string JobName_; ///< Name of the submitted job, or empty.
  bool Answered_ = false;
  bool Broken_ = false; ///< The entry died with the connection open.
  int Code_ = 0;
  nlohmann::json Body_;
};

/// Probabilities of network faults, each 0 to 1.
struct NetworkFaults {
  double Loss_ = 0;
  double Duplication_ = 0;
  double Delay_ = 0; ///< Delays are up to MaxDelay_.
  Milliseconds MaxDelay_{8'000};
};

struct Options {
  std::uint32_t Entries_ = 3;
  std::uint32_t Workers_ = 4;
  std::uint32_t PerRack_ = 2;
  std::uint32_t Dcs_ = 1;
  Resources Capacity_{8'000, 8'192, 2};
  Milliseconds Retention_{3'600'000};
  std::uint64_t Seed_ = 1;
  /// Every entry can always reach a peer that has the VM list, so each entry is
  /// expected to know of leaving VMs.
  bool PeersReportLeaving_ = false;
};

struct Leaving {
  TimePoint Since_{};
  std::uint64_t Version_ = 0; ///< Version of the first VM list that shows it.
};

/// Time of an entry's decision and version of the VM list it used. The time is
/// in the past for late messages and for a process that froze between deciding
/// and sending.
struct Decision {
  TimePoint At_{};
  std::uint64_t ListVersion_ = 0;
};

struct Cell {
  Options Options_;
  TimePoint StartTime_{std::chrono::hours(1)};
  TimePoint Now_ = StartTime_;
  std::priority_queue<Event> Events_;
  std::uint64_t LastEvent_ = 0;
  Random Random_;
  NetworkFaults Faults_;
  std::map<std::string, Process> Entries_;
  std::map<WorkerId, WorkerModel> Workers_;
  std::map<std::string, membership::Vm> Vms_;
  std::vector<std::pair<TimePoint, membership::VmList>> VmHistory_;
  Milliseconds VmLag_{0};
  LogModel Log_;
  std::string LogMode_ = "up";
  std::vector<std::function<void()>> LogReaders_;
  std::set<std::pair<std::string, std::string>> CutLinks_;
  std::map<std::uint64_t, Call> Calls_; ///< By connection.
  std::map<std::string, std::uint64_t> CallByName_;
  std::uint64_t LastConnection_ = 0;
  std::map<std::string, int> Runs_; ///< Instance runs by request id.
  std::map<std::string, int> Busy_; ///< Busy slots by instance.
  /// VMs that must get no new work, by name.
  std::map<std::string, Leaving> LeavingSince_;
  /// Instances that answer that they are leaving, by address, and since when.
  std::map<std::string, TimePoint> LeavingInstances_;
  std::map<JobId, std::set<AttemptId>> Started_;
  std::map<std::string, std::string> KeyByJobName_;
  std::set<std::string> ReportedNotRun_;
  std::set<JobId> ReportedCancelled_;
  Decision Decision_; ///< Basis of the outputs being sent.
  std::vector<std::string> Violations_;
  std::set<std::string> KnownViolations_;
  std::vector<std::string> Trace_;
  std::uint64_t Appends_ = 0;
  std::uint64_t PeerBytes_ = 0;
};

/// An instance or worker on a leaving VM must get no new work after this time.
inline constexpr Milliseconds LeavingBound{5'000};

std::unique_ptr<Cell> makeCell(Options O);
void startEntry(Cell &C, const std::string &Name);
void killEntry(Cell &C, const std::string &Name);
void freezeEntry(Cell &C, const std::string &Name);
void thawEntry(Cell &C, const std::string &Name);
/// Graceful shutdown, as by SIGTERM.
void stopEntry(Cell &C, const std::string &Name);
/// Sends a caller's call to an entry. Returns the connection's number.
std::uint64_t call(Cell &C, const std::string &Entry, node::CallerRequest R,
                   const std::string &Name, const std::string &Id = "",
                   const std::string &JobName = "");
/// Runs until \p Until or until \p Done returns true. Returns its last result.
bool runUntil(
    Cell &C, TimePoint Until,
    const std::function<bool()> &Done = [] { return false; });
void setLogMode(Cell &C, const std::string &Mode);
void cut(Cell &C, const std::string &A, const std::string &B, bool On);
void changeVm(Cell &C, const std::string &Name, bool Leaving, bool Gone);
/// Makes the running instances on a worker answer that they are leaving.
void markInstancesLeaving(Cell &C, const WorkerId &Worker);
/// Number of running instances of a service that are not leaving.
std::size_t countServingInstances(Cell &C, const std::string &Service);
/// Number of workers whose tasks actually use more than their capacity.
std::size_t countOverusedWorkers(Cell &C);
void trace(Cell &C, const std::string &Line);
/// Records a violated guarantee; repetitions of the same text are ignored.
void violate(Cell &C, const std::string &What);
/// Ends tasks that are due and checks every guarantee about workers.
void checkWorkers(Cell &C);
/// Number of running attempts of a job's tasks.
std::size_t countRunningTasks(Cell &C, const JobId &Job);

} // namespace pollenvale::harness
