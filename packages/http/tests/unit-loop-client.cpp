/// The client on the caller's event loop, after connections that failed.
#include "http/http.hpp"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace pollenvale;
using std::chrono::milliseconds;

namespace {

/// A port whose queue of new connections is full: opening packets are dropped.
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

/// Makes \p Count calls at a time and runs the loop until all have ended or
/// \p Limit is over. Returns how many were answered.
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

Test(loop_client, connections_that_never_opened_leave_later_ones_alone) {
  // libcurl closes a socket that did not get to connect by itself; a later
  // connection has the same number.
  asio::io_context Io;
  std::uint16_t Port = freePort();
  auto Server = http::startServer(
      Io, {"127.0.0.1", Port, 1},
      [](const http::ServerRequest &, const http::Responder &Respond) {
        Respond({200, "{}"});
      });
  auto Client = http::makeClient(Io);
  FullPort Full;
  http::ClientCall Dropped;
  Dropped.Url_ = Full.url();
  Dropped.Timeout_ = milliseconds(300);
  Dropped.ConnectTimeout_ = milliseconds(100);
  cr_assert_eq(callMany(Io, *Client, Dropped, 6, milliseconds(5'000)), 0);
  // Without a readiness event such a call would end at its timeout only.
  http::ClientCall Live;
  Live.Url_ = "http://127.0.0.1:" + std::to_string(Port) + "/";
  Live.Timeout_ = milliseconds(60'000);
  cr_assert_eq(callMany(Io, *Client, Live, 6, milliseconds(10'000)), 6);
  Client.reset();
  Server->stop();
}
