/// The client on the caller's event loop against peers that behave at random:
/// SEEDS="FIRST COUNT" chooses the seeds.
#include "http/http.hpp"

#include <array>
#include <asio.hpp>
#include <criterion/criterion.h>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <thread>

using namespace pollenvale;
using std::chrono::milliseconds;
using Socket = asio::ip::tcp::socket;

namespace {

/// Random decisions of one run.
class Chance {
public:
  explicit Chance(unsigned Seed) : Engine_(Seed) {}

  /// From \p Low to \p High, both included.
  std::size_t between(std::size_t Low, std::size_t High) {
    return std::uniform_int_distribution<std::size_t>(Low, High)(Engine_);
  }
  bool percent(std::size_t Share) { return between(1, 100) <= Share; }
  milliseconds time(std::size_t Low, std::size_t High) {
    return milliseconds(between(Low, High));
  }

private:
  std::mt19937_64 Engine_;
};

/// The only right answer to the request \p Id.
std::string bodyOf(const std::string &Id) {
  constexpr std::size_t Step = 977, Most = 40'000;
  return Id + ":" +
         std::string(std::stoul(Id) * Step % Most, char('a' + Id.size()));
}

/// How a peer behaves after its last byte.
enum class After { Keep, Close, Reset, HalfClose, Hang };

/// What a peer sends to a request.
struct Script {
  std::vector<std::string> Pieces_;
  After After_ = After::Keep;
};

std::string withLength(const std::string &Body, const std::string &Header) {
  return "HTTP/1.1 200 OK\r\n" + Header +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string inChunks(const std::string &Body, std::size_t First) {
  std::ostringstream Out;
  Out << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      << std::hex << First << "\r\n"
      << Body.substr(0, First) << "\r\n";
  if (First < Body.size())
    Out << Body.size() - First << "\r\n" << Body.substr(First) << "\r\n";
  Out << "0\r\n\r\n";
  return Out.str();
}

std::vector<std::string> inPieces(const std::string &Text, Chance &Random) {
  std::set<std::size_t> Cuts{Text.size()};
  for (std::size_t Count = Random.between(0, 4); Count > 0; --Count)
    Cuts.insert(Random.between(0, Text.size()));
  std::vector<std::string> Out;
  std::size_t From = 0;
  for (std::size_t Cut : Cuts) {
    Out.push_back(Text.substr(From, Cut - From));
    From = Cut;
  }
  return Out;
}

Script makeScript(const std::string &Id, Chance &Random) {
  constexpr After AnyEnd[] = {After::Close, After::Reset, After::HalfClose,
                              After::Hang};
  Script Out;
  std::string Body = bodyOf(Id), Text;
  std::size_t Framing = Random.between(1, 100);
  bool UntilEnd = Framing > 92;
  if (UntilEnd)
    Text = "HTTP/1.1 200 OK\r\n\r\n" + Body;
  else if (Framing > 84)
    Text = withLength(Body, "Connection: close\r\n");
  else if (Framing > 70)
    Text = inChunks(Body, Random.between(1, Body.size()));
  else
    Text = withLength(Body, "");
  if (Random.percent(10))
    Text = "HTTP/1.1 100 Continue\r\n\r\n" + Text;
  if (Random.percent(5))
    Text = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + Text;
  if (Random.percent(2))
    Text = "no answer at all\r\n\r\n";
  bool Cut = Random.percent(30);
  if (Cut)
    Text.resize(Random.between(0, Text.size() - 1));
  else if (!UntilEnd && Random.percent(8))
    Text += withLength("another", "");
  if (Cut || UntilEnd || Random.percent(20))
    Out.After_ = AnyEnd[Random.between(0, 3)];
  // Nothing but a reset tells that such an answer isn't whole.
  if (Cut && UntilEnd)
    Out.After_ = After::Reset;
  Out.Pieces_ = inPieces(Text, Random);
  return Out;
}

/// What the peers have seen.
struct Log {
  std::map<std::string, int> Requests_; ///< By id.
};

/// A peer's side of a connection.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Socket S, Chance &Random, Log &Seen)
      : Socket_(std::move(S)), Timer_(Socket_.get_executor()), Random_(Random),
        Seen_(Seen) {}

  void start() {
    if (Random_.percent(4))
      return end(After::Reset);
    if (Random_.percent(4))
      return end(After::Close);
    if (Random_.percent(4))
      return hang();
    readHead();
  }

  void reset() { end(After::Reset); }

private:
  void readHead() {
    asio::async_read_until(
        Socket_, In_, "\r\n\r\n",
        [Self = shared_from_this()](std::error_code Err, std::size_t Size) {
          if (!Err)
            Self->onHead(Size);
        });
  }

  void onHead(std::size_t Size) {
    Timer_.cancel();
    Idle_ = false;
    std::string Head(asio::buffers_begin(In_.data()),
                     asio::buffers_begin(In_.data()) + std::ptrdiff_t(Size));
    In_.consume(Size);
    std::size_t From = Head.find('/') + 1;
    Id_ = Head.substr(From, Head.find(' ', From) - From);
    ++Seen_.Requests_[Id_];
    constexpr std::string_view Name = "Content-Length: ";
    std::size_t At = Head.find(Name);
    std::size_t Length =
        At == std::string::npos ? 0 : std::stoul(Head.substr(At + Name.size()));
    if (Random_.percent(5))
      return answer();
    std::size_t Missing = Length - std::min(Length, In_.size());
    asio::async_read(
        Socket_, In_, asio::transfer_exactly(Missing),
        [Self = shared_from_this(), Length](std::error_code Err, std::size_t) {
          if (Err)
            return;
          Self->In_.consume(Length);
          Self->answer();
        });
  }

  void answer() {
    Script_ = makeScript(Id_, Random_);
    Next_ = 0;
    sendLater();
  }

  void sendLater() {
    Timer_.expires_after(Random_.percent(70) ? milliseconds(0)
                                             : Random_.time(1, 150));
    Timer_.async_wait([Self = shared_from_this()](std::error_code Err) {
      if (!Err)
        Self->sendPiece();
    });
  }

  void sendPiece() {
    if (Next_ == Script_.Pieces_.size())
      return end(Script_.After_);
    asio::async_write(
        Socket_, asio::buffer(Script_.Pieces_[Next_++]),
        [Self = shared_from_this()](std::error_code Err, std::size_t) {
          if (!Err)
            Self->sendLater();
        });
  }

  void end(After How) {
    std::error_code Ignored;
    switch (How) {
    case After::Keep:
      return idle();
    case After::Reset:
      Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
      [[fallthrough]];
    case After::Close:
      Timer_.cancel();
      Socket_.close(Ignored);
      return;
    case After::HalfClose:
      Socket_.shutdown(Socket::shutdown_send, Ignored);
      return hang();
    case After::Hang:
      return hang();
    }
  }

  /// Reads no more, and ends when the run does.
  void hang() {
    Timer_.expires_after(std::chrono::minutes(1));
    Timer_.async_wait([Self = shared_from_this()](std::error_code) {});
  }

  void idle() {
    Idle_ = true;
    readHead();
    if (Random_.percent(50))
      return;
    Timer_.expires_after(Random_.time(0, 60));
    Timer_.async_wait([Self = shared_from_this()](std::error_code Err) {
      if (!Err)
        Self->endIdle();
    });
  }

  /// Ends the idle connection or sends without being asked, unless a request
  /// is already there.
  void endIdle() {
    std::error_code Ignored;
    if (!Idle_ || In_.size() > 0 || Socket_.available(Ignored) > 0)
      return;
    constexpr After Ends[] = {After::Close, After::Reset, After::HalfClose};
    if (!Random_.percent(30))
      return end(Ends[Random_.between(0, 2)]);
    Unasked_ = withLength("unasked", "");
    asio::async_write(
        Socket_, asio::buffer(Unasked_),
        [Self = shared_from_this()](std::error_code, std::size_t) {});
  }

  Socket Socket_;
  asio::steady_timer Timer_;
  Chance &Random_;
  Log &Seen_;
  asio::streambuf In_;
  std::string Id_;
  std::string Unasked_;
  Script Script_;
  std::size_t Next_ = 0;
  bool Idle_ = false;
};

/// Accepts connections; stops and starts again, and with it all of them.
class Peer {
public:
  Peer(asio::io_context &Io, Chance &Random, Log &Seen)
      : Acceptor_(Io, {asio::ip::address_v4::loopback(), 0}), Timer_(Io),
        Address_(Acceptor_.local_endpoint()), Random_(Random), Seen_(Seen) {
    accept();
    switchLater();
  }

