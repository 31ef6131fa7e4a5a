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

/// The event loop's side of one socket of libcurl.
struct Watch : std::enable_shared_from_this<Watch> {
  Watch(asio::io_context &Io, curl_socket_t Socket)
      : Socket_(Socket), Descriptor_(Io, Socket) {}
  curl_socket_t Socket_;
  asio::posix::stream_descriptor Descriptor_;
  int Wanted_ = 0; ///< CURL_POLL_IN, CURL_POLL_OUT or both.
  bool ReadArmed_ = false;
  bool WriteArmed_ = false;
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
    curl_easy_setopt(T->Easy_, CURLOPT_CLOSESOCKETFUNCTION, onClose);
    curl_easy_setopt(T->Easy_, CURLOPT_CLOSESOCKETDATA, this);
    CURL *Easy = T->Easy_;
    Transfers_[Easy] = std::move(T);
    curl_multi_add_handle(Multi_, Easy);
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
    if ((W->Wanted_ & CURL_POLL_IN) && !W->ReadArmed_) {
      W->ReadArmed_ = true;
      W->Descriptor_.async_wait(asio::posix::stream_descriptor::wait_read,
                                [this, W](std::error_code Err) {
                                  W->ReadArmed_ = false;
                                  onReady(W, CURL_CSELECT_IN, CURL_POLL_IN,
                                          Err);
                                });
    }
    if ((W->Wanted_ & CURL_POLL_OUT) && !W->WriteArmed_) {
      W->WriteArmed_ = true;
      W->Descriptor_.async_wait(asio::posix::stream_descriptor::wait_write,
                                [this, W](std::error_code Err) {
                                  W->WriteArmed_ = false;
                                  onReady(W, CURL_CSELECT_OUT, CURL_POLL_OUT,
                                          Err);
                                });
    }
  }

  void onReady(const std::shared_ptr<Watch> &W, int Event, int Direction,
               std::error_code Err) {
    if (Err || !W->Descriptor_.is_open() || !(W->Wanted_ & Direction))
      return;
    int Active = 0;
    curl_multi_socket_action(Multi_, W->Socket_, Event, &Active);
    finishDone();
    if (W->Descriptor_.is_open())
      arm(W);
  }

  static int onClose(void *User, curl_socket_t Socket) {
    auto *Self = static_cast<LoopClient *>(User);
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
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      CURLcode Code = Message->data.result;
      auto It = Transfers_.find(Message->easy_handle);
      if (It == Transfers_.end())
        continue;
      std::unique_ptr<Transfer> T = std::move(It->second);
      Transfers_.erase(It);
      detail::conclude(*T, Code);
      giveBack(*T);
      // The callback may submit: it must not run inside libcurl's own.
      asio::post(Io_, [T = std::shared_ptr<Transfer>(std::move(T))] {
        T->Done_(std::move(T->Reply_));
      });
    }
  }

  asio::io_context &Io_;
  asio::steady_timer Timer_;
  CURLM *Multi_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> Watches_;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  std::vector<CURL *> Spare_;
};

} // namespace

std::unique_ptr<Client> makeClient(asio::io_context &Io) {
  detail::initializeCurl();
  return std::make_unique<LoopClient>(Io);
}

} // namespace pollenvale::http
