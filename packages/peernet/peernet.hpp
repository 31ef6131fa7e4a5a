/// \file
/// Transport of frames between entries over nng push/pull sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pollenvale::peernet {

/// Receives the bytes of one frame. Called on the socket's own thread.
using OnBytes = std::function<void(std::string)>;

/// Receives frames from all peers and sends frames to any of them. Delivery is
/// not guaranteed: a frame may be lost without notice.
class PeerSocket {
public:
  virtual ~PeerSocket() = default;
  /// Queues a frame for the peer at \p Address ("host:port"). Never blocks.
  /// Returns false if the frame was dropped because the peer's send buffer is
  /// full. Throws std::runtime_error when no socket can be opened.
  virtual bool send(const std::string &Address, const std::string &Bytes) = 0;
  /// Closes the connection to \p Address, so that the next frame opens a new
  /// one. A broken connection is not always detected.
  virtual void redial(const std::string &Address) = 0;
};

/// Listens on \p Address ("host:port"). Throws std::runtime_error when that
/// fails.
std::unique_ptr<PeerSocket> openPeerSocket(const std::string &Address,
                                           OnBytes Receive);

} // namespace pollenvale::peernet