  std::string port() const { return std::to_string(Address_.port()); }

private:
  void accept() {
    Acceptor_.async_accept([this](std::error_code Err, Socket S) {
      if (Err)
        return;
      auto New = std::make_shared<Session>(std::move(S), Random_, Seen_);
      Sessions_.push_back(New);
      New->start();
      accept();
    });
  }

  void switchLater() {
    Timer_.expires_after(Random_.time(20, 400));
    Timer_.async_wait([this](std::error_code Err) {
      if (Err)
        return;
      Acceptor_.is_open() ? stop() : listen();
      switchLater();
    });
  }

  void stop() {
    Acceptor_.close();
    for (const auto &Each : std::exchange(Sessions_, {}))
      if (auto Open = Each.lock())
        Open->reset();
  }

  void listen() {
    Acceptor_.open(asio::ip::tcp::v4());
    Acceptor_.set_option(asio::socket_base::reuse_address(true));
    Acceptor_.bind(Address_);
    Acceptor_.listen();
    accept();
  }

  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer Timer_;
  asio::ip::tcp::endpoint Address_;
  std::vector<std::weak_ptr<Session>> Sessions_;
  Chance &Random_;
  Log &Seen_;
};

/// One client, its peers and its calls, all on one loop.
class Run {
public:
  explicit Run(unsigned Seed) : Random_(Seed) {
    standStillLater();
    submitLater();
  }

