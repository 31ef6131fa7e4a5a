/// \file
/// Parses the answer to a request from its bytes as they arrive.
#pragma once

#include "http/detail/client.hpp"

#include <http_parser.h>
#include <string_view>

namespace pollenvale::http::detail {

class ResponseParser {
public:
  /// Begins with a new answer, which goes to \p Reply: code, body and echo.
  void begin(ClientReply &Reply);
  /// Takes in further bytes. Returns false if they are no valid answer.
  bool parse(std::string_view Bytes);
  /// The connection has ended. Returns whether that completes the answer.
  bool parseEnd();

  bool isComplete() const { return Complete_; }
  /// Whether the head of the answer has been parsed.
  bool hasHead() const { return HasHead_; }
  /// Whether the connection may be used again after the complete answer.
  bool keepsConnection() const { return KeepsConnection_; }

private:
  static int onHeaderField(http_parser *P, const char *Data, std::size_t Size);
  static int onHeaderValue(http_parser *P, const char *Data, std::size_t Size);
  static int onHeadersComplete(http_parser *P);
  static int onBody(http_parser *P, const char *Data, std::size_t Size);
  static int onMessageComplete(http_parser *P);
  static const http_parser_settings &settings();

  http_parser Parser_{};
  ClientReply *Reply_ = nullptr;
  std::string HeaderName_;
  bool InHeaderValue_ = false;
  bool HasHead_ = false;
  bool Complete_ = false;
  bool KeepsConnection_ = false;
};

} // namespace pollenvale::http::detail
