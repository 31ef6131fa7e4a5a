#include "http/detail/connection.hpp"

#include <array>
#include <poll.h>
#include <sys/socket.h>

namespace pollenvale::http::detail {

namespace {

constexpr std::size_t ReadBytes = 16 * 1'024;
/// Reads in a row, so that one peer does not occupy the event loop.
constexpr int MaxReads = 1'000;

} // namespace

void Connection::open(const asio::ip::tcp::endpoint &To) {
  Socket_.async_connect(To, [Self = shared_from_this()](std::error_code Err) {
    // processPending() may have noticed it before.
    if (!Self->Closed_ && !Self->Connected_)
      Self->onConnected(Err);
  });
}

void Connection::onConnected(std::error_code Err) {
  if (Err)
    return finish(ExchangeEnd::NotConnected);
  Connected_ = true;
  std::error_code Ignored;
  Socket_.non_blocking(true, Ignored);
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  waitReadable();
  if (OnEnd_)
    beginRequest();
}

void Connection::send(std::string Request, ClientReply &Reply, OnEnd Done) {
  Request_ = std::move(Request);
  Written_ = 0;
  WriteFailed_ = false;
  ReceivedAt_ = {};
  Parser_.begin(Reply);
  OnEnd_ = std::move(Done);
  if (Connected_)
    beginRequest();
}

void Connection::beginRequest() {
  ReadyAt_ = Clock::now();
  writeMore();
}

void Connection::writeMore() {
  std::error_code Err;
  while (Written_ < Request_.size() && !Err)
    Written_ += Socket_.write_some(
        asio::buffer(Request_.data() + Written_, Request_.size() - Written_),
        Err);
  // A broken connection is reported by the wait for input, to which it may look
  // like an orderly end: the error is told only once.
  WriteFailed_ = Err && Err != asio::error::would_block;
  if (Err != asio::error::would_block || WaitingToWrite_)
    return;
  WaitingToWrite_ = true;
  Socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [Self = shared_from_this()](std::error_code Failed) {
                       Self->WaitingToWrite_ = false;
                       if (!Failed && Self->isOpen() && Self->OnEnd_)
                         Self->writeMore();
                     });
}

void Connection::waitReadable() {
  if (WaitingToRead_ || !isOpen())
    return;
  WaitingToRead_ = true;
  Socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [Self = shared_from_this()](std::error_code Err) {
                       Self->WaitingToRead_ = false;
                       if (Err || !Self->isOpen())
                         return;
                       Self->readAvailable();
                       Self->waitReadable();
                     });
}

void Connection::readAvailable() {
  std::array<char, ReadBytes> Buffer;
  for (int I = 0; I < MaxReads; ++I) {
    std::error_code Err;
    std::size_t Size = Socket_.read_some(asio::buffer(Buffer), Err);
    if (Err == asio::error::would_block)
      return;
    if (Err)
      return handleEndOfInput(Err == asio::error::eof);
    // Without a request, there is nothing to answer.
    if (!OnEnd_)
      return finish(ExchangeEnd::Lost);
    handleInput({Buffer.data(), Size});
    if (!OnEnd_ || Size < Buffer.size())
      return;
  }
}

void Connection::handleInput(std::string_view Bytes) {
  ReceivedAt_ = Clock::now();
  if (!Parser_.parse(Bytes))
    return finish(Parser_.hasHead() ? ExchangeEnd::Truncated
                                    : ExchangeEnd::Lost);
  if (Parser_.isComplete())
    finish(ExchangeEnd::Answered);
}

void Connection::handleEndOfInput(bool Orderly) {
  if (!OnEnd_ || Written_ == 0)
    return finish(ExchangeEnd::NothingSent);
  if (Orderly && !WriteFailed_ && Parser_.parseEnd())
    return finish(ExchangeEnd::Answered);
  finish(Parser_.hasHead() ? ExchangeEnd::Truncated : ExchangeEnd::Lost);
}

void Connection::finish(ExchangeEnd End) {
  OnEnd Done = std::exchange(OnEnd_, nullptr);
  auto OnIdleEnd = OnIdleEnd_;
  auto Self = shared_from_this();
  bool Reusable = End == ExchangeEnd::Answered && Parser_.keepsConnection() &&
                  Written_ == Request_.size();
  Request_ = {};
  if (!Reusable)
    close();
  if (Done)
    Done(End);
  else if (OnIdleEnd)
    OnIdleEnd(*this);
}

void Connection::processPending() {
  if (!isOpen())
    return;
  if (Connected_)
    return readAvailable();
  pollfd P{Socket_.native_handle(), POLLOUT, 0};
  if (::poll(&P, 1, 0) <= 0)
    return;
  int Code = 0;
  socklen_t Length = sizeof Code;
  ::getsockopt(Socket_.native_handle(), SOL_SOCKET, SO_ERROR, &Code, &Length);
  onConnected(std::error_code(Code, std::system_category()));
}

void Connection::close() {
  Closed_ = true;
  OnEnd_ = nullptr;
  OnIdleEnd_ = nullptr;
  std::error_code Ignored;
  Socket_.close(Ignored);
}

std::optional<std::size_t> Connection::peek() {
  char Byte = 0;
  ssize_t Size = ::recv(Socket_.native_handle(), &Byte, sizeof Byte,
                        MSG_PEEK | MSG_DONTWAIT);
  if (Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return std::nullopt;
  return Size < 0 ? 0 : std::size_t(Size);
}

bool Connection::isUsable() { return isOpen() && !peek(); }

bool Connection::hasUnreadBytes() { return isOpen() && peek().value_or(0) > 0; }

} // namespace pollenvale::http::detail
