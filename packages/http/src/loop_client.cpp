#include "http/detail/connection.hpp"
#include "http/detail/url.hpp"
#include "http/http.hpp"

#include <map>
#include <unordered_map>

namespace pollenvale::http {

namespace {

using detail::Connection;
using detail::ExchangeEnd;
using Clock = std::chrono::steady_clock;

/// Idle connections that are kept for reuse.
constexpr std::size_t MaxIdleConnections = 2'400;

struct PendingCall;
/// Calls in progress by their next limit.
using CallsByLimit =
    std::multimap<Clock::time_point, std::shared_ptr<PendingCall>>;

/// A call in progress.
struct PendingCall {
  ClientCall Call_;
  ClientDone Done_;
  ClientReply Reply_;
  detail::Url Url_;
  std::shared_ptr<Connection> Connection_;
  bool Reused_ = false;   ///< The connection has served other calls.
  bool Repeated_ = false; ///< It was sent before, on a connection that broke.
  bool Ended_ = false;
  Clock::time_point DeadlineAt_{}; ///< End of the whole call.
  CallsByLimit::iterator Position_;
};

std::string makeRequest(const ClientCall &Call, const detail::Url &Url) {
  std::string Out;
  constexpr std::size_t HeadBytes = 256;
  Out.reserve(HeadBytes + Call.Body_.size());
  Out += Call.Method_;
  Out += ' ';
  Out += Url.Target_;
  Out += " HTTP/1.1\r\nHost: ";
  Out += Url.Peer_;
  Out += "\r\nAccept: */*\r\n";
  if (Call.Method_ != "GET") {
    Out += "Content-Type: application/json\r\nContent-Length: ";
    Out += std::to_string(Call.Body_.size());
    Out += "\r\n";
  }
  for (const std::string &Header : Call.Headers_) {
    Out += Header;
    Out += "\r\n";
  }
  Out += "\r\n";
  if (Call.Method_ != "GET")
    Out += Call.Body_;
  return Out;
}

/// Idle connections by peer.
class ConnectionPool {
public:
  /// An idle connection to \p Peer; null if there is none.
  std::shared_ptr<Connection> take(const std::string &Peer) {
    auto It = Idle_.find(Peer);
    while (It != Idle_.end() && !It->second.empty()) {
      std::shared_ptr<Connection> Newest = std::move(It->second.back());
      It->second.pop_back();
      --Count_;
      if (Newest->isUsable())
        return Newest;
      Newest->close();
    }
    return nullptr;
  }

  /// Keeps a connection for reuse, or closes it if too many are idle.
  void add(std::shared_ptr<Connection> C) {
    if (Count_ >= MaxIdleConnections)
      return C->close();
    ++Count_;
    Idle_[C->peer()].push_back(std::move(C));
    if (Idle_.size() > 2 * MaxIdleConnections)
      std::erase_if(Idle_, [](const auto &Row) { return Row.second.empty(); });
  }

  /// Forgets a connection that has ended.
  void remove(const Connection &C) {
    auto It = Idle_.find(C.peer());
    if (It == Idle_.end())
      return;
    Count_ -= std::erase_if(It->second,
                            [&](const auto &Each) { return Each.get() == &C; });
    if (It->second.empty())
      Idle_.erase(It);
  }

  void closeAll() {
    for (auto &[Peer, Connections] : Idle_)
      for (const std::shared_ptr<Connection> &C : Connections)
        C->close();
    Idle_.clear();
    Count_ = 0;
  }

private:
  std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>>
      Idle_;
  std::size_t Count_ = 0;
};

class LoopClient : public Client {
public:
  explicit LoopClient(asio::io_context &Io)
      : Io_(Io), Resolver_(Io), LimitTimer_(Io) {}

  ~LoopClient() override {
    for (auto &[Limit, C] : Calls_)
      C->Connection_->close();
    Pool_.closeAll();
  }

  LoopClient(const LoopClient &) = delete;
  LoopClient &operator=(const LoopClient &) = delete;

