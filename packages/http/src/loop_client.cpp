#include "http/detail/transfer.hpp"
#include "http/http.hpp"

#include <asio.hpp>
#include <poll.h>
#include <set>
#include <unordered_map>

namespace pollenvale::http {

namespace {

using detail::Transfer;

/// Peers are divided into groups with separate connection caches, because
/// libcurl scans its whole connection cache after each call.
constexpr std::size_t GroupCount = 16;
/// Idle connections that a group keeps open for reuse.
constexpr long MaxIdleConnections = 150;
/// Handles that a group keeps for reuse; creating one costs more than resetting
/// one.
constexpr std::size_t MaxSpareHandles = 64;

/// Limit on reads (16 KB each) of an answer after its deadline.
constexpr int MaxOverdueReads = 1'000;

/// Readiness for reading or for writing, in the terms of libcurl and of asio.
struct Direction {
  int PollFlag_;   ///< Flag in libcurl's request.
  int SelectFlag_; ///< Flag reported to libcurl.
  asio::posix::stream_descriptor::wait_type WaitType_;
  bool Armed_ = false; ///< An asynchronous wait is pending.
};

/// Watches one of libcurl's sockets on the event loop.
struct Watch : std::enable_shared_from_this<Watch> {
  Watch(asio::io_context &Io, curl_socket_t Socket)
      : Socket_(Socket), Descriptor_(Io, Socket) {}
  curl_socket_t Socket_;
  CURL *Easy_ = nullptr; ///< Handle of the last call on the socket.
  asio::posix::stream_descriptor Descriptor_;
  int PollFlags_ = 0; ///< CURL_POLL_IN, CURL_POLL_OUT or both.
  Direction Read_{CURL_POLL_IN, CURL_CSELECT_IN,
                  asio::posix::stream_descriptor::wait_read};
  Direction Write_{CURL_POLL_OUT, CURL_CSELECT_OUT,
                   asio::posix::stream_descriptor::wait_write};
};

using Watches = std::unordered_map<curl_socket_t, std::shared_ptr<Watch>>;

/// Calls to a subset of the peers, with a separate connection cache.
class Group {
public:
  /// \p AllWatches: shared by all groups.
  Group(asio::io_context &Io, Watches &AllWatches)
      : Io_(Io), Timer_(Io), DeadlineTimer_(Io), Multi_(curl_multi_init()),
        Watches_(AllWatches) {
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  }

  ~Group() {
    Timer_.cancel();
    DeadlineTimer_.cancel();
    for (auto &[Easy, T] : Transfers_) {
      curl_multi_remove_handle(Multi_, Easy);
      curl_slist_free_all(T->Headers_);
      curl_easy_cleanup(Easy);
    }
    curl_multi_cleanup(Multi_);
    for (CURL *Easy : SpareHandles_)
      curl_easy_cleanup(Easy);
  }

  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;

  void submit(ClientCall Call, ClientDone Done) {
    auto T = std::make_unique<Transfer>();
    T->Call_ = std::move(Call);
    T->Done_ = std::move(Done);
    T->Easy_ = takeHandle();
    detail::setOptions(*T);
    curl_easy_setopt(T->Easy_, CURLOPT_OPENSOCKETFUNCTION, onOpen);
    curl_easy_setopt(T->Easy_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(T->Easy_, CURLOPT_CLOSESOCKETFUNCTION, onClose);
    curl_easy_setopt(T->Easy_, CURLOPT_CLOSESOCKETDATA, this);
    CURL *Easy = T->Easy_;
    setDeadlines(*T);
    Transfers_[Easy] = std::move(T);
    curl_multi_add_handle(Multi_, Easy);
    // Sends immediately: on a delayed loop, a posted action would reduce the
    // time that the peer has to answer.
    runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    armDeadline();
  }

  void addStats(ClientStats &Total) const {
    Total.InFlight_ += Transfers_.size();
    Total.Timeouts_ += Stats_.Timeouts_;
    Total.NotSent_ += Stats_.NotSent_;
    Total.Connections_ += Stats_.Connections_;
    Total.Unread_ += Stats_.Unread_;
  }

private:
  using Clock = std::chrono::steady_clock;

  CURL *takeHandle() {
    if (SpareHandles_.empty())
      return curl_easy_init();
    CURL *Easy = SpareHandles_.back();
    SpareHandles_.pop_back();
    return Easy;
  }

  void recycleHandle(Transfer &T) {
    curl_multi_remove_handle(Multi_, T.Easy_);
    curl_slist_free_all(T.Headers_);
    if (SpareHandles_.size() >= MaxSpareHandles) {
      curl_easy_cleanup(T.Easy_);
      return;
    }
    curl_easy_reset(T.Easy_);
    SpareHandles_.push_back(T.Easy_);
  }

  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *User,
                      void *) {
    auto *Self = static_cast<Group *>(User);
    auto It = Self->Transfers_.find(Easy);
    if (It != Self->Transfers_.end() && What != CURL_POLL_REMOVE)
      It->second->Socket_ = Socket;
    Self->watch(Easy, Socket, What);
    return 0;
  }

