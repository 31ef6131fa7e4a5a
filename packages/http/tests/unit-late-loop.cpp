/// The client on a delayed event loop: answers that have already arrived count.
#include "http/http.hpp"

#include <asio.hpp>
#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace pollenvale;
using std::chrono::milliseconds;
using Socket = asio::ip::tcp::socket;

namespace {

struct FullQueue {};

/// Reads requests on its own thread and answers them when answer() is called.
class Peer {
public:
  explicit Peer(std::size_t BodyBytes = 2)
      : Body_(BodyBytes, 'x'),
        Acceptor_(Io_, {asio::ip::address_v4::loopback(), 0}) {
    open();
  }
  /// Its accept queue is full, so that it drops SYN packets until open() is
  /// called.
  explicit Peer(FullQueue) : Acceptor_(Io_, asio::ip::tcp::v4()) {
    Acceptor_.bind({asio::ip::address_v4::loopback(), 0});
    Acceptor_.listen(0);
    for (int I = 0; I < QueuedConnections; ++I) {
      Socket &S = Queued_.emplace_back(Io_, asio::ip::tcp::v4());
      S.native_non_blocking(true);
      auto To = Acceptor_.local_endpoint();
      ::connect(S.native_handle(), To.data(), socklen_t(To.size()));
    }
  }
  ~Peer() {
    Io_.stop();
    Thread_.join();
  }
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;

  void open() {
    Acceptor_.listen();
    accept();
    Thread_ = std::thread([this] { Io_.run(); });
  }

  /// Answers all pending requests and, if \p AtOnce, later ones immediately.
  void answer(bool AtOnce = false) {
    asio::post(Io_, [this, AtOnce] {
      AtOnce_ = AtOnce;
      answerPending();
    });
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port()) + "/";
  }

  static constexpr int QueuedConnections = 4;
  std::atomic<int> Connections_{0};
  std::atomic<int> Requests_{0};
  std::atomic<int> Answers_{0};

private:
  struct Connection {
    explicit Connection(Socket S) : Socket_(std::move(S)) {}
    Socket Socket_;
    asio::streambuf In_;
    std::string Out_;
  };
  using Shared = std::shared_ptr<Connection>;

  void accept() {
    Acceptor_.async_accept([this](std::error_code Err, Socket S) {
      if (Err)
        return;
      ++Connections_;
      serve(std::make_shared<Connection>(std::move(S)));
      accept();
    });
  }

  void serve(const Shared &C) {
    asio::async_read_until(C->Socket_, C->In_, "\r\n\r\n",
                           [this, C](std::error_code Err, std::size_t Size) {
                             if (Err)
                               return;
                             C->In_.consume(Size);
                             ++Requests_;
                             Pending_.push_back(C);
                             if (AtOnce_)
                               answerPending();
                             serve(C);
                           });
  }

  void answerPending() {
    for (const Shared &C : std::exchange(Pending_, {}))
      answer(C);
  }

  void answer(const Shared &C) {
    C->Out_ =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body_.size()) +
        "\r\n\r\n" + Body_;
    asio::async_write(C->Socket_, asio::buffer(C->Out_),
                      [this, C](std::error_code, std::size_t) { ++Answers_; });
  }

  bool AtOnce_ = false;
  std::string Body_ = "{}";
  asio::io_context Io_;
  std::vector<Shared> Pending_;
  asio::ip::tcp::acceptor Acceptor_;
  std::vector<Socket> Queued_;
  std::thread Thread_;
};

/// A client with its event loop and the number of calls by outcome.
struct Caller {
  asio::io_context Io_{1};
  std::unique_ptr<http::Client> Client_ = http::makeClient(Io_);
  std::map<http::ClientStatus, int> Ended_;
  int Open_ = 0;

  void submit(const Peer &P, milliseconds Timeout,
              milliseconds ConnectTimeout = milliseconds(0)) {
    http::ClientCall Call;
    Call.Method_ = "GET";
    Call.Url_ = P.url();
    Call.Timeout_ = Timeout;
    Call.ConnectTimeout_ = ConnectTimeout;
    ++Open_;
    Client_->submit(std::move(Call), [this](const http::ClientReply &R) {
      ++Ended_[R.Status_];
      --Open_;
    });
  }

  /// Runs the loop until \p Condition holds, for at most 20 s.
  bool runUntil(const std::function<bool()> &Condition) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      Io_.restart();
      Io_.run_one_for(milliseconds(5));
    }
    return Condition();
  }

  bool runToEnd() {
    return runUntil([this] { return Open_ == 0; });
  }

  int answered() { return Ended_[http::ClientStatus::Answered]; }
};

