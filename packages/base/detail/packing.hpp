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

/// Bounds of what is unpacked from \p Bytes bytes: each element and each byte
/// of a text takes one of them, so that no count can ask for more memory.
inline msgpack::unpack_limit unpackLimit(std::size_t Bytes) {
  constexpr std::size_t MaxDepth = 32;
  return {Bytes, Bytes, Bytes, Bytes, Bytes, MaxDepth};
}

/// Empty when \p Bytes are no such record; callers count that.
template <class T> std::optional<T> unpack(std::string_view Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                           unpackLimit(Bytes.size()))
        .get()
        .template as<T>();
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/// A record behind one byte that tells its type.
template <class T> std::string packTagged(char Tag, const T &Record) {
  return Tag + pack(Record);
}

/// Empty when \p Bytes are no record of that type.
template <class T>
std::optional<T> unpackTagged(char Tag, std::string_view Bytes) {
  if (Bytes.empty() || Bytes[0] != Tag)
    return std::nullopt;
  return unpack<T>(Bytes.substr(1));
}

} // namespace pollenvale
