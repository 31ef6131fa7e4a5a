/// \file
/// Runs scenario files: YAML documents that set up a cell and list steps.
/// docs/TESTING.md has the table of steps.
#pragma once

#include "harness/cell.hpp"

namespace pollenvale::harness {

struct Outcome {
  std::vector<std::string> Failures_; ///< Unmet expectations and violations.
  std::vector<std::string> Trace_;
  bool Golden_ = false; ///< The trace is compared with a file.
  std::string Summary_; ///< Results of "measure" steps.
};

/// Runs a scenario file. Throws std::exception on an invalid step.
Outcome runScenario(const std::string &File);

/// A configuration with a service "planning" of \p Instances instances; without
/// a service for 0.
nlohmann::json defaultConfig(int Instances);
/// Publishes \p Doc based on the configuration version in force at the entry.
void publish(Cell &C, const std::string &Entry, const nlohmann::json &Doc,
             const std::string &Name);
void submit(Cell &C, const std::string &Entry, nlohmann::json Job,
            const std::string &Name);
void request(Cell &C, const std::string &Entry, const std::string &Mode,
             const nlohmann::json &Body, const std::string &Name,
             Milliseconds Deadline = Milliseconds(20'000));
/// Id of the job accepted for the call \p Name; empty if none was accepted.
JobId jobOf(const Cell &C, const std::string &Name);
/// State of a job at the live entry that has read the log furthest.
std::string jobState(const Cell &C, const JobId &Id);

} // namespace pollenvale::harness
