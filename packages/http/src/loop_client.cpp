#include "http/detail/transfer.hpp"
#include "http/http.hpp"

#include <asio.hpp>
#include <poll.h>
#include <set>
#include <unordered_map>

namespace pollenvale::http {

namespace {

using detail::Transfer;

/// libcurl looks at every connection that it keeps after each call, so they are
/// divided by peer.
constexpr std::size_t Groups = 16;
/// Connections of a group kept open for later calls.
constexpr long CachedConnections = 150;
/// Handles of a group kept for later calls; making one costs more than
/// resetting it.
constexpr std::size_t SpareHandles = 64;

/// Reads of 16 KB in which an overdue answer must be complete.
constexpr int MaxOverdueReads = 1'000;

/// One way of waiting for a socket.
struct Direction {
  int Poll_;  ///< What libcurl asks for.
  int Event_; ///< What it is told.
  asio::posix::stream_descriptor::wait_type Wait_;
  bool Armed_ = false;
};

/// The event loop's side of one socket of libcurl.
struct Watch : std::enable_shared_from_this<Watch> {
  Watch(asio::io_context &Io, curl_socket_t Socket)
      : Socket_(Socket), Descriptor_(Io, Socket) {}
  curl_socket_t Socket_;
  CURL *User_ = nullptr; ///< The call that watches it.
  asio::posix::stream_descriptor Descriptor_;
  int Wanted_ = 0; ///< CURL_POLL_IN, CURL_POLL_OUT or both.
  Direction Read_{CURL_POLL_IN, CURL_CSELECT_IN,
                  asio::posix::stream_descriptor::wait_read};
  Direction Write_{CURL_POLL_OUT, CURL_CSELECT_OUT,
                   asio::posix::stream_descriptor::wait_write};
};

using Watches = std::unordered_map<curl_socket_t, std::shared_ptr<Watch>>;

/// Calls to a part of the peers, over connections of their own.
class Group {
public:
  /// \p All: sockets of all groups.
  Group(asio::io_context &Io, Watches &All)
      : Io_(Io), Timer_(Io), DeadlineTimer_(Io), Multi_(curl_multi_init()),
        Watches_(All) {
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, CachedConnections);
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
    for (CURL *Easy : Spare_)
      curl_easy_cleanup(Easy);
  }

  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;

  void submit(ClientCall Call, ClientDone Done) {
    auto T = std::make_unique<Transfer>();
    T->Call_ = std::move(Call);
    T->Done_ = std::move(Done);
    T->Easy_ = takeHandle();
    detail::prepare(*T);
    curl_easy_setopt(T->Easy_, CURLOPT_OPENSOCKETFUNCTION, onOpen);
    curl_easy_setopt(T->Easy_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(T->Easy_, CURLOPT_CLOSESOCKETFUNCTION, onClose);
    curl_easy_setopt(T->Easy_, CURLOPT_CLOSESOCKETDATA, this);
    CURL *Easy = T->Easy_;
    setDeadlines(*T);
    Transfers_[Easy] = std::move(T);
    curl_multi_add_handle(Multi_, Easy);
    // At once, so that a late loop doesn't use up the peer's time.
    step(CURL_SOCKET_TIMEOUT, 0);
    armDeadline();
  }

  void addStats(ClientStats &All) const {
    All.InFlight_ += Transfers_.size();
    All.Timeouts_ += Stats_.Timeouts_;
    All.NotSent_ += Stats_.NotSent_;
    All.Connections_ += Stats_.Connections_;
    All.Unread_ += Stats_.Unread_;
  }

private:
  CURL *takeHandle() {
    if (Spare_.empty())
      return curl_easy_init();
    CURL *Easy = Spare_.back();
    Spare_.pop_back();
    return Easy;
  }

  void giveBack(Transfer &T) {
    curl_multi_remove_handle(Multi_, T.Easy_);
    curl_slist_free_all(T.Headers_);
    if (Spare_.size() >= SpareHandles) {
      curl_easy_cleanup(T.Easy_);
      return;
    }
    curl_easy_reset(T.Easy_);
    Spare_.push_back(T.Easy_);
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
        It->second->Wanted_ = 0;
      return;
    }
    if (It == Watches_.end())
      It = Watches_.emplace(Socket, std::make_shared<Watch>(Io_, Socket)).first;
    It->second->Wanted_ = What;
    It->second->User_ = Easy;
    arm(It->second);
  }

  void arm(const std::shared_ptr<Watch> &W) {
    for (Direction *D : {&W->Read_, &W->Write_})
      if ((W->Wanted_ & D->Poll_) && !D->Armed_)
        arm(W, *D);
  }

  void arm(const std::shared_ptr<Watch> &W, Direction &D) {
    D.Armed_ = true;
    W->Descriptor_.async_wait(D.Wait_, [this, W, &D](std::error_code Err) {
      D.Armed_ = false;
      onReady(W, D, Err);
    });
  }

  void onReady(const std::shared_ptr<Watch> &W, const Direction &D,
               std::error_code Err) {
    if (Err || !W->Descriptor_.is_open() || !(W->Wanted_ & D.Poll_))
      return;
    step(W->Socket_, D.Event_);
    if (W->Descriptor_.is_open())
      arm(W);
  }

  /// libcurl closes a socket that never got to connect without a word, so the
  /// number of a new one may still be watched.
  static curl_socket_t onOpen(void *User, curlsocktype,
                              curl_sockaddr *Address) {
    curl_socket_t Socket = ::socket(
        Address->family, Address->socktype | SOCK_CLOEXEC, Address->protocol);
    auto *Self = static_cast<Group *>(User);
    Self->forget(Socket);
    ++Self->Stats_.Connections_;
    return Socket;
  }

