#include "http/detail/transfer.hpp"
#include "http/http.hpp"

#include <asio.hpp>
#include <unordered_map>

namespace pollenvale::http {

namespace {

using detail::Transfer;

/// Connections kept open for later calls.
constexpr long CachedConnections = 512;
/// Handles kept for later calls; making one costs more than resetting it.
constexpr std::size_t SpareHandles = 64;

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
  asio::posix::stream_descriptor Descriptor_;
  int Wanted_ = 0; ///< CURL_POLL_IN, CURL_POLL_OUT or both.
  Direction Read_{CURL_POLL_IN, CURL_CSELECT_IN,
                  asio::posix::stream_descriptor::wait_read};
  Direction Write_{CURL_POLL_OUT, CURL_CSELECT_OUT,
                   asio::posix::stream_descriptor::wait_write};
};

class LoopClient : public Client {
public:
  explicit LoopClient(asio::io_context &Io)
      : Io_(Io), Timer_(Io), Multi_(curl_multi_init()) {
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, CachedConnections);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  }

  ~LoopClient() override {
    Timer_.cancel();
    for (auto &[Easy, T] : Transfers_) {
      curl_multi_remove_handle(Multi_, Easy);
      curl_slist_free_all(T->Headers_);
      curl_easy_cleanup(Easy);
    }
    curl_multi_cleanup(Multi_);
    for (CURL *Easy : Spare_)
      curl_easy_cleanup(Easy);
  }

  LoopClient(const LoopClient &) = delete;
  LoopClient &operator=(const LoopClient &) = delete;

  void submit(ClientCall Call, ClientDone Done) override {
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
    Transfers_[Easy] = std::move(T);
    curl_multi_add_handle(Multi_, Easy);
  }

  ClientStats stats() const override {
    ClientStats Out = Stats_;
    Out.InFlight_ = Transfers_.size();
    return Out;
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

  static int onSocket(CURL *, curl_socket_t Socket, int What, void *User,
                      void *) {
    static_cast<LoopClient *>(User)->watch(Socket, What);
    return 0;
  }

  void watch(curl_socket_t Socket, int What) {
    auto It = Watches_.find(Socket);
    if (What == CURL_POLL_REMOVE) {
      if (It != Watches_.end())
        It->second->Wanted_ = 0;
      return;
    }
    if (It == Watches_.end())
      It = Watches_.emplace(Socket, std::make_shared<Watch>(Io_, Socket)).first;
    It->second->Wanted_ = What;
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
    int Active = 0;
    curl_multi_socket_action(Multi_, W->Socket_, D.Event_, &Active);
    finishDone();
    if (W->Descriptor_.is_open())
      arm(W);
  }

  /// libcurl closes a socket that never got to connect without a word, so the
  /// number of a new one may still be watched.
  static curl_socket_t onOpen(void *User, curlsocktype,
                              curl_sockaddr *Address) {
    curl_socket_t Socket = ::socket(
        Address->family, Address->socktype | SOCK_CLOEXEC, Address->protocol);
    auto *Self = static_cast<LoopClient *>(User);
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
    auto *Self = static_cast<LoopClient *>(User);
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
    auto *Self = static_cast<LoopClient *>(User);
    if (TimeoutMs < 0) {
      Self->Timer_.cancel();
      return 0;
    }
    Self->Timer_.expires_after(std::chrono::milliseconds(TimeoutMs));
    Self->Timer_.async_wait([Self](std::error_code Err) {
      if (Err)
        return;
      int Active = 0;
      curl_multi_socket_action(Self->Multi_, CURL_SOCKET_TIMEOUT, 0, &Active);
      Self->finishDone();
    });
    return 0;
  }

  void finishDone() {
    for (auto &T : detail::takeFinished(Multi_, Transfers_)) {
      giveBack(*T);
      Stats_.Timeouts_ += T->Reply_.Status_ == ClientStatus::Timeout;
      Stats_.NotSent_ += T->Reply_.Status_ == ClientStatus::NotSent;
      // The callback may submit: it must not run inside libcurl's own.
      asio::post(Io_, [Shared = std::shared_ptr<Transfer>(std::move(T))] {
        Shared->Done_(std::move(Shared->Reply_));
      });
    }
  }

  asio::io_context &Io_;
  asio::steady_timer Timer_;
  CURLM *Multi_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> Watches_;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  std::vector<CURL *> Spare_;
  ClientStats Stats_;
};

} // namespace

std::unique_ptr<Client> makeClient(asio::io_context &Io) {
  detail::initializeCurl();
  return std::make_unique<LoopClient>(Io);
}

} // namespace pollenvale::http
