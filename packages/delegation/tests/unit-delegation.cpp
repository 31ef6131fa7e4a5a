/// Delegated starts, which other entries send for the owner of a slice.
#include "delegation/delegation.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::delegation;
using scheduler::CallStatus;

namespace {

constexpr TimePoint T0{std::chrono::seconds(10)};
constexpr std::size_t PayloadBytes = 2'400;

StartCall start(int Worker, std::size_t Bytes = PayloadBytes) {
  StartCall C;
  C.Target_ = {"w" + std::to_string(Worker), "10.0.0.1:80", /*Token_=*/7};
  C.Task_ = *workflow::parseTaskId("5c0e7a21d94b36f8.0.1.17");
  C.Run_ = 2;
  C.Payload_ = std::string(Bytes, 'x');
  C.Checkpoint_ = "saved";
  C.Permit_ = "permit";
  C.Deadline_ = Milliseconds(486'000);
  return C;
}

Pool poolOf(int Peers) {
  Pool P;
  std::vector<std::string> Names;
  for (int I = 0; I < Peers; ++I)
    Names.push_back("entry-" + std::to_string(I));
  setPeers(P, Names);
  return P;
}

} // namespace

// Guards against an owner of 98 workers on a link of 2 Mbit/s sending all
// payloads itself: starts and renewals queued behind payloads until they timed
// out.
Test(delegation, an_owner_does_not_send_all_payloads_over_its_own_link) {
  Pool P = poolOf(15);
  std::map<std::string, int> Sent;
  constexpr int Starts = 150; // In one second.
  for (int I = 0; I < Starts; ++I) {
    StartCall C = start(I % 98);
    std::string Peer = choosePeer(P, C, T0);
    ++Sent[Peer];
    if (Peer.empty())
      beginDirectStart(P, C);
    else
      addPending(P, C, Peer, T0);
  }
  cr_assert_leq(P.DirectBytes_, P.Options_.MaxDirectBytes_);
  cr_assert_eq(Sent.size(), 16u, "the owner and all peers send starts");
  for (const auto &[Peer, Count] : Sent)
    cr_assert_leq(Count, Starts / 5, "%s got %d", Peer.c_str(), Count);
}

Test(delegation, an_owner_with_few_starts_sends_them_itself) {
  Pool P = poolOf(5);
  for (int I = 0; I < 100; ++I) {
    StartCall C = start(I);
    cr_assert_eq(choosePeer(P, C, T0), "");
    beginDirectStart(P, C);
    endDirectStart(P, C);
  }
  cr_assert_eq(P.DirectBytes_, 0u);
  Pool Alone = poolOf(0);
  StartCall Large = start(0, 100'000);
  cr_assert_eq(choosePeer(Alone, Large, T0), "");
}

Test(delegation, the_starts_on_one_worker_go_to_the_same_peer) {
  Pool P = poolOf(15);
  beginDirectStart(P, start(0, P.Options_.MaxDirectBytes_));
  std::string Peer = choosePeer(P, start(3), T0);
  cr_assert_eq(choosePeer(P, start(3), T0 + Milliseconds(5'000)), Peer);
}

Test(delegation, a_peer_that_does_not_reply_is_avoided) {
  Pool P = poolOf(2);
  beginDirectStart(P, start(0, P.Options_.MaxDirectBytes_));
  std::string Peer = choosePeer(P, start(3), T0);
  CallId Id = addPending(P, start(3), Peer, T0);
  TimePoint ExpiresAt = P.InFlight_.at(Id).ExpiresAt_;
  cr_assert(takeExpired(P, ExpiresAt - Milliseconds(1)).empty());
  cr_assert_eq(takeExpired(P, ExpiresAt).at(Id).Call_.Target_.Worker_, "w3");
  cr_assert_neq(choosePeer(P, start(3), ExpiresAt), Peer);
  // Its reply arrives after all, but the start already counts as unanswered.
  cr_assert_not(takePending(P, Id));
}

// Guards against TWICE and LOST: the reply to a start of an earlier process is
// assigned to another start.
Test(peer_replies, starts_of_two_processes_have_different_ids) {
  Pool Before = poolOf(1), After = poolOf(1);
  for (int I = 0; I < 1'000; ++I)
    addPending(After, start(I), "entry-0", T0);
  for (int I = 0; I < 1'000; ++I)
    cr_assert_not(
        takePending(After, addPending(Before, start(I), "entry-0", T0)));
}

Test(delegation, a_peer_sends_the_start_that_the_owner_made) {
  StartCall Made = start(3);
  RequestMessage M{"owner:1", 4, {makeStartRow(9, Made)}};
  Message Read = decode(encode(M));
  const auto &Row = std::get<RequestMessage>(Read).Rows_.at(0);
  auto Call = toStartCall(Row, Made.Payload_);
  cr_assert(Call.has_value());
  cr_assert_eq(Row.Id_, 9u);
  cr_assert(Call->Task_ == Made.Task_);
  cr_assert_eq(Call->Run_, Made.Run_);
  cr_assert_eq(Call->Target_.Worker_, Made.Target_.Worker_);
  cr_assert_eq(Call->Target_.Address_, Made.Target_.Address_);
  cr_assert_eq(Call->Target_.Token_, Made.Target_.Token_);
  cr_assert(Call->Target_.Timeout_ == Made.Target_.Timeout_);
  cr_assert_eq(Call->Payload_, Made.Payload_);
  cr_assert_eq(Call->Checkpoint_, Made.Checkpoint_);
  cr_assert_eq(Call->Permit_, Made.Permit_);
  cr_assert(Call->Deadline_ == Made.Deadline_);
  cr_assert_lt(encode(M).size(), 200u,
               "the payload is not part of the message");
}

Test(delegation, replies_are_read_back) {
  for (CallStatus Status :
       {CallStatus::Done, CallStatus::NoRoom, CallStatus::NoAnswer}) {
    ReplyMessage M{{makeReplyRow(5, {Status, Milliseconds(77)})}};
    Message Read = decode(encode(M));
    const ReplyRow &Row = std::get<ReplyMessage>(Read).Rows_.at(0);
    cr_assert(Row.Sent_);
    cr_assert(toOrderReply(Row).Status_ == Status);
    cr_assert_eq(toOrderReply(Row).Clock_.count(), 77);
  }
  // An unknown status, as of a later release, says nothing about the run.
  cr_assert(toOrderReply({5, true, 99, 0}).Status_ == CallStatus::NoAnswer);
  cr_assert(toOrderReply({5, true, -1, 0}).Status_ == CallStatus::NoAnswer);
  for (const char *Bad : {"", "x", "o\x01", "p"})
    cr_assert(std::holds_alternative<std::monostate>(decode(Bad)));
  StartRow Unreadable;
  Unreadable.Task_ = "no task";
  cr_assert_not(toStartCall(Unreadable, "x"));
}

// Guards against a few peers that send most starts: the ranks of a worker's
// peers are made of hashes of both.
Test(delegation, workers_are_spread_over_the_peers) {
  constexpr int Peers = 100, Workers = 5'000;
  Pool P = poolOf(Peers);
  P.Options_.MaxDirectBytes_ = 0;
  std::map<std::string, int> Sent;
  for (int I = 0; I < Workers; ++I)
    ++Sent[choosePeer(P, start(I), T0)];
  cr_assert_eq(Sent.size(), std::size_t(Peers));
  for (const auto &[Peer, Count] : Sent)
    cr_assert_lt(Count, 2 * Workers / Peers);
}
