/// The client on the caller's event loop, after connections that failed.
#include "http/http.hpp"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace pollenvale;
using std::chrono::milliseconds;

namespace {

/// A port whose accept queue is full, so that SYN packets are dropped.
class FullPort {
public:
  FullPort() : Listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    Address_.sin_family = AF_INET;
    Address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof Address_;
    ::bind(Listener_, reinterpret_cast<sockaddr *>(&Address_), Length);
    ::listen(Listener_, 0);
    ::getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address_), &Length);
    for (int &Socket : Queued_) {
      Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      ::connect(Socket, reinterpret_cast<sockaddr *>(&Address_), Length);
    }
  }
  ~FullPort() {
    for (int Socket : Queued_)
      ::close(Socket);
    ::close(Listener_);
  }
  FullPort(const FullPort &) = delete;
  FullPort &operator=(const FullPort &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(ntohs(Address_.sin_port)) + "/";
  }

private:
  int Listener_;
  sockaddr_in Address_{};
  int Queued_[4] = {-1, -1, -1, -1};
};

std::uint16_t freePort() {
  asio::io_context Io;
  asio::ip::tcp::acceptor Any(
      Io, {asio::ip::address_v4::loopback(), std::uint16_t(0)});
  return Any.local_endpoint().port();
}

/// Submits \p Count concurrent calls and runs the loop until all have ended or
/// \p Limit expires. Returns the number of answered calls.
int callMany(asio::io_context &Io, http::Client &C,
             const http::ClientCall &Call, int Count, milliseconds Limit) {
  int Answered = 0, Ended = 0;
  for (int I = 0; I < Count; ++I)
    C.submit(Call, [&](const http::ClientReply &R) {
      Answered += R.Status_ == http::ClientStatus::Answered;
      if (++Ended == Count)
        Io.stop();
    });
  Io.restart();
  Io.run_for(Limit);
  return Answered;
}

} // namespace