  void submit(ClientCall Call, ClientDone Done) override {
    auto Url = detail::parseUrl(Call.Url_);
    if (!Url)
      return rejectUrl(std::move(Done));
    auto C = std::make_shared<PendingCall>();
    C->DeadlineAt_ = Clock::now() + Call.Timeout_;
    C->Call_ = std::move(Call);
    C->Done_ = std::move(Done);
    C->Url_ = std::move(*Url);
    C->Position_ = Calls_.emplace(C->DeadlineAt_, C);
    start(*C, C->Call_.Fresh_ ? nullptr : Pool_.take(C->Url_.Peer_));
    armTimer();
  }

  ClientStats stats() const override {
    ClientStats Out = Stats_;
    Out.InFlight_ = Calls_.size();
    return Out;
  }

private:
  /// When a call ends that has not been sent.
  static Clock::time_point unsentLimit(const PendingCall &C) {
    auto Now = Clock::now();
    if (C.Call_.ConnectTimeout_.count() > 0)
      return std::min(C.DeadlineAt_, Now + C.Call_.ConnectTimeout_);
    if (C.Call_.SilenceTimeout_.count() > 0)
      return std::min(C.DeadlineAt_, Now + C.Call_.SilenceTimeout_);
    return C.DeadlineAt_;
  }

  /// When a sent call ends unless bytes of the answer arrive first.
  static Clock::time_point sentLimit(const PendingCall &C,
                                     Clock::time_point SentAt) {
    if (C.Call_.SilenceTimeout_.count() == 0)
      return C.DeadlineAt_;
    auto HeardAt = std::max(SentAt, C.Connection_->receivedAt());
    return std::min(C.DeadlineAt_, HeardAt + C.Call_.SilenceTimeout_);
  }

  /// No handler may run within submit().
  void rejectUrl(ClientDone Done) {
    ++Stats_.NotSent_;
    asio::post(Io_,
               [Done = std::move(Done), Alive = std::weak_ptr<bool>(Alive_)] {
                 if (Alive.expired())
                   return;
                 ClientReply Reply;
                 Reply.Status_ = ClientStatus::NotSent;
                 Reply.Message_ = "the URL is invalid";
                 Done(std::move(Reply));
               });
  }

  /// Sends the call on \p Idle or, if it is null, on a new connection.
  void start(PendingCall &C, std::shared_ptr<Connection> Idle) {
    C.Reused_ = Idle != nullptr;
    C.Connection_ = std::move(Idle);
    if (!C.Reused_)
      openConnection(C);
    C.Connection_->send(makeRequest(C.Call_, C.Url_), C.Reply_,
                        [this, &C](ExchangeEnd End) { onEnd(C, End); });
    auto SentAt = C.Connection_->sentAt();
    setLimit(C, SentAt ? sentLimit(C, *SentAt) : unsentLimit(C));
  }

  void openConnection(PendingCall &C) {
    ++C.Reply_.Connections_;
    ++Stats_.Connections_;
    auto New = std::make_shared<Connection>(
        Io_, C.Url_.Peer_,
        [this](const Connection &Ended) { Pool_.remove(Ended); });
    C.Connection_ = New;
    std::error_code Err;
    auto [Host, Port] = detail::splitPeer(C.Url_.Peer_);
    auto Address = asio::ip::make_address(Host, Err);
    if (!Err)
      return New->open(
          {Address, std::uint16_t(std::strtoul(Port.c_str(), nullptr, 10))});
    Resolver_.async_resolve(
        Host, Port,
        [New](std::error_code Failed,
              const asio::ip::tcp::resolver::results_type &Found) {
          // Without an address, the connection fails at once.
          if (New->isOpen())
            New->open(Failed || Found.empty() ? asio::ip::tcp::endpoint()
                                              : Found.begin()->endpoint());
        });
  }

  void onEnd(PendingCall &C, ExchangeEnd End) {
    bool Retry = C.Reused_ && (End == ExchangeEnd::NothingSent ||
                               (End == ExchangeEnd::Lost && mayRepeat(C)));
    if (Retry) {
      C.Reply_ = {};
      C.Repeated_ = End == ExchangeEnd::Lost;
      return start(C, nullptr);
    }
    if (C.Connection_->isOpen())
      keep(C);
    finish(C, statusOf(C, End));
  }

  /// The connection may serve further calls.
  void keep(PendingCall &C) {
    if (C.Call_.Fresh_)
      return C.Connection_->close();
    Pool_.add(C.Connection_);
  }

