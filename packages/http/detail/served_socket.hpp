/// \file
/// Sockets of a server that tell whether a caller still waits for something.
#pragma once

#include "base/base.hpp"

#include <asio.hpp>
#include <memory>
#include <set>

namespace pollenvale::http::detail {

/// Whether \p Handle holds bytes, an end or an error to be read, or connections
/// to be accepted.
bool hasInput(int Handle);

class ServedSocket;

/// The open connections of one server.
class ServedSockets {
public:
  void add(ServedSocket *S) { Open_.insert(S); }
  void remove(ServedSocket *S) { Open_.erase(S); }
  /// Closes the connections without a request; returns their number.
  std::size_t closeIdle(TimePoint Now);
  std::size_t size() const { return Open_.size(); }
  std::size_t countUnread() const;
  std::size_t countPartlyRead() const;

private:
  std::set<ServedSocket *> Open_;
};

/// Hands the set of a server to its sockets: the library creates the first ones
/// from the loop alone and all others by moving them.
struct NextSockets : asio::execution_context::service {
  using key_type = NextSockets;
  /// The name is Asio's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  inline static asio::execution_context::id id;
  explicit NextSockets(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}
  void shutdown() override { Sockets_.reset(); }

  std::shared_ptr<ServedSockets> Sockets_;
};

/// A connection that knows whether it is idle. Its server must handle one
/// request at a time, and read the next one only once an answer is begun.
class ServedSocket : public asio::ip::tcp::socket {
public:
  using Base = asio::ip::tcp::socket;

  explicit ServedSocket(asio::io_context &Io);
  ServedSocket(ServedSocket &&Other) noexcept;
  ~ServedSocket() { Sockets_->remove(this); }
  ServedSocket(const ServedSocket &) = delete;
  ServedSocket &operator=(const ServedSocket &) = delete;
  ServedSocket &operator=(ServedSocket &&) = delete;

  /// Reads in the handler only, so that bytes lie either in the socket, where
  /// hasInput() sees them, or with the server.
  template <class Buffers, class Handler>
  void async_read_some(const Buffers &To, Handler &&Done);
  template <class Buffers, class Handler>
  void async_write_some(const Buffers &From, Handler &&Done);

  /// Whether the server would read bytes of the connection now.
  bool hasUnread();
  bool isPartlyRead() const { return is_open() && Reading_ && PartlyRead_; }
  /// Whether there is neither a request, a part of one nor an answer, and the
  /// first request had time to arrive.
  bool isIdle(TimePoint Now);

private:
  template <class Buffers, class Handler>
  void onReadable(std::error_code Err, const Buffers &To, Handler &Done);

  std::shared_ptr<ServedSockets> Sockets_;
  TimePoint AcceptedAt_{};
  bool Reading_ = false;    ///< The server waits for bytes.
  bool Writing_ = false;    ///< A part of an answer is being written.
  bool PartlyRead_ = false; ///< Bytes were read since the last answer.
  bool HadRequest_ = false;
};

template <class Buffers, class Handler>
void ServedSocket::async_read_some(const Buffers &To, Handler &&Done) {
  auto Executor = asio::get_associated_executor(Done, get_executor());
  Reading_ = true;
  async_wait(wait_read,
             asio::bind_executor(Executor,
                                 [this, To, Done = std::forward<Handler>(Done)](
                                     std::error_code Err) mutable {
                                   onReadable(Err, To, Done);
                                 }));
}

template <class Buffers, class Handler>
void ServedSocket::onReadable(std::error_code Err, const Buffers &To,
                              Handler &Done) {
  Reading_ = false;
  std::size_t Size = Err ? 0 : read_some(To, Err);
  if (Err == asio::error::would_block)
    return async_read_some(To, std::move(Done));
  if (Size > 0)
    PartlyRead_ = true;
  Done(Err, Size);
}

template <class Buffers, class Handler>
void ServedSocket::async_write_some(const Buffers &From, Handler &&Done) {
  auto Executor = asio::get_associated_executor(Done, get_executor());
  Writing_ = true;
  PartlyRead_ = false;
  HadRequest_ = true;
  Base::async_write_some(
      From, asio::bind_executor(
                Executor, [this, Done = std::forward<Handler>(Done)](
                              std::error_code Err, std::size_t Size) mutable {
                  Writing_ = false;
                  Done(Err, Size);
                }));
}

} // namespace pollenvale::http::detail
