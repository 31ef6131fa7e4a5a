#include "peernet/peernet.hpp"

#include <map>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <stdexcept>
#include <thread>

namespace pollenvale::peernet {

namespace {

/// Frames queued for one peer.
constexpr int SendBufferFrames = 512;
/// nng rejects larger frames on receipt.
constexpr std::size_t MaxFrameBytes = 4u << 20;
/// Delays between attempts to connect to a peer; nng increases the delay from
/// the minimum to the maximum.
constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 500;

/// Throws std::runtime_error if \p Code, a result of nng, is an error.
void throwOnError(int Code, const std::string &Context) {
  if (Code != 0)
    throw std::runtime_error(Context + ": " + nng_strerror(Code));
}

class NngSocket : public PeerSocket {
public:
  NngSocket(const std::string &Address, OnBytes OnFrame)
      : OnFrame_(std::move(OnFrame)) {
    throwOnError(nng_pull0_open(&PullSocket_), "peer socket");
    throwOnError(
        nng_socket_set_size(PullSocket_, NNG_OPT_RECVMAXSZ, MaxFrameBytes),
        "peer socket");
    throwOnError(
        nng_listen(PullSocket_, ("tcp://" + Address).c_str(), nullptr, 0),
        "peer_address " + Address);
    Thread_ = std::thread([this] { receiveFrames(); });
  }
  ~NngSocket() override {
    nng_close(PullSocket_);
    Thread_.join();
    for (auto &[Address, Socket] : PushSockets_)
      nng_close(Socket);
  }
  bool send(const std::string &Address, const std::string &Bytes) override {
    auto It = PushSockets_.find(Address);
    if (It == PushSockets_.end())
      It = PushSockets_.emplace(Address, dial(Address)).first;
    return nng_send(It->second, const_cast<char *>(Bytes.data()), Bytes.size(),
                    NNG_FLAG_NONBLOCK) == 0;
  }

  void redial(const std::string &Address) override {
    auto It = PushSockets_.find(Address);
    if (It == PushSockets_.end())
      return;
    nng_close(It->second);
    PushSockets_.erase(It);
  }

private:
  static nng_socket dial(const std::string &Address) {
    nng_socket Socket;
    throwOnError(nng_push0_open(&Socket), "peer socket");
    nng_socket_set_int(Socket, NNG_OPT_SENDBUF, SendBufferFrames);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    return Socket;
  }

  void receiveFrames() {
    for (;;) {
      void *Data = nullptr;
      std::size_t Size = 0;
      if (nng_recv(PullSocket_, &Data, &Size, NNG_FLAG_ALLOC) != 0)
        return;
      OnFrame_(std::string(static_cast<char *>(Data), Size));
      nng_free(Data, Size);
    }
  }

  OnBytes OnFrame_;
  nng_socket PullSocket_ = NNG_SOCKET_INITIALIZER;
  std::map<std::string, nng_socket> PushSockets_; ///< By address of the peer.
  std::thread Thread_;
};

} // namespace

std::unique_ptr<PeerSocket> openPeerSocket(const std::string &Address,
                                           OnBytes OnFrame) {
  return std::make_unique<NngSocket>(Address, std::move(OnFrame));
}

} // namespace pollenvale::peernet