  void watch(CURL *Easy, curl_socket_t Socket, int What) {
    auto It = Watches_.find(Socket);
    if (What == CURL_POLL_REMOVE) {
      if (It != Watches_.end())
        It->second->PollFlags_ = 0;
      return;
    }
    if (It == Watches_.end())
      It = Watches_.emplace(Socket, std::make_shared<Watch>(Io_, Socket)).first;
    It->second->PollFlags_ = What;
    It->second->Easy_ = Easy;
    arm(It->second);
  }

  void arm(const std::shared_ptr<Watch> &W) {
    for (Direction *D : {&W->Read_, &W->Write_})
      if ((W->PollFlags_ & D->PollFlag_) && !D->Armed_)
        arm(W, *D);
  }

  void arm(const std::shared_ptr<Watch> &W, Direction &D) {
    D.Armed_ = true;
    W->Descriptor_.async_wait(D.WaitType_, [this, W, &D](std::error_code Err) {
      D.Armed_ = false;
      onReady(W, D, Err);
    });
  }

  void onReady(const std::shared_ptr<Watch> &W, const Direction &D,
               std::error_code Err) {
    if (Err || !W->Descriptor_.is_open() || !(W->PollFlags_ & D.PollFlag_))
      return;
    runSocketAction(W->Socket_, D.SelectFlag_);
    if (W->Descriptor_.is_open())
      arm(W);
  }

  /// Opens a socket and discards a stale watch on its descriptor: libcurl does
  /// not call onClose for a socket whose connection attempt failed.
  static curl_socket_t onOpen(void *User, curlsocktype,
                              curl_sockaddr *Address) {
    curl_socket_t Socket = ::socket(
        Address->family, Address->socktype | SOCK_CLOEXEC, Address->protocol);
    auto *Self = static_cast<Group *>(User);
    Self->discardWatch(Socket);
    ++Self->Stats_.Connections_;
    return Socket;
  }

  void discardWatch(curl_socket_t Socket) {
    auto It = Watches_.find(Socket);
    if (It == Watches_.end())
      return;
    It->second->PollFlags_ = 0;
    It->second->Descriptor_.release();
    Watches_.erase(It);
  }

