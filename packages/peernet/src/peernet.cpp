#include "peernet/peernet.hpp"

#include <map>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <stdexcept>
#include <thread>

namespace pollenvale::peernet {

namespace {

constexpr int SendBuffer = 512;
constexpr std::size_t MaxFrameBytes = 4u << 20;
constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 500;

void check(int Code, const std::string &What) {
  if (Code != 0)
    throw std::runtime_error(What + ": " + nng_strerror(Code));
}

class NngSocket : public PeerSocket {
public:
  NngSocket(const std::string &Address, OnBytes Receive)
      : Receive_(std::move(Receive)) {
    check(nng_pull0_open(&Pull_), "peer socket");
    check(nng_socket_set_size(Pull_, NNG_OPT_RECVMAXSZ, MaxFrameBytes),
          "peer socket");
    check(nng_listen(Pull_, ("tcp://" + Address).c_str(), nullptr, 0),
          "peer_address " + Address);
    Thread_ = std::thread([this] { run(); });
  }
  ~NngSocket() override {
    nng_close(Pull_);
    Thread_.join();
    for (auto &[Address, Socket] : Push_)
      nng_close(Socket);
  }
  bool send(const std::string &Address, const std::string &Bytes) override {
    auto It = Push_.find(Address);
    if (It == Push_.end())
      It = Push_.emplace(Address, dial(Address)).first;
    return nng_send(It->second, const_cast<char *>(Bytes.data()), Bytes.size(),
                    NNG_FLAG_NONBLOCK) == 0;
  }

  void redial(const std::string &Address) override {
    auto It = Push_.find(Address);
    if (It == Push_.end())
      return;
    nng_close(It->second);
    Push_.erase(It);
  }

private:
  static nng_socket dial(const std::string &Address) {
    nng_socket Socket;
    check(nng_push0_open(&Socket), "peer socket");
    nng_socket_set_int(Socket, NNG_OPT_SENDBUF, SendBuffer);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    return Socket;
  }

  void run() {
    for (;;) {
      void *Data = nullptr;
      std::size_t Size = 0;
      if (nng_recv(Pull_, &Data, &Size, NNG_FLAG_ALLOC) != 0)
        return;
      Receive_(std::string(static_cast<char *>(Data), Size));
      nng_free(Data, Size);
    }
  }

  OnBytes Receive_;
  nng_socket Pull_ = NNG_SOCKET_INITIALIZER;
  std::map<std::string, nng_socket> Push_;
  std::thread Thread_;
};

} // namespace

std::unique_ptr<PeerSocket> openPeerSocket(const std::string &Address,
                                           OnBytes Receive) {
  return std::make_unique<NngSocket>(Address, std::move(Receive));
}

} // namespace pollenvale::peernet
