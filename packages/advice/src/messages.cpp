#include "advice/advice.hpp"

namespace pollenvale::advice {

namespace {

constexpr char AskTag = 'a';
constexpr char TellTag = 't';

template <class T> std::string pack(char Tag, const T &M) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, M);
  return Tag + std::string(Buffer.data(), Buffer.size());
}

} // namespace

std::string encode(const AskMessage &M) { return pack(AskTag, M); }
std::string encode(const TellMessage &M) { return pack(TellTag, M); }

Message decode(const std::string &Bytes) {
  if (Bytes.empty())
    return {};
  try {
    auto Handle = msgpack::unpack(Bytes.data() + 1, Bytes.size() - 1);
    if (Bytes[0] == AskTag)
      return Handle.get().as<AskMessage>();
    if (Bytes[0] == TellTag)
      return Handle.get().as<TellMessage>();
  } catch (const std::exception &) {
    // A frame of another version or a damaged one; the caller counts it.
  }
  return {};
}

} // namespace pollenvale::advice
