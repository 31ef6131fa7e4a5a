/// Forms of answers, and connections that end at various points of them.
#include "http/detail/url.hpp"
#include "http/http.hpp"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <thread>

using namespace pollenvale;
using http::ClientStatus;
using std::chrono::milliseconds;
using Socket = asio::ip::tcp::socket;

namespace {

/// Sends fixed bytes after each request on a connection and, if \p Closes,
/// closes it.
class CannedPeer {
public:
  CannedPeer(std::string Answer, bool Closes)
      : Answer_(std::move(Answer)), Closes_(Closes),
        Acceptor_(Io_, {asio::ip::address_v4::loopback(), 0}),
        Port_(Acceptor_.local_endpoint().port()) {
    accept();
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~CannedPeer() {
    Io_.stop();
    Thread_.join();
  }
  CannedPeer(const CannedPeer &) = delete;
  CannedPeer &operator=(const CannedPeer &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port_) + "/path?query=1";
  }

private:
  void accept() {
    Acceptor_.async_accept([this](std::error_code Err, Socket S) {
      if (Err)
        return;
      serve(std::make_shared<Socket>(std::move(S)));
      accept();
    });
  }

  void serve(const std::shared_ptr<Socket> &S) {
    auto In = std::make_shared<asio::streambuf>();
    asio::async_read_until(*S, *In, "body",
                           [this, S, In](std::error_code Err, std::size_t) {
                             if (Err)
                               return;
                             std::error_code Ignored;
                             asio::write(*S, asio::buffer(Answer_), Ignored);
                             if (!Closes_)
                               serve(S);
                           });
  }

  std::string Answer_;
  bool Closes_;
  asio::io_context Io_;
  asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t Port_;
  std::thread Thread_;
};

http::ClientReply call(asio::io_context &Io, http::Client &C,
                       const std::string &Url) {
  http::ClientCall Call;
  Call.Url_ = Url;
  Call.Body_ = "body";
  Call.Timeout_ = milliseconds(10'000);
  http::ClientReply Reply;
  C.submit(Call, [&](http::ClientReply R) {
    Reply = std::move(R);
    Io.stop();
  });
  Io.restart();
  Io.run_for(milliseconds(20'000));
  return Reply;
}

struct Case {
  const char *Answer_;
  bool Closes_;
  ClientStatus Status_;
  int Code_;
  const char *Body_;
};

const Case Cases[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false,
     ClientStatus::Answered, 200, "{}"},
    {"HTTP/1.1 409 No\r\ncontent-length: 0\r\n\r\n", false,
     ClientStatus::Answered, 409, ""},
    {"HTTP/1.1 204 OK\r\n\r\n", false, ClientStatus::Answered, 204, ""},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\n{}\r\n1\r\n \r\n0\r\n\r\n",
     false, ClientStatus::Answered, 200, "{} "},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
     "1\r\n\r\nx",
     false, ClientStatus::Answered, 200, "x"},
    {"HTTP/1.0 200 OK\r\n\r\nuntil the end", true, ClientStatus::Answered, 200,
     "until the end"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}surplus", false,
     ClientStatus::Answered, 200, "{}"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", true,
     ClientStatus::Truncated, 200, "{}"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}", true,
     ClientStatus::Truncated, 200, "{}"},
    {"HTTP/1.1 200 OK\r\nContent-Le", true, ClientStatus::Lost, 0, ""},
    {"", true, ClientStatus::Lost, 0, ""},
    {"SSH-2.0-other\r\n", false, ClientStatus::Lost, 0, ""},
};

} // namespace

// Guards against answers of a worker or the store that are taken for others, or
// for whole ones: each form is read twice, on a reused connection where the
// peer allows it.
Test(answers, each_form_is_read_as_it_was_sent) {
  for (const Case &C : Cases) {
    CannedPeer P(C.Answer_, C.Closes_);
    asio::io_context Io;
    auto Client = http::makeClient(Io);
    for (int I = 0; I < 2; ++I) {
      http::ClientReply R = call(Io, *Client, P.url());
      cr_assert(R.Status_ == C.Status_, "status %d for %s", int(R.Status_),
                C.Answer_);
      cr_assert_eq(R.Body_, C.Body_, "%s", C.Answer_);
      cr_assert(C.Code_ == 0 || R.Code_ == C.Code_, "code %d for %s", R.Code_,
                C.Answer_);
    }
  }
}

// Guards against TWICE and UNASKED: a request that could not be sent must be
// told from one that may have been executed.
Test(answers, a_call_without_a_connection_was_not_sent) {
  asio::io_context Io;
  auto Client = http::makeClient(Io);
  std::uint16_t Closed = 0;
  {
    asio::ip::tcp::acceptor Any(Io, {asio::ip::address_v4::loopback(), 0});
    Closed = Any.local_endpoint().port();
  }
  for (const std::string &Url :
       {"http://127.0.0.1:" + std::to_string(Closed) + "/",
        std::string("https://127.0.0.1/"), std::string("http:///"),
        std::string("http://:80/")})
    cr_assert(call(Io, *Client, Url).Status_ == ClientStatus::NotSent, "%s",
              Url.c_str());
}

// Guards against calls that end as lost since the peer has closed an idle
// connection, while the event loop was delayed.
Test(answers, an_idle_connection_that_the_peer_has_closed_is_not_used) {
  CannedPeer P("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true);
  asio::io_context Io;
  auto Client = http::makeClient(Io);
  for (int I = 0; I < 3; ++I) {
    cr_assert(call(Io, *Client, P.url()).Status_ == ClientStatus::Answered);
    std::this_thread::sleep_for(milliseconds(100));
  }
  cr_assert_eq(Client->stats().Connections_, 3u);
}

Test(answers, parts_of_urls) {
  using http::detail::parseUrl;
  using http::detail::splitPeer;
  cr_assert_eq(parseUrl("http://10.0.0.1:80/a?b=c")->Peer_, "10.0.0.1:80");
  cr_assert_eq(parseUrl("http://10.0.0.1:80/a?b=c")->Target_, "/a?b=c");
  cr_assert_eq(parseUrl("http://host?b")->Target_, "/?b");
  cr_assert_eq(parseUrl("http://host")->Target_, "/");
  cr_assert_eq(splitPeer("[::1]:8080").Host_, "::1");
  cr_assert_eq(splitPeer("[::1]:8080").Port_, "8080");
  cr_assert_eq(splitPeer("[::1]").Host_, "::1");
  cr_assert_eq(splitPeer("host").Port_, "80");
}
