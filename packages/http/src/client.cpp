#include "http/detail/transfer.hpp"
#include "http/http.hpp"

#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace pollenvale::http {

namespace {

using detail::Transfer;

/// Runs all calls on one thread.
class CurlClient : public Client {
public:
  CurlClient() : Multi_(curl_multi_init()) {
    constexpr long CachedConnections = 256;
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, CachedConnections);
    Thread_ = std::thread([this] { run(); });
  }
  ~CurlClient() override {
    {
      std::lock_guard Lock(Mutex_);
      StopRequested_ = true;
    }
    curl_multi_wakeup(Multi_);
    Thread_.join();
    for (auto &[Easy, T] : Transfers_)
      releaseHandle(*T);
    curl_multi_cleanup(Multi_);
  }
  void submit(ClientCall Call, ClientDone Done) override {
    auto T = std::make_unique<Transfer>();
    T->Call_ = std::move(Call);
    T->Done_ = std::move(Done);
    {
      std::lock_guard Lock(Mutex_);
      Submitted_.push_back(std::move(T));
    }
    curl_multi_wakeup(Multi_);
  }

private:
  void run() {
    constexpr int PollMs = 1'000;
    for (;;) {
      if (!startSubmitted())
        return;
      int Active = 0;
      curl_multi_perform(Multi_, &Active);
      finishCompleted();
      curl_multi_poll(Multi_, nullptr, 0, PollMs, nullptr);
    }
  }

  bool startSubmitted() {
    std::deque<std::unique_ptr<Transfer>> Batch;
    {
      std::lock_guard Lock(Mutex_);
      if (StopRequested_)
        return false;
      Batch.swap(Submitted_);
    }
    for (auto &T : Batch)
      start(std::move(T));
    return true;
  }

  void start(std::unique_ptr<Transfer> T) {
    CURL *Easy = T->Easy_ = curl_easy_init();
    detail::setOptions(*T);
    detail::setLibraryTimeouts(*T);
    curl_multi_add_handle(Multi_, Easy);
    Transfers_[Easy] = std::move(T);
  }

  void finishCompleted() {
    for (auto &T : detail::takeFinished(Multi_, Transfers_)) {
      releaseHandle(*T);
      T->Done_(std::move(T->Reply_));
    }
  }

  void releaseHandle(Transfer &T) {
    curl_multi_remove_handle(Multi_, T.Easy_);
    curl_easy_cleanup(T.Easy_);
    curl_slist_free_all(T.Headers_);
  }

  CURLM *Multi_;
  std::mutex Mutex_;
  std::deque<std::unique_ptr<Transfer>> Submitted_;
  std::map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  bool StopRequested_ = false;
  std::thread Thread_;
};

} // namespace

std::unique_ptr<Client> makeClient() {
  detail::initializeCurl();
  return std::make_unique<CurlClient>();
}

ClientReply callAndWait(Client &C, ClientCall Call) {
  std::promise<ClientReply> Promise;
  C.submit(std::move(Call),
           [&](ClientReply R) { Promise.set_value(std::move(R)); });
  return Promise.get_future().get();
}

} // namespace pollenvale::http
