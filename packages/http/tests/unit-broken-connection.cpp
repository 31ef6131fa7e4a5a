/// Calls on a reused connection that breaks.
#include "http/http.hpp"

#include <asio.hpp>
#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace pollenvale;
using std::chrono::milliseconds;
using Socket = asio::ip::tcp::socket;

namespace {

/// Answers the first request, reads a second one on the same connection and
/// resets the connection. Then it answers one more request with 503 if \p
/// Listens, and accepts no further connection otherwise.
class BreakingPeer {
public:
  explicit BreakingPeer(bool Listens)
      : Acceptor_(Io_, {asio::ip::address_v4::loopback(), 0}),
        Port_(Acceptor_.local_endpoint().port()),
        Thread_([this, Listens] { serve(Listens); }) {}
  ~BreakingPeer() {
    // Unblocks accept() if the client has not opened a second connection.
    asio::io_context Io;
    std::error_code Ignored;
    Socket(Io).connect({asio::ip::address_v4::loopback(), Port_}, Ignored);
    Thread_.join();
  }
  BreakingPeer(const BreakingPeer &) = delete;
  BreakingPeer &operator=(const BreakingPeer &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port_) + "/";
  }

  std::atomic<int> Requests_{0};

private:
  void serve(bool Listens) {
    Socket S = Acceptor_.accept();
    readRequest(S);
    answer(S, "200 OK");
    readRequest(S);
    if (!Listens)
      Acceptor_.close();
    S.set_option(asio::socket_base::linger(true, 0));
    S.close();
    if (!Listens)
      return;
    Socket Second = Acceptor_.accept();
    if (readRequest(Second))
      answer(Second, "503 Service Unavailable");
  }

  bool readRequest(Socket &S) {
    std::error_code Err;
    asio::streambuf In;
    asio::read_until(S, In, "body", Err);
    Requests_ += !Err;
    return !Err;
  }

  static void answer(Socket &S, const std::string &Status) {
    asio::write(S, asio::buffer("HTTP/1.1 " + Status +
                                "\r\nContent-Length: 2\r\n\r\n{}"));
  }

  asio::io_context Io_;
  asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t Port_;
  std::thread Thread_;
};

