#include "advice/advice.hpp"

namespace pollenvale::advice {

namespace {

constexpr char AskTag = 'a';
constexpr char TellTag = 't';

} // namespace

std::string encode(const AskMessage &M) { return packTagged(AskTag, M); }
std::string encode(const TellMessage &M) { return packTagged(TellTag, M); }

Message decode(const std::string &Bytes) {
  if (auto Ask = unpackTagged<AskMessage>(AskTag, Bytes))
    return std::move(*Ask);
  if (auto Tell = unpackTagged<TellMessage>(TellTag, Bytes))
    return std::move(*Tell);
  return {};
}

} // namespace pollenvale::advice
