/// \file
/// Records as MessagePack bytes.
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pollenvale {

template <class T> std::string pack(const T &Record) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Record);
  return {Buffer.data(), Buffer.size()};
}

/// Empty when \p Bytes are no such record; callers count that.
template <class T> std::optional<T> unpack(std::string_view Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size()).get().template as<T>();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace pollenvale