  static int onClose(void *User, curl_socket_t Socket) {
    auto *Self = static_cast<Group *>(User);
    char Byte;
    if (::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
      ++Self->Stats_.Unread_;
    auto It = Self->Watches_.find(Socket);
    if (It == Self->Watches_.end())
      return ::close(Socket);
    std::error_code Ignored;
    It->second->Descriptor_.close(Ignored);
    Self->Watches_.erase(It);
    return 0;
  }

  static int onTimer(CURLM *, long TimeoutMs, void *User) {
    auto *Self = static_cast<Group *>(User);
    if (TimeoutMs <= 0)
      Self->Timer_.cancel();
    if (TimeoutMs == 0)
      Self->postSocketAction();
    if (TimeoutMs <= 0)
      return 0;
    Self->Timer_.expires_after(std::chrono::milliseconds(TimeoutMs));
    Self->Timer_.async_wait([Self](std::error_code Err) {
      if (!Err)
        Self->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }

  /// Posts one socket action for all calls submitted in one iteration of the
  /// loop.
  void postSocketAction() {
    if (SocketActionPosted_)
      return;
    SocketActionPosted_ = true;
    asio::post(Io_, [this, Alive = std::weak_ptr<bool>(Alive_)] {
      if (Alive.expired())
        return;
      SocketActionPosted_ = false;
      runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void runSocketAction(curl_socket_t Socket, int Event) {
    int Active = 0;
    curl_multi_socket_action(Multi_, Socket, Event, &Active);
    finishCompleted();
  }

  // libcurl's timeouts are not used: it checks the clock before it reads, so a
  // delayed process would lose answers that have already arrived.

  void setDeadlines(Transfer &T) {
    auto Now = Clock::now();
    T.SubmittedAt_ = Now;
    T.DeadlineAt_ = T.NextLimitAt_ = Now + T.Call_.Timeout_;
    if (T.Call_.ConnectTimeout_.count() > 0)
      T.NextLimitAt_ = std::min(T.DeadlineAt_, Now + T.Call_.ConnectTimeout_);
    else if (T.Call_.SilenceTimeout_.count() > 0)
      T.NextLimitAt_ = std::min(T.DeadlineAt_, Now + T.Call_.SilenceTimeout_);
    Deadlines_.emplace(T.NextLimitAt_, T.Easy_);
  }

  /// When a sent call ends unless bytes of the answer arrive first.
  static Clock::time_point limitOf(const Transfer &T,
                                   Clock::time_point SentAt) {
    if (T.Call_.SilenceTimeout_.count() == 0)
      return T.DeadlineAt_;
    return std::min(T.DeadlineAt_,
                    std::max(SentAt, T.ReceivedAt_) + T.Call_.SilenceTimeout_);
  }

  void armDeadline() {
    if (Deadlines_.empty() || Deadlines_.begin()->first >= DeadlineArmedFor_)
      return;
    DeadlineArmedFor_ = Deadlines_.begin()->first;
    DeadlineTimer_.expires_at(DeadlineArmedFor_);
    DeadlineTimer_.async_wait([this](std::error_code Err) {
      if (!Err)
        checkDeadlines();
    });
  }

  void checkDeadlines() {
    DeadlineArmedFor_ = Clock::time_point::max();
    auto Now = Clock::now();
    while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now)
      expire(Deadlines_.begin()->second);
    armDeadline();
  }

  /// Ends the call with a timeout unless data that has already arrived
  /// completes it or shows that its limit has not expired yet.
  void expire(CURL *Easy) {
    auto It = Transfers_.find(Easy);
    // A request that is still unsent at its deadline is not sent any more.
    if (It != Transfers_.end() &&
        (detail::isSent(*It->second) || Clock::now() < It->second->DeadlineAt_))
      processPendingEvents(Easy);
    It = Transfers_.find(Easy);
    if (It == Transfers_.end())
      return;
    std::unique_ptr<Transfer> &T = It->second;
    Deadlines_.erase({T->NextLimitAt_, Easy});
    auto SentAt = detail::sentAt(*T);
    if (SentAt)
      T->DeadlineAt_ = *SentAt + T->Call_.Timeout_;
    if (SentAt && limitOf(*T, *SentAt) > Clock::now()) {
      T->NextLimitAt_ = limitOf(*T, *SentAt);
      Deadlines_.emplace(T->NextLimitAt_, Easy);
      return;
    }
    std::unique_ptr<Transfer> Expired = std::move(T);
    Transfers_.erase(It);
    detail::fillReply(*Expired, CURLE_OPERATION_TIMEDOUT);
    curl_socket_t Socket = Expired->Socket_;
    finish(std::move(Expired));
    auto Watched = Watches_.find(Socket);
    if (Watched != Watches_.end() && Watched->second->Easy_ == Easy)
      discardWatch(Socket);
  }

  /// Lets libcurl process the events pending on the call's socket.
  void processPendingEvents(CURL *Easy) {
    for (int I = 0; I < MaxOverdueReads; ++I) {
      auto It = Transfers_.find(Easy);
      if (It == Transfers_.end() || It->second->Socket_ == CURL_SOCKET_BAD)
        return;
      bool Sent = detail::sentAt(*It->second).has_value();
      pollfd P{It->second->Socket_, short(Sent ? POLLIN : POLLOUT), 0};
      if (::poll(&P, 1, 0) <= 0)
        return;
      runSocketAction(P.fd, Sent ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
    }
  }

  void finishCompleted() {
    for (auto &T : detail::takeFinished(Multi_, Transfers_)) {
      Deadlines_.erase({T->NextLimitAt_, T->Easy_});
      finish(std::move(T));
    }
  }

  void finish(std::unique_ptr<Transfer> T) {
    recycleHandle(*T);
    Stats_.Timeouts_ += T->Reply_.Status_ == ClientStatus::Timeout;
    Stats_.NotSent_ += T->Reply_.Status_ == ClientStatus::NotSent;
    // The callback may call submit(), so it must not run inside a callback of
    // libcurl.
    asio::post(Io_, [Shared = std::shared_ptr<Transfer>(std::move(T))] {
      Shared->Done_(std::move(Shared->Reply_));
    });
  }

  asio::io_context &Io_;
  asio::steady_timer Timer_; ///< Set by libcurl.
  asio::steady_timer DeadlineTimer_;
  Clock::time_point DeadlineArmedFor_ = Clock::time_point::max();
  CURLM *Multi_;
  Watches &Watches_;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  /// Next limit of each call in progress.
  std::set<std::pair<Clock::time_point, CURL *>> Deadlines_;
  std::vector<CURL *> SpareHandles_;
  ClientStats Stats_;
  bool SocketActionPosted_ = false;
  /// Expires with the group, so that posted handlers can detect that.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

/// Distributes calls to groups by peer.
class LoopClient : public Client {
public:
  explicit LoopClient(asio::io_context &Io) {
    for (std::size_t I = 0; I < GroupCount; ++I)
      Groups_.push_back(std::make_unique<Group>(Io, Watches_));
  }

  void submit(ClientCall Call, ClientDone Done) override {
    Group &G = *Groups_[std::hash<std::string_view>()(peerOf(Call.Url_)) %
                        Groups_.size()];
    G.submit(std::move(Call), std::move(Done));
  }

  ClientStats stats() const override {
    ClientStats Total;
    for (const auto &G : Groups_)
      G->addStats(Total);
    return Total;
  }

private:
  /// "http://HOST:PORT" of \p Url.
  static std::string_view peerOf(std::string_view Url) {
    constexpr std::size_t SchemeBytes = 8;
    return Url.substr(0, Url.find_first_of("/?", SchemeBytes));
  }

  Watches Watches_;
  std::vector<std::unique_ptr<Group>> Groups_;
};

} // namespace

std::unique_ptr<Client> makeClient(asio::io_context &Io) {
  detail::initializeCurl();
  return std::make_unique<LoopClient>(Io);
}

} // namespace pollenvale::http
