/// \file
/// A connection of the client on a caller's event loop, with one request at a
/// time.
#pragma once

#include "http/detail/response_parser.hpp"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace pollenvale::http::detail {

/// How a request on a connection ended.
enum class ExchangeEnd {
  Answered,
  NotConnected, ///< The connection could not be opened.
  NothingSent,  ///< It broke before a byte of the request was written.
  Lost,         ///< It broke before the head of the answer was complete.
  Truncated     ///< It broke, or the answer became invalid, later.
};

/// Keeps itself alive while it is open.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using Clock = std::chrono::steady_clock;
  using OnEnd = std::function<void(ExchangeEnd)>;

  /// \p OnIdleEnd is called when the connection has ended without a request in
  /// progress.
  Connection(asio::io_context &Io, std::string Peer,
             std::function<void(Connection &)> OnIdleEnd)
      : Socket_(Io), Peer_(std::move(Peer)), OnIdleEnd_(std::move(OnIdleEnd)) {}

  /// Begins to connect. A request may be sent already.
  void open(const asio::ip::tcp::endpoint &To);
  /// Sends a request once the connection is open. The answer goes to \p Reply.
  /// \p Done is called at the end, from a handler of the event loop, unless
  /// close() is called before.
  void send(std::string Request, ClientReply &Reply, OnEnd Done);
  /// Processes what has happened on the socket without a wait: on a delayed
  /// loop, its handlers may not have run yet.
  void processPending();
  /// Closes the connection. No function is called any more.
  void close();

  const std::string &peer() const { return Peer_; }
  bool isOpen() const { return !Closed_; }
  /// Whether the peer has neither ended the connection nor sent anything. For a
  /// connection without a request in progress.
  bool isUsable();
  /// Whether bytes have arrived that were not read.
  bool hasUnreadBytes();
  /// When the connection was ready for the request; empty if no byte of it has
  /// been written.
  std::optional<Clock::time_point> sentAt() const {
    return Written_ > 0 ? std::optional(ReadyAt_) : std::nullopt;
  }
  /// When bytes of the answer last arrived; not set before the first.
  Clock::time_point receivedAt() const { return ReceivedAt_; }

private:
  void onConnected(std::error_code Err);
  void beginRequest();
  void writeMore();
  void waitReadable();
  void readAvailable();
  void handleInput(std::string_view Bytes);
  /// \p Orderly: the peer has sent all, which completes an answer without a
  /// length.
  void handleEndOfInput(bool Orderly);
  void finish(ExchangeEnd End);
  /// Bytes that can be read at once, at most 1; empty if none have arrived, 0
  /// if the connection has ended.
  std::optional<std::size_t> peek();

  asio::ip::tcp::socket Socket_;
  std::string Peer_;
  std::function<void(Connection &)> OnIdleEnd_;
  bool Connected_ = false;
  bool Closed_ = false;
  bool WaitingToRead_ = false;
  bool WaitingToWrite_ = false;
  /// Of the request in progress.
  OnEnd OnEnd_;
  std::string Request_;
  std::size_t Written_ = 0;
  bool WriteFailed_ = false; ///< An error ended the writing.
  ResponseParser Parser_;
  Clock::time_point ReadyAt_{};
  Clock::time_point ReceivedAt_{};
};

} // namespace pollenvale::http::detail
