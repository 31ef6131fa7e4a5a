#include "http/detail/served_socket.hpp"

#include <algorithm>
#include <poll.h>

namespace pollenvale::http::detail {

bool hasInput(int Handle) {
  pollfd Entry{Handle, POLLIN, 0};
  return ::poll(&Entry, 1, 0) > 0;
}

std::size_t ServedSockets::closeIdle(TimePoint Now) {
  std::size_t Closed = 0;
  // A closed socket stays in the set until the server drops it.
  for (ServedSocket *S : Open_) {
    if (!S->isIdle(Now))
      continue;
    std::error_code Ignored;
    S->close(Ignored);
    ++Closed;
  }
  return Closed;
}

std::size_t ServedSockets::countUnread() const {
  return std::size_t(
      std::count_if(Open_.begin(), Open_.end(),
                    [](ServedSocket *S) { return S->hasUnread(); }));
}

std::size_t ServedSockets::countPartlyRead() const {
  return std::size_t(
      std::count_if(Open_.begin(), Open_.end(),
                    [](ServedSocket *S) { return S->isPartlyRead(); }));
}

ServedSocket::ServedSocket(asio::io_context &Io)
    : Base(Io), Sockets_(asio::use_service<NextSockets>(Io).Sockets_) {}

ServedSocket::ServedSocket(ServedSocket &&Other) noexcept
    : Base(std::move(Other)), Sockets_(Other.Sockets_),
      AcceptedAt_(Other.AcceptedAt_) {
  Sockets_->remove(&Other);
  if (!is_open())
    return;
  if (AcceptedAt_ == TimePoint{}) {
    AcceptedAt_ = std::chrono::steady_clock::now();
    std::error_code Ignored;
    non_blocking(true, Ignored);
  }
  Other.AcceptedAt_ = TimePoint{};
  Sockets_->add(this);
}

bool ServedSocket::hasUnread() {
  return is_open() && Reading_ && hasInput(native_handle());
}

bool ServedSocket::isIdle(TimePoint Now) {
  /// Callers send their request with the connection or soon after it.
  constexpr Milliseconds FirstRequestTime{200};
  if (!is_open() || !Reading_ || Writing_ || PartlyRead_ || hasUnread())
    return false;
  return HadRequest_ || Now - AcceptedAt_ >= FirstRequestTime;
}

} // namespace pollenvale::http::detail