  /// Whether the request may be sent again although it may have been executed.
  static bool mayRepeat(const PendingCall &C) {
    return C.Call_.Method_ == "GET" &&
           C.Connection_->receivedAt() == Clock::time_point{};
  }

  static ClientStatus statusOf(const PendingCall &C, ExchangeEnd End) {
    switch (End) {
    case ExchangeEnd::Answered:
      return ClientStatus::Answered;
    case ExchangeEnd::NotConnected:
    case ExchangeEnd::NothingSent:
      return C.Repeated_ ? ClientStatus::Lost : ClientStatus::NotSent;
    case ExchangeEnd::Truncated:
      return ClientStatus::Truncated;
    case ExchangeEnd::Lost:
      break;
    }
    return ClientStatus::Lost;
  }

  static const char *messageOf(ClientStatus Status) {
    switch (Status) {
    case ClientStatus::Answered:
      return "";
    case ClientStatus::NotSent:
      return "no connection";
    case ClientStatus::Lost:
      return "the connection broke before the answer";
    case ClientStatus::Truncated:
      return "the connection broke within the answer";
    case ClientStatus::Timeout:
      return "no answer in time";
    }
    return "";
  }

  void finish(PendingCall &C, ClientStatus Status) {
    auto Node = Calls_.extract(C.Position_);
    C.Ended_ = true;
    C.Reply_.Status_ = Status;
    C.Reply_.Message_ = messageOf(Status);
    Stats_.Timeouts_ += Status == ClientStatus::Timeout;
    Stats_.NotSent_ += Status == ClientStatus::NotSent;
    C.Done_(std::move(C.Reply_));
  }

  void setLimit(PendingCall &C, Clock::time_point At) {
    if (C.Position_->first == At)
      return;
    auto Node = Calls_.extract(C.Position_);
    Node.key() = At;
    C.Position_ = Calls_.insert(std::move(Node));
  }

  void armTimer() {
    if (Calls_.empty() || Calls_.begin()->first >= ArmedFor_)
      return;
    ArmedFor_ = Calls_.begin()->first;
    LimitTimer_.expires_at(ArmedFor_);
    LimitTimer_.async_wait(
        [this, Alive = std::weak_ptr<bool>(Alive_)](std::error_code Err) {
          if (!Err && !Alive.expired())
            checkLimits();
        });
  }

  void checkLimits() {
    ArmedFor_ = Clock::time_point::max();
    auto Now = Clock::now();
    while (!Calls_.empty() && Calls_.begin()->first <= Now)
      checkLimit(*std::shared_ptr(Calls_.begin()->second));
    armTimer();
  }

  /// Ends the call with a timeout unless data that has already arrived
  /// completes it or shows that its limit has not expired yet.
  void checkLimit(PendingCall &C) {
    std::shared_ptr<Connection> Used = C.Connection_;
    // A request that is still unsent at its deadline is not sent any more.
    if (Used->sentAt() || Clock::now() < C.DeadlineAt_)
      Used->processPending();
    bool BeganAnew = C.Connection_ != Used;
    if (C.Ended_ || BeganAnew)
      return;
    auto SentAt = Used->sentAt();
    if (SentAt) {
      C.DeadlineAt_ = *SentAt + C.Call_.Timeout_;
      auto Limit = sentLimit(C, *SentAt);
      if (Limit > Clock::now())
        return setLimit(C, Limit);
    }
    Stats_.Unread_ += Used->hasUnreadBytes();
    Used->close();
    bool Sent = SentAt || C.Repeated_;
    finish(C, Sent ? ClientStatus::Timeout : ClientStatus::NotSent);
  }

  asio::io_context &Io_;
  asio::ip::tcp::resolver Resolver_;
  asio::steady_timer LimitTimer_;
  Clock::time_point ArmedFor_ = Clock::time_point::max();
  CallsByLimit Calls_;
  ConnectionPool Pool_;
  ClientStats Stats_;
  /// Expires with the client, so that posted handlers can detect that.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace

std::unique_ptr<Client> makeClient(asio::io_context &Io) {
  return std::make_unique<LoopClient>(Io);
}

} // namespace pollenvale::http