  /// Returns what went wrong; empty if nothing did.
  std::string play() {
    // Some clients go while calls are in progress.
    std::size_t Calls = Random_.percent(25) ? Random_.between(1, Most) : Most;
    EndsEarly_ = Calls < Most;
    runUntil([&] { return EndsEarly_ ? Ended_ >= Calls : Open_.empty(); });
    std::size_t InFlight = Client_->stats().InFlight_;
    if (!EndsEarly_ && (InFlight > 0 || !Open_.empty()))
      fail("calls in flight at the end: " + std::to_string(InFlight));
    Client_.reset();
    Gone_ = true;
    Io_.restart();
    Io_.run_for(milliseconds(300));
    checkSeen();
    return Faults_;
  }

private:
  static constexpr std::size_t Most = 150;
  static constexpr std::size_t MostOpen = 12;

  struct Call {
    std::string Method_;
    int Ends_ = 0;
    http::ClientStatus Status_ = http::ClientStatus::Lost;
  };

  void runUntil(const std::function<bool()> &Condition) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while ((Submitted_ < Most || !Condition()) &&
           std::chrono::steady_clock::now() < End) {
      if (EndsEarly_ && Condition())
        return;
      Io_.restart();
      Io_.run_one_for(milliseconds(5));
    }
  }

  void standStillLater() {
    Busy_.expires_after(Random_.time(20, 500));
    Busy_.async_wait([this](std::error_code Err) {
      if (Err)
        return;
      std::this_thread::sleep_for(Random_.percent(20) ? Random_.time(50, 300)
                                                      : Random_.time(0, 30));
      standStillLater();
    });
  }

  void submitLater() {
    Pause_.expires_after(Random_.time(0, 60));
    Pause_.async_wait([this](std::error_code Err) {
      if (Err || Gone_)
        return;
      for (std::size_t Count = Random_.between(1, 5); Count > 0; --Count)
        submit();
      submitLater();
    });
  }

  std::string anyPeer() {
    std::string Port = Peers_[Random_.between(0, 2)].port();
    if (Random_.percent(2))
      return "ftp://nowhere/";
    if (Random_.percent(3))
      return "http://localhost:" + Port + "/";
    return "http://127.0.0.1:" + Port + "/";
  }

