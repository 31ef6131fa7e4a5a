#include "fleet/peer_channel.hpp"

#include <asio/post.hpp>

namespace pollenvale::fleet {

void PeerChannel::open(const std::string &Address) {
  Self_ = Address;
  Socket_ = peernet::openPeerSocket(Address, [this](std::string Bytes) {
    asio::post(Io_, [this, Bytes = std::move(Bytes)] { onFrame(Bytes); });
  });
}

void PeerChannel::subscribe(FrameKind Kind, OnFrame Handler) {
  Handlers_[char(Kind)] = std::move(Handler);
}

bool PeerChannel::send(const std::string &Address, FrameKind Kind,
                       const std::string &Body) {
  if (RedialPending_.count(Address) &&
      Socket_->send(Address, char(FrameKind::Redial) + Self_))
    RedialPending_.erase(Address);
  if (Socket_->send(Address, char(Kind) + Body))
    return true;
  count(Counters_, "peer-frame-dropped");
  return false;
}

void PeerChannel::suspect(const std::string &Address) {
  count(Counters_, "peer-suspected");
  Socket_->redial(Address);
  RedialPending_.insert(Address);
}

void PeerChannel::onFrame(const std::string &Bytes) {
  if (!Bytes.empty() && Bytes[0] == char(FrameKind::Redial)) {
    Socket_->redial(Bytes.substr(1));
    return;
  }
  auto It = Bytes.empty() ? Handlers_.end() : Handlers_.find(Bytes[0]);
  if (It == Handlers_.end()) {
    count(Counters_, "peer-frame-unreadable");
    return;
  }
  It->second(Bytes.substr(1));
}

} // namespace pollenvale::fleet
