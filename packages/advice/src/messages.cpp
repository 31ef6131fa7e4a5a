#include "advice/advice.hpp"

namespace pollenvale::advice {

namespace {

constexpr char RequestTag = 'a';
constexpr char ReplyTag = 't';

} // namespace

std::string encode(const RequestMessage &M) {
  return packTagged(RequestTag, M);
}
std::string encode(const ReplyMessage &M) { return packTagged(ReplyTag, M); }

Message decode(const std::string &Bytes) {
  if (auto Request = unpackTagged<RequestMessage>(RequestTag, Bytes))
    return std::move(*Request);
  if (auto Reply = unpackTagged<ReplyMessage>(ReplyTag, Bytes))
    return std::move(*Reply);
  return {};
}

} // namespace pollenvale::advice