// Guards against state of a failed connection attempt that outlives its socket:
// a later connection reuses the descriptor.
Test(loop_client, connections_that_never_opened_leave_later_ones_alone) {
  asio::io_context Io;
  std::uint16_t Port = freePort();
  auto Server = http::startServer(
      Io, {"127.0.0.1", Port, 1},
      [](const http::ServerRequest &, const http::Responder &Respond) {
        Respond({200, "{}"});
      });
  auto Client = http::makeClient(Io);
  FullPort Unreachable;
  http::ClientCall Dropped;
  Dropped.Url_ = Unreachable.url();
  Dropped.Timeout_ = milliseconds(300);
  Dropped.ConnectTimeout_ = milliseconds(100);
  cr_assert_eq(callMany(Io, *Client, Dropped, 6, milliseconds(5'000)), 0);
  // Without a readiness event, such a call would end only at its timeout.
  http::ClientCall Live;
  Live.Url_ = "http://127.0.0.1:" + std::to_string(Port) + "/";
  Live.Timeout_ = milliseconds(60'000);
  cr_assert_eq(callMany(Io, *Client, Live, 6, milliseconds(10'000)), 6);
  Client.reset();
  Server->stop();
}

// Guards against missing counts of answers that were received but not read.
Test(loop_client, stats_tell_answers_that_the_loop_came_too_late_to_read) {
  asio::io_context Io;
  std::uint16_t Port = freePort();
  static constexpr milliseconds AnswerTime{30};
  auto Server = http::startServer(
      {"127.0.0.1", Port, 1},
      [](const http::ServerRequest &, const http::Responder &Respond) {
        std::this_thread::sleep_for(AnswerTime);
        Respond({200, "{}"});
      });
  auto Client = http::makeClient(Io);
  http::ClientCall Call;
  Call.Url_ = "http://127.0.0.1:" + std::to_string(Port) + "/";
  Call.Timeout_ = milliseconds(100);
  cr_assert_eq(callMany(Io, *Client, Call, 1, milliseconds(5'000)), 1);
  cr_assert_eq(Client->stats().Connections_, 1u);
  cr_assert_eq(Client->stats().Unread_, 0u);
  // The loop is blocked from before the answer arrives until after the limit.
  asio::steady_timer Busy(Io, AnswerTime / 2);
  Busy.async_wait(
      [](std::error_code) { std::this_thread::sleep_for(milliseconds(300)); });
  int Answered = callMany(Io, *Client, Call, 1, milliseconds(5'000));
  http::ClientStats Stats = Client->stats();
  cr_assert_eq(Stats.InFlight_, 0u);
  cr_assert_eq(Stats.NotSent_, 0u);
  cr_assert_eq(int(Stats.Timeouts_), 1 - Answered);
  cr_assert_eq(Stats.Unread_, Stats.Timeouts_);
  Client.reset();
  Server->stop();
}

// Guards against calls that wait for a silent peer until their whole timeout,
// which is meant for answers that take long to transfer.
Test(loop_client, a_call_ends_when_the_peer_is_silent) {
  asio::io_context Io;
  std::uint16_t Port = freePort();
  std::vector<http::Responder> Held;
  auto Server = http::startServer(
      Io, {"127.0.0.1", Port, 1},
      [&](const http::ServerRequest &, const http::Responder &Respond) {
        Held.push_back(Respond);
      });
  auto Client = http::makeClient(Io);
  http::ClientCall Call;
  Call.Url_ = "http://127.0.0.1:" + std::to_string(Port) + "/";
  Call.Timeout_ = milliseconds(60'000);
  Call.ConnectTimeout_ = milliseconds(400);
  Call.SilenceTimeout_ = milliseconds(200);
  http::ClientStatus Status = http::ClientStatus::Answered;
  Client->submit(Call, [&](const http::ClientReply &R) {
    Status = R.Status_;
    Io.stop();
  });
  Io.run_for(milliseconds(10'000));
  cr_assert(Status == http::ClientStatus::Timeout);
  Held.clear();
  Client.reset();
  Server->stop();
}

// Guards against answers that are cut off while they still arrive.
Test(loop_client, an_answer_that_goes_on_arriving_is_waited_for) {
  asio::io_context Io;
  asio::ip::tcp::acceptor Listener(
      Io, {asio::ip::address_v4::loopback(), std::uint16_t(0)});
  constexpr int Parts = 12;
  constexpr milliseconds Pause{100};
  asio::ip::tcp::socket Peer(Io);
  asio::steady_timer Timer(Io);
  int Left = Parts;
  std::function<void()> SendPart = [&] {
    if (Left-- == 0)
      return;
    asio::write(Peer, asio::buffer("x", 1));
    Timer.expires_after(Pause);
    Timer.async_wait([&](std::error_code) { SendPart(); });
  };
  Listener.async_accept(Peer, [&](std::error_code) {
    std::string Head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Parts) +
        "\r\n\r\n";
    asio::write(Peer, asio::buffer(Head));
    SendPart();
  });
  auto Client = http::makeClient(Io);
  http::ClientCall Call;
  Call.Url_ =
      "http://127.0.0.1:" + std::to_string(Listener.local_endpoint().port()) +
      "/";
  Call.Timeout_ = milliseconds(60'000);
  Call.SilenceTimeout_ = milliseconds(600);
  http::ClientReply Reply;
  Client->submit(Call, [&](http::ClientReply R) {
    Reply = std::move(R);
    Io.stop();
  });
  Io.run_for(milliseconds(30'000));
  cr_assert(Reply.Status_ == http::ClientStatus::Answered);
  cr_assert_eq(Reply.Body_.size(), std::size_t(Parts));
  Client.reset();
}

// Guards against connections of Fresh_ calls that stay open after the answer,
// and outlive the client.
Test(loop_client, a_fresh_connection_ends_with_its_call) {
  asio::io_context Io;
  asio::ip::tcp::acceptor Listener(
      Io, {asio::ip::address_v4::loopback(), std::uint16_t(0)});
  asio::ip::tcp::socket Peer(Io);
  asio::streambuf In;
  std::error_code Seen;
  Listener.async_accept(Peer, [&](std::error_code) {
    asio::write(Peer, asio::buffer("HTTP/1.1 200 OK\r\n"
                                   "Content-Length: 0\r\n\r\n",
                                   38));
    asio::async_read(Peer, In, [&](std::error_code Err, std::size_t) {
      Seen = Err;
      Io.stop();
    });
  });
  auto Client = http::makeClient(Io);
  http::ClientCall Call;
  Call.Url_ =
      "http://127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  Call.Fresh_ = true;
  bool Answered = false;
  Client->submit(Call, [&](const http::ClientReply &R) {
    Answered = R.Status_ == http::ClientStatus::Answered;
  });
  Io.run_for(milliseconds(10'000));
  cr_assert(Answered);
  cr_assert(Seen == asio::error::eof, "%s", Seen.message().c_str());
}

// Guards against a call with an invalid URL that ends after its client has been
// destroyed.
Test(loop_client, no_call_ends_after_the_client) {
  asio::io_context Io;
  auto Client = http::makeClient(Io);
  http::ClientCall Call;
  Call.Url_ = "no URL";
  bool Ended = false;
  Client->submit(Call, [&](const http::ClientReply &) { Ended = true; });
  Client.reset();
  Io.run_for(milliseconds(100));
  cr_assert_not(Ended);
}
