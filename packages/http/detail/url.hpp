/// \file
/// Parts of an "http://" URL.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pollenvale::http::detail {

struct Url {
  std::string Peer_;   ///< "HOST:PORT" or "HOST", as in the header Host.
  std::string Target_; ///< Path and query, at least "/".
};

/// Empty if \p Text has another scheme, or no host.
std::optional<Url> parseUrl(std::string_view Text);

struct HostAndPort {
  std::string Host_; ///< Without the brackets of an IPv6 address.
  std::string Port_; ///< "80" if the peer names none.
};

HostAndPort splitPeer(std::string_view Peer);

} // namespace pollenvale::http::detail