/// Blocks without running the loop until \p Condition holds, for about 10 s.
bool waitUntil(const std::function<bool()> &Condition) {
  for (int I = 0; I < 2'000 && !Condition(); ++I)
    std::this_thread::sleep_for(milliseconds(5));
  return Condition();
}

constexpr milliseconds Limit{400};
constexpr milliseconds BeyondLimit{600};

} // namespace

// Guards against a delayed loop that runs a call's timer before it reads the
// answer.
Test(late_loop, an_answer_that_has_arrived_is_not_reported_as_a_timeout) {
  Peer P;
  Caller C;
  C.submit(P, Limit);
  cr_expect(C.runUntil([&] { return P.Requests_ == 1; }));
  P.answer();
  cr_expect(waitUntil([&] { return P.Answers_ == 1; }));
  std::this_thread::sleep_for(BeyondLimit);
  cr_expect(C.runToEnd());
  cr_expect_eq(C.answered(), 1);
}

// Guards against timeouts of answers beyond those that one poll returns.
Test(late_loop, hundreds_of_answers_that_have_arrived_are_all_read) {
  constexpr int Count = 300;
  Peer P(30'000);
  Caller C;
  for (int I = 0; I < Count; ++I)
    C.submit(P, milliseconds(2'000));
  cr_expect(C.runUntil([&] { return P.Requests_ == Count; }));
  P.answer();
  cr_expect(waitUntil([&] { return P.Answers_ == Count; }));
  std::this_thread::sleep_for(milliseconds(2'200));
  cr_expect(C.runToEnd());
  cr_expect_eq(C.answered(), Count);
}

// Guards against closing a connection that opened while the loop was delayed.
Test(late_loop, a_connection_that_has_opened_is_used) {
  Peer P(FullQueue{});
  Caller C;
  C.submit(P, milliseconds(9'000), milliseconds(2'000));
  C.Io_.run_for(milliseconds(200));
  P.open();
  P.answer(true);
  // The kernel retransmits a dropped SYN after one second.
  cr_expect(
      waitUntil([&] { return P.Connections_ == Peer::QueuedConnections + 1; }));
  std::this_thread::sleep_for(milliseconds(1'500));
  cr_expect(C.runToEnd());
  cr_expect_eq(C.answered(), 1);
  cr_expect_eq(P.Connections_, Peer::QueuedConnections + 1);
}

// Guards against a delayed loop that closes each new connection before using
// it.
Test(late_loop, a_request_that_leaves_late_has_the_whole_limit) {
  Peer P(FullQueue{});
  Caller C;
  C.submit(P, milliseconds(1'500));
  C.Io_.run_for(milliseconds(200));
  P.open();
  cr_expect(
      waitUntil([&] { return P.Connections_ == Peer::QueuedConnections + 1; }));
  std::this_thread::sleep_for(milliseconds(1'000));
  cr_expect(C.runUntil([&] { return P.Requests_ == 1 || C.Open_ == 0; }));
  C.Io_.restart();
  C.Io_.run_for(milliseconds(200));
  P.answer();
  cr_expect(C.runToEnd());
  cr_expect_eq(C.answered(), 1);
}

// Guards against a new connection for every answer that is read late.
Test(late_loop, connections_last_when_answers_are_read_late) {
  Peer P;
  Caller C;
  for (int Round = 1; Round <= 3; ++Round) {
    C.submit(P, Limit);
    cr_expect(C.runUntil([&] { return P.Requests_ == Round; }));
    P.answer();
    cr_expect(waitUntil([&] { return P.Answers_ == Round; }));
    std::this_thread::sleep_for(BeyondLimit);
    cr_expect(C.runToEnd());
  }
  cr_expect_eq(C.answered(), 3);
  cr_expect_eq(P.Connections_, 1);
}

// Guards against calls without a timeout, and reuse of their connections.
Test(late_loop, a_peer_that_never_answers_still_times_out) {
  Peer P;
  Caller C;
  auto Since = std::chrono::steady_clock::now();
  C.submit(P, Limit);
  cr_expect(C.runToEnd());
  auto Took = std::chrono::steady_clock::now() - Since;
  cr_expect_eq(C.Ended_[http::ClientStatus::Timeout], 1);
  cr_expect_geq(Took.count(), std::chrono::nanoseconds(Limit).count());
  // The old connection could still deliver the answer to the first call.
  C.submit(P, Limit);
  cr_expect(C.runToEnd());
  cr_expect_eq(P.Connections_, 2);
}

// Guards against calls that never time out after a delay of the loop.
Test(late_loop, a_late_loop_times_out_a_peer_that_never_answers) {
  Peer P;
  Caller C;
  C.submit(P, Limit);
  cr_expect(C.runUntil([&] { return P.Requests_ == 1; }));
  std::this_thread::sleep_for(BeyondLimit);
  cr_expect(C.runToEnd());
  cr_expect_eq(C.Ended_[http::ClientStatus::Timeout], 1);
}
