/// A server that is drained before the process ends, on a loop that is late.
#include "http/http.hpp"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <optional>
#include <thread>

using namespace pollenvale;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds TickInterval{25};
/// Longer than the interval, so that the tick is due when the loop goes on.
constexpr milliseconds LoopDelay{60};

std::uint16_t freePort() {
  asio::io_context Io;
  asio::ip::tcp::acceptor Any(
      Io, {asio::ip::address_v4::loopback(), std::uint16_t(0)});
  return Any.local_endpoint().port();
}

/// A process that answers on its loop and ends once its server is drained.
class Process {
public:
  Process() { scheduleTick(); }

  /// Runs the loop for \p Time, or until the process has ended.
  void runFor(milliseconds Time) {
    Io_.restart();
    Io_.run_for(Time);
  }

  /// Runs the loop until the server is drained, for at most 5 s.
  bool runToEnd() {
    Draining_ = true;
    runFor(milliseconds(5'000));
    return Ended_;
  }

  milliseconds AnswerTime_{0}; ///< Time that the handler takes.
  milliseconds WorkTime_{0};   ///< Time in which the handler keeps the loop.
  std::uint16_t Port_ = freePort();
  std::size_t Requests_ = 0;
  asio::io_context Io_{1};
  std::unique_ptr<http::LoopServer> Server_ = http::startServer(
      Io_, {"127.0.0.1", Port_, 1},
      [this](const http::ServerRequest &, const http::Responder &Respond) {
        ++Requests_;
        std::this_thread::sleep_for(WorkTime_);
        answer(Respond);
      });

private:
  http::ServerReply reply() const {
    http::ServerReply Reply{200, "whole"};
    Reply.Close_ = Draining_;
    return Reply;
  }

  void answer(const http::Responder &Respond) {
    if (AnswerTime_ == milliseconds(0))
      return Respond(reply());
    auto Timer = std::make_shared<asio::steady_timer>(Io_, AnswerTime_);
    Timer->async_wait(
        [this, Timer, Respond](std::error_code) { Respond(reply()); });
  }

  void scheduleTick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([this](std::error_code) {
      if (Draining_)
        Server_->drain();
      Ended_ = Draining_ && Server_->isDrained();
      if (Ended_)
        Io_.stop();
      else
        scheduleTick();
    });
  }

  asio::steady_timer Timer_{Io_};
  bool Draining_ = false;
  bool Ended_ = false;
};

/// A blocking connection of a caller.
class Caller {
public:
  explicit Caller(std::uint16_t Port) {
    Socket_.connect({asio::ip::address_v4::loopback(), Port}, Refused_);
    timeval Limit{3, 0};
    ::setsockopt(Socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
                 sizeof Limit);
  }

  void send(const std::string &Text) {
    std::error_code Ignored;
    asio::write(Socket_, asio::buffer(Text), Ignored);
  }

  /// Reads one answer and returns whether it was whole.
  bool readAnswer() {
    std::string In;
    std::error_code Err;
    char Part[512];
    while (!Err && In.find("\r\n\r\nwhole") == std::string::npos) {
      // A blocking read of the system, as the time limit is its own.
      ssize_t Size = ::recv(Socket_.native_handle(), Part, sizeof Part, 0);
      if (Size <= 0)
        return false;
      In.append(Part, std::size_t(Size));
    }
    return true;
  }

  asio::io_context Io_;
  asio::ip::tcp::socket Socket_{Io_};
  std::error_code Refused_;
};

const std::string Head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n";
const std::string Request = Head + "\r\nbody";

} // namespace

// Guards against LOST: a connection that waits to be accepted while the loop is
// late is dropped with the request that was sent on it.
Test(draining, a_request_on_a_connection_not_yet_accepted_is_answered) {
  std::optional<Process> P(std::in_place);
  P->runFor(milliseconds(10));
  Caller First(P->Port_), Second(P->Port_);
  First.send(Request);
  Second.send(Request);
  std::this_thread::sleep_for(LoopDelay);
  cr_expect(P->runToEnd());
  P.reset();
  cr_expect(First.readAnswer());
  cr_expect(Second.readAnswer());
}

// Guards against LOST: requests that lie unread on kept connections are dropped
// if they are more than one poll returns.
Test(draining, requests_unread_on_kept_connections_are_answered) {
  std::optional<Process> P(std::in_place);
  std::vector<std::unique_ptr<Caller>> Callers;
  constexpr int Count = 300;
  for (int I = 0; I < Count; ++I) {
    Callers.push_back(std::make_unique<Caller>(P->Port_));
    Callers.back()->send(Request);
  }
  P->runFor(milliseconds(300));
  for (const auto &C : Callers)
    cr_assert(C->readAnswer());
  for (const auto &C : Callers)
    C->send(Request);
  std::this_thread::sleep_for(LoopDelay);
  cr_expect(P->runToEnd());
  P.reset();
  for (const auto &C : Callers)
    cr_expect(C->readAnswer());
}

