#include "http/detail/response_parser.hpp"

#include <strings.h>
#include <utility>

namespace pollenvale::http::detail {

namespace {

constexpr int FirstFinalCode = 200;

ResponseParser &parserOf(http_parser *P) {
  return *static_cast<ResponseParser *>(P->data);
}

} // namespace

void ResponseParser::begin(ClientReply &Reply) {
  http_parser_init(&Parser_, HTTP_RESPONSE);
  Parser_.data = this;
  Reply_ = &Reply;
  HeaderName_.clear();
  InHeaderValue_ = HasHead_ = Complete_ = KeepsConnection_ = false;
}

bool ResponseParser::parse(std::string_view Bytes) {
  std::size_t Parsed =
      http_parser_execute(&Parser_, &settings(), Bytes.data(), Bytes.size());
  // Bytes after the answer belong to no request.
  if (Parsed < Bytes.size())
    KeepsConnection_ = false;
  return Complete_ || HTTP_PARSER_ERRNO(&Parser_) == HPE_OK;
}

bool ResponseParser::parseEnd() {
  // Completes an answer whose body lasts until the connection ends.
  http_parser_execute(&Parser_, &settings(), nullptr, 0);
  KeepsConnection_ = false;
  return Complete_;
}

int ResponseParser::onHeaderField(http_parser *P, const char *Data,
                                  std::size_t Size) {
  ResponseParser &Self = parserOf(P);
  if (std::exchange(Self.InHeaderValue_, false))
    Self.HeaderName_.clear();
  Self.HeaderName_.append(Data, Size);
  return 0;
}

int ResponseParser::onHeaderValue(http_parser *P, const char *Data,
                                  std::size_t Size) {
  ResponseParser &Self = parserOf(P);
  Self.InHeaderValue_ = true;
  if (strcasecmp(Self.HeaderName_.c_str(), "x-pollenvale-echo") == 0)
    Self.Reply_->Echo_.append(Data, Size);
  return 0;
}

int ResponseParser::onHeadersComplete(http_parser *P) {
  ResponseParser &Self = parserOf(P);
  Self.Reply_->Code_ = P->status_code;
  Self.HasHead_ = P->status_code >= FirstFinalCode;
  return 0;
}

int ResponseParser::onBody(http_parser *P, const char *Data, std::size_t Size) {
  parserOf(P).Reply_->Body_.append(Data, Size);
  return 0;
}

int ResponseParser::onMessageComplete(http_parser *P) {
  ResponseParser &Self = parserOf(P);
  // An interim answer (1xx) precedes the final one.
  if (!Self.HasHead_)
    return 0;
  Self.Complete_ = true;
  Self.KeepsConnection_ = http_should_keep_alive(P) != 0;
  http_parser_pause(P, 1);
  return 0;
}

const http_parser_settings &ResponseParser::settings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_header_field = onHeaderField;
    S.on_header_value = onHeaderValue;
    S.on_headers_complete = onHeadersComplete;
    S.on_body = onBody;
    S.on_message_complete = onMessageComplete;
    return S;
  }();
  return Settings;
}

} // namespace pollenvale::http::detail
