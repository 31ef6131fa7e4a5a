#include "settings/settings.hpp"

#include <criterion/criterion.h>
#include <cstdio>
#include <fstream>

using namespace pollenvale;

namespace {

const std::string ValidSettings = "name: e1\ndata_center: solola\n"
                                  "caller_address: 127.0.0.1:1\n"
                                  "peer_address: 127.0.0.1:2\n"
                                  "log_url: http://127.0.0.1:3\n"
                                  "vm_list_url: http://127.0.0.1:4\n";

/// Loads a file with \p Text. Returns the error message without the file name,
/// or an empty text if the settings are valid.
std::string loadError(const std::string &Text) {
  std::string File = std::tmpnam(nullptr);
  std::ofstream(File) << Text;
  auto S = settings::load(File);
  std::remove(File.c_str());
  return S ? "" : S.error().Message_.substr(File.size());
}

} // namespace

// Guards against rejecting valid settings.
Test(settings, a_whole_file_is_read) {
  cr_assert(loadError(ValidSettings).empty());
}

// Guards against errors that do not name the line, the key and the expected
// value.
Test(settings, messages_give_line_and_expectation) {
  cr_assert(loadError(ValidSettings + "nope: 1\n")
                .find(":7: nope: expected one of") == 0);
  cr_assert(loadError(ValidSettings + "log_retention: 5x\n")
                .find(":7: log_retention: expected a duration") == 0);
  cr_assert(loadError("name: e1\n").find(":1: caller_address: expected") == 0);
  cr_assert(loadError("name: [\n").find("valid YAML") != std::string::npos);
}

// Guards against a duration read in the wrong unit.
Test(settings, durations_need_a_unit) {
  Milliseconds Out{0};
  cr_assert(settings::parseDuration("2m", Out) && Out.count() == 120'000);
  cr_assert(!settings::parseDuration("2", Out));
  cr_assert(!settings::parseDuration("", Out));
}