  http::ClientCall anyCall(const std::string &Id) {
    constexpr const char *Methods[] = {"GET", "GET", "POST", "PUT", "DELETE"};
    constexpr std::size_t BeyondBuffers = 8'000'000;
    http::ClientCall Out;
    Out.Method_ = Methods[Random_.between(0, 4)];
    Out.Url_ = anyPeer() + Id;
    if (Out.Method_ != "GET")
      Out.Body_.assign(
          Random_.percent(4) ? BeyondBuffers : Random_.between(0, 1'000), 'b');
    Out.Timeout_ = Random_.time(20, 500);
    if (Random_.percent(50))
      Out.ConnectTimeout_ = Random_.time(5, 100);
    if (Random_.percent(50))
      Out.SilenceTimeout_ = Random_.time(10, 200);
    Out.Fresh_ = Random_.percent(15);
    return Out;
  }

  void submit() {
    if (!Client_ || Submitted_ == Most || Open_.size() >= MostOpen)
      return;
    std::string Id = std::to_string(++Submitted_);
    http::ClientCall New = anyCall(Id);
    Calls_[Id].Method_ = New.Method_;
    Open_.insert(Id);
    InSubmit_ = true;
    Client_->submit(std::move(New), [this, Id](const http::ClientReply &Reply) {
      onEnd(Id, Reply);
    });
    InSubmit_ = false;
  }

  void onEnd(const std::string &Id, const http::ClientReply &Reply) {
    Call &C = Calls_[Id];
    if (Gone_)
      fail(Id + " ended after the client");
    if (InSubmit_)
      fail(Id + " ended within submit()");
    if (++C.Ends_ > 1)
      fail(Id + " ended twice");
    C.Status_ = Reply.Status_;
    ++Ended_;
    Open_.erase(Id);
    if (Reply.Status_ == http::ClientStatus::Answered &&
        Reply.Body_ != bodyOf(Id))
      fail(Id + " got another body: " + Reply.Body_.substr(0, 20) + " of " +
           std::to_string(Reply.Body_.size()) + " bytes, expected " +
           std::to_string(bodyOf(Id).size()));
    for (std::size_t Count = Random_.between(0, 2); Count > 0; --Count)
      submit();
  }

  void checkSeen() {
    for (const auto &[Id, C] : Calls_) {
      if (C.Ends_ == 0 && !EndsEarly_)
        fail(Id + " never ended");
      auto It = Seen_.Requests_.find(Id);
      int Requests = It == Seen_.Requests_.end() ? 0 : It->second;
      if (C.Ends_ > 0 && C.Status_ == http::ClientStatus::NotSent &&
          Requests > 0)
        fail(C.Method_ + " " + Id + " is said to be not sent");
      if (C.Method_ != "GET" && Requests > 1)
        fail(C.Method_ + " " + Id + " was sent twice");
    }
  }

  void fail(const std::string &Text) { Faults_ += Text + "\n"; }

  asio::io_context Io_{1};
  Chance Random_;
  Log Seen_;
  std::array<Peer, 3> Peers_{Peer(Io_, Random_, Seen_),
                             Peer(Io_, Random_, Seen_),
                             Peer(Io_, Random_, Seen_)};
  asio::steady_timer Busy_{Io_};
  asio::steady_timer Pause_{Io_};
  std::unique_ptr<http::Client> Client_ = http::makeClient(Io_);
  std::map<std::string, Call> Calls_;
  std::set<std::string> Open_;
  std::size_t Submitted_ = 0;
  std::size_t Ended_ = 0;
  bool EndsEarly_ = false;
  bool Gone_ = false;
  bool InSubmit_ = false;
  std::string Faults_;
};

} // namespace

// Guards against calls that end twice, never or with another call's answer when
// connections break at any moment.
Test(random_peers, each_call_ends_once_and_as_its_peer_saw_it) {
  unsigned First = 1, Count = 4;
  if (const char *Seeds = std::getenv("SEEDS"))
    std::istringstream(Seeds) >> First >> Count;
  for (unsigned Seed = First; Seed < First + Count; ++Seed) {
    std::string Faults = Run(Seed).play();
    cr_expect(Faults.empty(), "seed %u: %s", Seed, Faults.c_str());
  }
}
