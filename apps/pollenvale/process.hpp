/// \file
/// Name and addresses of a process, with or without the users' platform.
#pragma once

#include "base/base.hpp"

#include <cstdio>
#include <random>

namespace pollenvale {

struct HostAndPort {
  std::string Host_;
  std::uint16_t Port_ = 0;
};

/// Splits "host:port". Throws std::exception when the port is not a
/// number.
inline HostAndPort splitAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  return {Text.substr(0, Colon),
          std::uint16_t(std::stoul(Text.substr(Colon + 1)))};
}

/// A new node id for this run of the process called \p Name: the name and a
/// random suffix, so that restarts get different ids.
inline NodeId makeIncarnation(const std::string &Name) {
  std::random_device Device;
  char Text[17];
  std::snprintf(Text, sizeof Text, "%08x", unsigned(Device()));
  return Name + "." + Text;
}

} // namespace pollenvale