  void forget(curl_socket_t Socket) {
    auto It = Watches_.find(Socket);
    if (It == Watches_.end())
      return;
    It->second->Wanted_ = 0;
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
      Self->postStep();
    if (TimeoutMs <= 0)
      return 0;
    Self->Timer_.expires_after(std::chrono::milliseconds(TimeoutMs));
    Self->Timer_.async_wait([Self](std::error_code Err) {
      if (!Err)
        Self->step(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }

  /// New calls of one turn of the loop share one step.
  void postStep() {
    if (StepPosted_)
      return;
    StepPosted_ = true;
    asio::post(Io_, [this, Alive = std::weak_ptr<bool>(Alive_)] {
      if (Alive.expired())
        return;
      StepPosted_ = false;
      step(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void step(curl_socket_t Socket, int Event) {
    int Active = 0;
    curl_multi_socket_action(Multi_, Socket, Event, &Active);
    finishDone();
  }

  // libcurl's own limits are not used: it looks at the clock before it reads,
  // so a late process would lose answers that have arrived.

  void setDeadlines(Transfer &T) {
    auto Now = Clock::now();
    T.SubmittedAt_ = Now;
    T.EndAt_ = T.DueAt_ = Now + T.Call_.Timeout_;
    if (T.Call_.ConnectTimeout_.count() > 0)
      T.DueAt_ = std::min(T.EndAt_, Now + T.Call_.ConnectTimeout_);
    Deadlines_.emplace(T.DueAt_, T.Easy_);
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

  /// Gives the call up unless what has arrived takes it further.
  void expire(CURL *Easy) {
    auto It = Transfers_.find(Easy);
    // A request that has not been sent by its end is not sent any more.
    if (It != Transfers_.end() &&
        (detail::isSent(*It->second) || Clock::now() < It->second->EndAt_))
      catchUp(Easy);
    It = Transfers_.find(Easy);
    if (It == Transfers_.end())
      return;
    std::unique_ptr<Transfer> &T = It->second;
    Deadlines_.erase({T->DueAt_, Easy});
    auto SentAt = detail::sentAt(*T);
    if (SentAt)
      T->EndAt_ = *SentAt + T->Call_.Timeout_;
    if (SentAt && T->EndAt_ > Clock::now()) {
      T->DueAt_ = T->EndAt_;
      Deadlines_.emplace(T->DueAt_, Easy);
      return;
    }
    std::unique_ptr<Transfer> Over = std::move(T);
    Transfers_.erase(It);
    detail::conclude(*Over, CURLE_OPERATION_TIMEDOUT);
    curl_socket_t Socket = Over->Socket_;
    finish(std::move(Over));
    auto Watched = Watches_.find(Socket);
    if (Watched != Watches_.end() && Watched->second->User_ == Easy)
      forget(Socket);
  }

  /// Lets libcurl handle what has happened at the call's socket by now.
  void catchUp(CURL *Easy) {
    for (int I = 0; I < MaxOverdueReads; ++I) {
      auto It = Transfers_.find(Easy);
      if (It == Transfers_.end() || It->second->Socket_ == CURL_SOCKET_BAD)
        return;
      bool Sent = detail::sentAt(*It->second).has_value();
      pollfd P{It->second->Socket_, short(Sent ? POLLIN : POLLOUT), 0};
      if (::poll(&P, 1, 0) <= 0)
        return;
      step(P.fd, Sent ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
    }
  }

  void finishDone() {
    for (auto &T : detail::takeFinished(Multi_, Transfers_)) {
      Deadlines_.erase({T->DueAt_, T->Easy_});
      finish(std::move(T));
    }
  }

  void finish(std::unique_ptr<Transfer> T) {
    giveBack(*T);
    Stats_.Timeouts_ += T->Reply_.Status_ == ClientStatus::Timeout;
    Stats_.NotSent_ += T->Reply_.Status_ == ClientStatus::NotSent;
    // The callback may submit: it must not run inside libcurl's own.
    asio::post(Io_, [Shared = std::shared_ptr<Transfer>(std::move(T))] {
      Shared->Done_(std::move(Shared->Reply_));
    });
  }

  using Clock = std::chrono::steady_clock;

  asio::io_context &Io_;
  asio::steady_timer Timer_; ///< libcurl's.
  asio::steady_timer DeadlineTimer_;
  Clock::time_point DeadlineArmedFor_ = Clock::time_point::max();
  CURLM *Multi_;
  Watches &Watches_;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  /// Next limit of each open call.
  std::set<std::pair<Clock::time_point, CURL *>> Deadlines_;
  std::vector<CURL *> Spare_;
  ClientStats Stats_;
  bool StepPosted_ = false;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

class LoopClient : public Client {
public:
  explicit LoopClient(asio::io_context &Io) {
    for (std::size_t I = 0; I < Groups; ++I)
      Groups_.push_back(std::make_unique<Group>(Io, Watches_));
  }

  void submit(ClientCall Call, ClientDone Done) override {
    Group &G = *Groups_[std::hash<std::string_view>()(peerOf(Call.Url_)) %
                        Groups_.size()];
    G.submit(std::move(Call), std::move(Done));
  }

  ClientStats stats() const override {
    ClientStats All;
    for (const auto &G : Groups_)
      G->addStats(All);
    return All;
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
