#include "base/base.hpp"

#include <cstdlib>
#include <random>

namespace pollenvale {

CallId firstCallId() {
  std::random_device Device;
  return CallId(Device()) << 32 | Device();
}

std::string toString(const AttemptId &Id) {
  return Id.Job_ + "/" + std::to_string(Id.Index_) + "/" + Id.Home_ + "/" +
         std::to_string(Id.Number_);
}

AttemptId parseAttemptId(const std::string &Text) {
  std::size_t C = Text.rfind('/');
  std::size_t B = C == std::string::npos ? C : Text.rfind('/', C - 1);
  std::size_t A = B == std::string::npos ? B : Text.rfind('/', B - 1);
  if (A == std::string::npos || A == 0)
    return {};
  AttemptId Id;
  Id.Job_ = Text.substr(0, A);
  Id.Index_ = std::strtoul(Text.c_str() + A + 1, nullptr, 10);
  Id.Home_ = Text.substr(B + 1, C - B - 1);
  Id.Number_ = std::strtoul(Text.c_str() + C + 1, nullptr, 10);
  return Id;
}

const ErrorRow &errorRow(ErrorKind Kind) {
  for (const ErrorRow &Row : ErrorTable)
    if (Row.Kind_ == Kind)
      return Row;
  std::abort();
}

std::string_view toString(RunState Run) {
  switch (Run) {
  case RunState::NotRun:
    return "not-run";
  case RunState::Ran:
    return "ran";
  case RunState::Unknown:
    return "unknown";
  }
  std::abort();
}

} // namespace pollenvale
