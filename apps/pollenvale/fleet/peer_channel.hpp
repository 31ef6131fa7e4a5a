/// \file
/// Frames between entries, each for one part of the program.
#pragma once

#include "base/base.hpp"
#include "peernet/peernet.hpp"

#include <asio/io_context.hpp>
#include <set>

namespace pollenvale::fleet {

/// The part of the program that a frame is for.
enum class FrameKind : char {
  Advice = 'a',
  Store = 's',
  Start = 'o',
  Redial = 'd'
};

class PeerChannel {
public:
  using OnFrame = std::function<void(const std::string &Body)>;

  PeerChannel(asio::io_context &Io, Counters &Counts)
      : Io_(Io), Counters_(Counts) {}

  /// Listens for other entries on \p Address. Handlers run on the event loop.
  void open(const std::string &Address);
  void subscribe(FrameKind Kind, OnFrame Handle);
  /// False when the frame was dropped. Any frame may be lost.
  bool send(const std::string &Address, FrameKind Kind,
            const std::string &Body);
  /// An answer of the entry at \p Address did not come: both sides open new
  /// connections.
  void suspect(const std::string &Address);

private:
  void onFrame(const std::string &Bytes);

  asio::io_context &Io_;
  Counters &Counters_;
  std::string Self_;
  std::map<char, OnFrame> Handlers_;
  std::set<std::string> Suspects_; ///< To be told to open a new connection.
  std::unique_ptr<peernet::PeerSocket> Socket_;
};

} // namespace pollenvale::fleet
