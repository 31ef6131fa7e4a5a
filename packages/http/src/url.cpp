#include "http/detail/url.hpp"

namespace pollenvale::http::detail {

std::optional<Url> parseUrl(std::string_view Text) {
  constexpr std::string_view Scheme = "http://";
  if (!Text.starts_with(Scheme))
    return std::nullopt;
  Text.remove_prefix(Scheme.size());
  std::size_t End = std::min(Text.find_first_of("/?"), Text.size());
  Url Out{std::string(Text.substr(0, End)), std::string(Text.substr(End))};
  if (Out.Peer_.empty() || Out.Peer_.starts_with(':'))
    return std::nullopt;
  if (!Out.Target_.starts_with('/'))
    Out.Target_.insert(Out.Target_.begin(), '/');
  return Out;
}

HostAndPort splitPeer(std::string_view Peer) {
  std::size_t Colon = Peer.rfind(':');
  // A colon within the brackets of an IPv6 address begins no port.
  bool HasPort = Colon != std::string_view::npos &&
                 Peer.find(']', Colon) == std::string_view::npos;
  std::string_view Host = HasPort ? Peer.substr(0, Colon) : Peer;
  std::string_view Port = HasPort ? Peer.substr(Colon + 1) : "80";
  if (Host.starts_with('[') && Host.ends_with(']'))
    Host = Host.substr(1, Host.size() - 2);
  return {std::string(Host), std::string(Port)};
}

} // namespace pollenvale::http::detail
