/// \file
/// Commands of pollenvalectl, the command-line client of operators and callers.
#pragma once

#include "http/http.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pollenvale::ctl {

/// Exit codes of the process.
enum ExitCode {
  Success = 0,
  Refused = 1,     ///< The entry answered with an error, or the job that
                   ///< "wait" names failed or was cancelled.
  BadUsage = 2,    ///< Unknown command or option, or unreadable file.
  Unreachable = 3, ///< No entry could be reached.
  Pending = 4 ///< Timed out before the version was in force or the job ended.
};

/// Options of the command line and the HTTP client.
struct Session {
  std::vector<std::string> Entries_; ///< host:port, tried in order.
  bool Json_ = false;                ///< Prints JSON instead of tables.
  /// Limit of each call (1 s at least) and of commands that wait.
  std::chrono::milliseconds Timeout_{10'000};
  std::string Mode_;  ///< Mode of a request; empty for the entry's default.
  std::string Class_; ///< Class of a request; empty for none.
  std::unique_ptr<http::Client> Client_;
};

/// Runs the command \p Arguments[0] with the arguments after it. Returns an
/// ExitCode.
int run(Session &S, const std::vector<std::string> &Arguments);
/// Table of commands and exit codes, printed by --commands and after a usage
/// error.
std::string usage();

} // namespace pollenvale::ctl
