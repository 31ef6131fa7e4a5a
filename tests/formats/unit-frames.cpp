/// Frames between entries. Guards against entries of two builds that misread
/// each other while one replaces the other.
#include "advice/advice.hpp"
#include "delegation/delegation.hpp"
#include "fleet/peer_channel.hpp"
#include "formats/golden.hpp"
#include "peering/peering.hpp"
#include "relay/relay.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using formats::Sample;

namespace {

const AttemptId Attempt{"j-1", 7, "e1.1", 2};
const Resources Size{500, 64, 1};

membership::Heartbeat heartbeat() {
  return {"e1.1",
          "e1",
          "dc0",
          true,
          4,
          9,
          {{"r1", 2, Size, Size, 1}},
          {{"s", 3}},
          {{"t", Size}},
          {"e2.1"},
          11,
          {"w1"},
          5,
          false};
}

std::vector<peering::PeerMessage> peerMessages() {
  using namespace membership;
  using namespace workers;
  using namespace requests;
  return {
      heartbeat(),
      ConfigPull{4},
      ConfigPush{5, "{}"},
      HoldRequest{Attempt,
                  {1, "n", "t", Size, 700, 8, true, true},
                  {{"pool", {"a"}}},
                  true,
                  {"w1"},
                  true},
      HoldReply{Attempt, true, "w1", {{"full", 2}}},
      Commit{Attempt, "w1"},
      Release{Attempt, "w1", "drain"},
      TaskReport{Attempt, "w1", std::uint8_t(AttemptState::Unsettled), "why"},
      TaskAck{Attempt, "w1"},
      LocateRequest{{"w1"}, 9, 300},
      LocateReply{"w1", 9, 300, {{Attempt, "w1", 1, "why"}}},
      SlotRequest{"s", 3, 70'000, {1, 300}, true},
      SlotGrant{"s", "i", "10.0.0.2:80", "dc0", "w1", 300, 70'000, 2'000, true},
      SlotReturn{"i", 300, true, true},
      peering::JobQuery{"j-1", 12},
      peering::JobAnswer{12, "{}"},
      RoomNotice{{{"r1", 2, Size, Size, 1}}},
      HandOverRequest{{"w1"}},
  };
}

} // namespace

Test(formats, frames_of_the_cell) {
  std::vector<Sample> Out;
  for (const peering::PeerMessage &M : peerMessages())
    Out.emplace_back(std::to_string(M.index()),
                     peering::encode({"e1.1", "e2.1", {M}}));
  cr_assert_eq(Out.size(), std::variant_size_v<peering::PeerMessage>);
  formats::compareGolden("formats-cell-frames", Out);
}

Test(formats, frames_of_the_fleet) {
  using fleet::FrameKind;
  std::vector<Sample> Out = {
      {"kinds",
       {char(FrameKind::Advice), char(FrameKind::Store), char(FrameKind::Start),
        char(FrameKind::Redial)}},
      {"advice request", advice::encode(advice::RequestMessage{
                             300, "10.0.0.1:7380", "j.0.1", {"w1"}})},
      {"advice reply", advice::encode(advice::ReplyMessage{
                           300, true, {{"w1", "permit"}}, 2'500})},
      {"store request",
       relay::encode(relay::RequestMessage{300,
                                           "10.0.0.1:7380",
                                           int(relay::CallKind::Newest),
                                           "t",
                                           3,
                                           {{"k", "v", 12}},
                                           900,
                                           "p",
                                           7,
                                           8,
                                           840,
                                           250,
                                           "after",
                                           1'500})},
      {"store request without end",
       relay::encode(relay::RequestMessage{300, "a", 0, "t"})},
      {"store reply",
       relay::encode(relay::ReplyMessage{300,
                                         int(ledger::StoreStatus::Moved),
                                         {{"k", "v", 12}},
                                         1,
                                         2,
                                         3,
                                         4,
                                         true,
                                         2,
                                         "t",
                                         3,
                                         840,
                                         "after"})},
      {"stored records",
       relay::encode(relay::StoredMessage{"t", 3, {{"k", "v", 12}}})},
      {"start request",
       delegation::encode(
           delegation::RequestMessage{"10.0.0.1:7380",
                                      3,
                                      {{300, "j.0.1.2", 4, "w1", "10.0.0.2:80",
                                        9, "cp", "permit", 5'000, 350}}})},
      {"start reply",
       delegation::encode(delegation::ReplyMessage{
           {{300, true, int(scheduler::CallStatus::NoAnswer), 5'000}}})},
  };
  formats::compareGolden("formats-fleet-frames", Out);
}

// Values that frames hold as numbers.
Test(formats, values_in_frames) {
  using ledger::StoreStatus;
  using scheduler::CallStatus;
  using workers::AttemptState;
  std::vector<Sample> Out;
  for (StoreStatus S :
       {StoreStatus::Done, StoreStatus::NotDone, StoreStatus::Unknown,
        StoreStatus::Moved, StoreStatus::Fenced, StoreStatus::OutOfSequence,
        StoreStatus::Forgotten})
    Out.emplace_back("store " + std::to_string(int(S)), ledger::toString(S));
  for (CallStatus S :
       {CallStatus::Done, CallStatus::Fenced, CallStatus::Superseded,
        CallStatus::Late, CallStatus::NoRoom, CallStatus::NoPermit,
        CallStatus::Elsewhere, CallStatus::Unhealthy, CallStatus::Malformed,
        CallStatus::NoAnswer})
    Out.emplace_back("worker " + std::to_string(int(S)),
                     scheduler::toString(S));
  for (AttemptState S :
       {AttemptState::Running, AttemptState::Finished, AttemptState::Failed,
        AttemptState::Stopped, AttemptState::NotRun, AttemptState::Unsettled})
    Out.emplace_back("attempt " + std::to_string(int(S)), workers::toString(S));
  for (relay::CallKind K : {relay::CallKind::Append, relay::CallKind::Read,
                            relay::CallKind::Newest})
    Out.emplace_back("relay", std::to_string(int(K)));
  formats::compareGolden("formats-frame-values", Out);
}
