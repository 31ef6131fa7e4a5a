#include "peering/peering.hpp"

namespace pollenvale::peering {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <std::size_t I = 0>
PeerMessage decodeMessage(std::size_t Index, const msgpack::object &Body) {
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (Index == I)
      return Body.as<std::variant_alternative_t<I, PeerMessage>>();
    return decodeMessage<I + 1>(Index, Body);
  } else {
    throw msgpack::type_error();
  }
}

} // namespace

std::string encode(const Frame &F) {
  msgpack::sbuffer Buffer;
  Packer P(Buffer);
  P.pack_array(std::uint32_t(2 + 2 * F.Messages_.size()));
  P.pack(F.From_);
  P.pack(F.To_);
  for (const PeerMessage &M : F.Messages_) {
    P.pack(std::uint8_t(M.index()));
    std::visit([&](const auto &Body) { P.pack(Body); }, M);
  }
  return std::string(Buffer.data(), Buffer.size());
}

Result<Frame> decode(const std::string &Bytes) {
  try {
    msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                        unpackLimit(Bytes.size()));
    auto Parts = Handle.get().as<std::vector<msgpack::object>>();
    if (Parts.size() < 2 || Parts.size() % 2 != 0)
      return makeError(ErrorKind::BadJson, "peer frame: wrong length");
    Frame F{Parts[0].as<std::string>(), Parts[1].as<std::string>(), {}};
    for (std::size_t I = 2; I < Parts.size(); I += 2)
      F.Messages_.push_back(
          decodeMessage(Parts[I].as<std::uint8_t>(), Parts[I + 1]));
    return F;
  } catch (const std::exception &E) {
    return makeError(ErrorKind::BadJson,
                     std::string("peer frame: ") + E.what());
  }
}

} // namespace pollenvale::peering
