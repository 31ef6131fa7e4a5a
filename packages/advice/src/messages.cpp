#include "advice/advice.hpp"

namespace pollenvale::advice {

namespace {

constexpr char AskTag = 'a';
constexpr char TellTag = 't';

} // namespace

std::string encode(const AskMessage &M) { return AskTag + pack(M); }
std::string encode(const TellMessage &M) { return TellTag + pack(M); }

Message decode(const std::string &Bytes) {
  if (Bytes.empty())
    return {};
  std::string_view Body(Bytes.data() + 1, Bytes.size() - 1);
  if (Bytes[0] == AskTag)
    if (auto M = unpack<AskMessage>(Body))
      return std::move(*M);
  if (Bytes[0] == TellTag)
    if (auto M = unpack<TellMessage>(Body))
      return std::move(*M);
  return {};
}

} // namespace pollenvale::advice