// Guards against LOST: a caller that is still sending its request is cut off.
Test(draining, half_a_request_is_read_to_its_end_and_answered) {
  std::optional<Process> P(std::in_place);
  Caller C(P->Port_);
  C.send(Head);
  P->runFor(milliseconds(100));
  std::thread Later([&] {
    std::this_thread::sleep_for(milliseconds(200));
    C.send("\r\nbody");
  });
  cr_expect(P->runToEnd());
  Later.join();
  P.reset();
  cr_expect(C.readAnswer());
}

// Guards against LOST: a call whose answer takes a while is cut off, as only
// answers that are being written were counted.
Test(draining, an_answer_that_comes_later_is_written) {
  std::optional<Process> P(std::in_place);
  P->AnswerTime_ = milliseconds(300);
  Caller C(P->Port_);
  C.send(Request);
  P->runFor(milliseconds(50));
  cr_assert_eq(P->Requests_, 1u);
  cr_expect(P->runToEnd());
  P.reset();
  cr_expect(C.readAnswer());
}

// Guards against a stop that waits for connections without a request, and
// against callers that keep one to a process that takes no more requests.
Test(draining, an_idle_connection_is_closed_and_new_ones_are_refused) {
  Process P;
  Caller C(P.Port_);
  C.send(Request);
  P.runFor(milliseconds(100));
  cr_expect(C.readAnswer());
  auto Since = Clock::now();
  cr_expect(P.runToEnd());
  cr_expect(Clock::now() - Since < milliseconds(1'000));
  char Byte;
  cr_expect_eq(::recv(C.Socket_.native_handle(), &Byte, 1, 0), 0);
  cr_expect(Caller(P.Port_).Refused_ == asio::error::connection_refused);
}

// Guards against closing a connection before its first request, sent a moment
// after it was opened, can arrive.
Test(draining, a_new_connection_has_time_for_its_first_request) {
  std::optional<Process> P(std::in_place);
  P->runFor(milliseconds(10));
  Caller C(P->Port_);
  std::thread Later([&] {
    std::this_thread::sleep_for(milliseconds(80));
    C.send(Request);
  });
  cr_expect(P->runToEnd());
  Later.join();
  P.reset();
  cr_expect(C.readAnswer());
}

// Guards against LOST for callers that use their connections, and open new
// ones, until the process has ended.
Test(draining, callers_that_go_on_to_the_end_lose_no_request) {
  constexpr int Rounds = 10;
  /// Requests that were sent this shortly before the end may be cut off.
  constexpr milliseconds Slack{200};
  for (int Round = 0; Round < Rounds; ++Round) {
    std::optional<Process> P(std::in_place);
    P->AnswerTime_ = milliseconds(Round % 2 * 10);
    std::atomic<int> Lost{0}, Answered{0};
    std::vector<std::thread> Callers;
    for (int I = 0; I < 4; ++I)
      Callers.emplace_back([&, Port = P->Port_] {
        for (;;) {
          Caller C(Port);
          if (C.Refused_)
            return;
          for (;;) {
            auto SentAt = Clock::now();
            C.send(Request);
            if (!C.readAnswer()) {
              Lost += Clock::now() - SentAt > Slack;
              break;
            }
            ++Answered;
          }
        }
      });
    P->runFor(milliseconds(100));
    cr_expect(P->runToEnd());
    P.reset();
    for (std::thread &T : Callers)
      T.join();
    cr_expect_eq(Lost, 0);
    cr_expect_gt(Answered, 4);
  }
}

// Guards against a stop that only its time limit ends, with calls cut off:
// while new connections keep a loop busy, one always waits to be accepted, so
// that the listener is never closed.
Test(draining, a_stream_of_new_connections_does_not_keep_the_process) {
  constexpr int Count = 24;
  std::optional<Process> P(std::in_place);
  P->WorkTime_ = milliseconds(2);
  std::atomic<bool> Ended{false};
  std::vector<std::thread> Callers;
  for (int I = 0; I < Count; ++I)
    Callers.emplace_back([&, Port = P->Port_] {
      while (!Ended) {
        Caller C(Port);
        if (C.Refused_)
          return;
        C.send(Request);
        C.readAnswer();
      }
    });
  P->runFor(milliseconds(100));
  cr_expect(P->runToEnd());
  Ended = true;
  P.reset();
  for (std::thread &T : Callers)
    T.join();
}