http::ClientReply call(asio::io_context &Io, http::Client &C,
                       const BreakingPeer &P,
                       const std::string &Method = "POST") {
  http::ClientCall Call;
  Call.Method_ = Method;
  Call.Url_ = P.url() + "body";
  Call.Body_ = "body";
  http::ClientReply Reply;
  C.submit(Call, [&](const http::ClientReply &R) {
    Reply = R;
    Io.stop();
  });
  Io.restart();
  Io.run_for(milliseconds(10'000));
  return Reply;
}

} // namespace

// Guards against TWICE and UNASKED: a request that may have been executed is
// reported as refused, because the client repeated it and the repetition was
// refused.
Test(broken_connection, a_refused_repetition_does_not_hide_a_lost_answer) {
  asio::io_context Io;
  auto Client = http::makeClient(Io);
  BreakingPeer P(true);
  cr_assert(call(Io, *Client, P).Status_ == http::ClientStatus::Answered);
  http::ClientReply R = call(Io, *Client, P);
  cr_assert(R.Status_ == http::ClientStatus::Lost, "status %d, code %d",
            int(R.Status_), R.Code_);
  cr_assert_eq(P.Requests_, 2);
}

// Guards against the same failure when the peer accepts no new connection.
Test(broken_connection, a_failed_repetition_does_not_hide_a_sent_request) {
  asio::io_context Io;
  auto Client = http::makeClient(Io);
  BreakingPeer P(false);
  cr_assert(call(Io, *Client, P).Status_ == http::ClientStatus::Answered);
  http::ClientReply R = call(Io, *Client, P);
  cr_assert(R.Status_ == http::ClientStatus::Lost, "status %d, %s",
            int(R.Status_), R.Message_.c_str());
  cr_assert_eq(P.Requests_, 2);
}

// Guards against the same failure of a GET, which is sent a second time.
Test(broken_connection, a_get_that_was_read_is_not_reported_as_not_sent) {
  asio::io_context Io;
  auto Client = http::makeClient(Io);
  BreakingPeer P(false);
  cr_assert(call(Io, *Client, P, "GET").Status_ ==
            http::ClientStatus::Answered);
  http::ClientReply R = call(Io, *Client, P, "GET");
  cr_assert(R.Status_ == http::ClientStatus::Lost, "status %d, %s",
            int(R.Status_), R.Message_.c_str());
  cr_assert_eq(P.Requests_, 2);
}

// Guards against a part of a body that is taken for the whole: an answer
// without a length ends with its connection, but not with a reset.
Test(broken_connection, a_reset_completes_no_answer) {
  asio::io_context Io;
  asio::ip::tcp::acceptor Listener(Io, {asio::ip::address_v4::loopback(), 0});
  Socket Peer(Io);
  asio::streambuf In;
  Listener.async_accept(Peer, [&](std::error_code) {
    asio::async_read_until(
        Peer, In, "\r\n\r\n", [&](std::error_code, std::size_t) {
          asio::write(Peer, asio::buffer("HTTP/1.1 200 OK\r\n\r\na part", 25));
          Peer.set_option(asio::socket_base::linger(true, 0));
          Peer.close();
        });
  });
  auto Client = http::makeClient(Io);
  http::ClientCall Call;
  Call.Url_ =
      "http://127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  http::ClientReply Reply;
  Reply.Status_ = http::ClientStatus::Answered;
  Client->submit(Call, [&](const http::ClientReply &R) {
    Reply = R;
    Io.stop();
  });
  Io.run_for(milliseconds(10'000));
  cr_assert(Reply.Status_ != http::ClientStatus::Answered, "%s",
            Reply.Body_.c_str());
}

// Guards against the same failure where the reset is told to a request that is
// still being written: what is read next looks like an orderly end.
Test(broken_connection, a_reset_while_writing_completes_no_answer) {
  asio::io_context Io;
  asio::ip::tcp::acceptor Listener(Io, {asio::ip::address_v4::loopback(), 0});
  Socket Peer(Io);
  asio::streambuf In;
  asio::steady_timer Reset(Io);
  Listener.async_accept(Peer, [&](std::error_code) {
    // The rest of the request stays unread and fills the buffers.
    asio::async_read_until(
        Peer, In, "\r\n\r\n", [&](std::error_code, std::size_t) {
          asio::write(Peer, asio::buffer("HTTP/1.1 200 OK\r\n\r\na part", 25));
          Reset.expires_after(milliseconds(200));
          Reset.async_wait([&](std::error_code) {
            Peer.set_option(asio::socket_base::linger(true, 0));
            Peer.close();
          });
        });
  });
  auto Client = http::makeClient(Io);
  http::ClientCall Call;
  Call.Url_ =
      "http://127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  constexpr std::size_t LargeBody = 32u << 20;
  Call.Body_ = std::string(LargeBody, 'x');
  http::ClientReply Reply;
  Reply.Status_ = http::ClientStatus::Answered;
  Client->submit(Call, [&](const http::ClientReply &R) {
    Reply = R;
    Io.stop();
  });
  Io.run_for(milliseconds(10'000));
  cr_assert(Reply.Status_ != http::ClientStatus::Answered, "%s",
            Reply.Body_.c_str());
}

// Guards against the same failure of the client with its own thread.
Test(broken_connection, a_client_with_a_thread_repeats_no_post) {
  auto Client = http::makeClient();
  BreakingPeer P(true);
  http::ClientCall Call;
  Call.Url_ = P.url();
  Call.Body_ = "body";
  cr_assert(http::callAndWait(*Client, Call).Status_ ==
            http::ClientStatus::Answered);
  http::ClientReply R = http::callAndWait(*Client, Call);
  cr_assert(R.Status_ == http::ClientStatus::Lost, "status %d, code %d",
            int(R.Status_), R.Code_);
  cr_assert_eq(P.Requests_, 2);
}
