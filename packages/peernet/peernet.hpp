/// \file
/// Frames between entries over nng push/pull sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pollenvale::peernet {

/// Bytes received, on the socket's own thread.
using OnBytes = std::function<void(std::string)>;

class PeerSocket {
public:
  virtual ~PeerSocket() = default;
  /// Never blocks. Returns false when the frame was dropped because the peer's
  /// send buffer is full; every message between entries may be lost.
  virtual bool send(const std::string &Address, const std::string &Bytes) = 0;
  /// Closes the connection to \p Address, which may be dead without a sign; the
  /// next frame opens a new one.
  virtual void redial(const std::string &Address) = 0;
};

/// Listens on "host:port". Throws std::runtime_error when it can't.
std::unique_ptr<PeerSocket> openPeerSocket(const std::string &Address,
                                           OnBytes Receive);

} // namespace pollenvale::peernet
