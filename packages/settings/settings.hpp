/// \file
/// Settings of an entry, read from a YAML file and validated.
#pragma once

#include "base/base.hpp"

#include <string>
#include <vector>

namespace pollenvale::settings {

/// Settings that the file does not contain keep their defaults. The values
/// without a default, up to VmListUrl_, are required.
struct Settings {
  std::string Name_; ///< Name of the entry.
  std::string DataCenter_;
  std::string CallerAddress_; ///< host:port for callers and operators.
  std::string PeerAddress_;   ///< host:port for the other entries.
  std::string LogUrl_;        ///< Base URL of the event log service.
  std::string VmListUrl_;     ///< URL of the list of VMs.
  /// Peer addresses (host:port) contacted at startup; may be empty.
  std::vector<std::string> Seeds_;
  /// How long the event log keeps records; at least 10 s.
  Milliseconds LogRetention_{3'600'000};
  std::size_t BodyLimit_ = 1u << 20; ///< Maximum bytes of a request body.
  std::string LogLevel_ = "info";    ///< debug, info, warning or error.
};

/// Parses a whole number with a unit, such as "500ms", "30s", "10m" or "2h".
/// Returns false for any other text, for negative numbers and for numbers above
/// 1000000000; \p Out is unspecified then.
bool parseDuration(const std::string &Text, Milliseconds &Out);
/// Reads and validates \p File. Errors: BadSettings with file, line, key and
/// the expected value.
Result<Settings> load(const std::string &File);

} // namespace pollenvale::settings
