/// \file
/// Frames between entries, each addressed to one module of the program.
#pragma once

#include "base/base.hpp"
#include "peernet/peernet.hpp"

#include <asio/io_context.hpp>
#include <set>

namespace pollenvale::fleet {

/// First byte of a frame: the module that handles it.
enum class FrameKind : char {
  Advice = 'a', ///< Calls to the placement policy, see advice::Message.
  Store = 's',  ///< Relayed calls to the store and announced records.
  Start = 'o',  ///< Delegated starts, see delegation::Message.
  Redial = 'd'  ///< Asks the receiver to reconnect to the address in the body.
};

class PeerChannel {
public:
  using OnFrame = std::function<void(const std::string &Body)>;

  PeerChannel(asio::io_context &Io, Counters &Counts)
      : Io_(Io), Counters_(Counts) {}

  /// Listens for frames of other entries on \p Address ("HOST:PORT"). Handlers
  /// run on the event loop.
  void open(const std::string &Address);
  /// Sets the handler of frames of \p Kind.
  void subscribe(FrameKind Kind, OnFrame Handler);
  /// Sends a frame to the entry at \p Address. False when it was dropped; a
  /// frame that was sent may still be lost.
  bool send(const std::string &Address, FrameKind Kind,
            const std::string &Body);
  /// To be called when the entry at \p Address did not answer in time: makes
  /// both sides open new connections.
  void suspect(const std::string &Address);

private:
  void onFrame(const std::string &Bytes);

  asio::io_context &Io_;
  Counters &Counters_;
  std::string Self_;                 ///< Address of this entry.
  std::map<char, OnFrame> Handlers_; ///< By FrameKind.
  /// Addresses of entries that still have to be asked to reconnect.
  std::set<std::string> RedialPending_;
  std::unique_ptr<peernet::PeerSocket> Socket_;
};

} // namespace pollenvale::fleet
