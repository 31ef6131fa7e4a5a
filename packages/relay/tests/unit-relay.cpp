/// Calls to the store through other entries, while the store refuses or does
/// not answer those of some entries.
#include "relay/relay.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::relay;
using namespace pollenvale::ledger;

namespace {

enum class Behaviour { Serves, Refuses, Silent, LosesAnswers };

struct Cell;

/// The store as it behaves towards one entry.
struct EntryStore : Store {
  Cell &Cell_;
  Behaviour Behaviour_ = Behaviour::Serves;
  unsigned Appends_ = 0;
  std::vector<std::function<void()>> Held_; ///< Ends of silent calls.
  explicit EntryStore(Cell &C) : Cell_(C) {}

  void append(AppendCall Call, ReplyHandler<AppendReply> Done) override;
  void read(ReadCall Call, ReplyHandler<ReadReply> Done) override;
  void readNewest(NewestCall, ReplyHandler<NewestReply> Done) override {
    Done({Behaviour_ == Behaviour::Serves ? StoreStatus::Done
                                          : StoreStatus::Unknown});
  }
};

/// Entries that share a store, with frames that arrive immediately.
struct Cell {
  TimePoint Now_{std::chrono::seconds(100)};
  std::vector<KeyedRecord> Log_;
  std::vector<std::unique_ptr<EntryStore>> Stores_;
  std::vector<std::unique_ptr<RelayStore>> Entries_;
  std::set<std::size_t> Unreachable_; ///< Entries to which frames are lost.
  std::vector<std::string> Suspected_;
  unsigned Ticks_ = 0;
  std::map<std::size_t, std::vector<Offset>> Announced_; ///< By entry.
  /// Frames held back in the sockets of their senders, by receiving entry.
  std::map<std::size_t, std::vector<std::string>> Queued_;

  explicit Cell(std::size_t Count) : Entries_(Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Stores_.push_back(std::make_unique<EntryStore>(*this));
    for (std::size_t I = 0; I < Count; ++I)
      start(I);
    for (std::size_t I = 0; I < Count; ++I)
      readOnce(I);
  }

  /// Starts the process of an entry; ends the entry's earlier process.
  void start(std::size_t I) {
    RelayPorts P;
    P.DirectStore_ = Stores_[I].get();
    P.Self_ = std::to_string(I);
    P.Clock_ = [this] { return Now_; };
    P.Send_ = [this](const std::string &To, const std::string &Bytes) {
      send(std::size_t(std::stoul(To)), Bytes);
      return true;
    };
    P.AnnouncedTopic_ = "t";
    P.OnStored_ = [this, I](std::uint32_t, std::vector<KeyedRecord> Records) {
      for (const KeyedRecord &R : Records)
        Announced_[I].push_back(R.Offset_);
    };
    P.OnPeerSuspected_ = [this](const std::string &To) {
      Suspected_.push_back(To);
    };
    Entries_[I] = std::make_unique<RelayStore>(std::move(P));
    std::vector<std::string> Peers;
    for (std::size_t Peer = 0; Peer < Entries_.size(); ++Peer)
      if (Peer != I)
        Peers.push_back(std::to_string(Peer));
    setPeers(Entries_[I]->Router_, Peers);
  }

  void send(std::size_t To, const std::string &Bytes) {
    if (Unreachable_.count(To))
      return;
    if (auto Queue = Queued_.find(To); Queue != Queued_.end())
      Queue->second.push_back(Bytes);
    else
      Entries_[To]->onMessage(decode(Bytes));
  }

  /// Delivers the frames held back from the entry.
  void release(std::size_t To) {
    auto Frames = Queued_.extract(To);
    for (const std::string &Bytes : Frames.mapped())
      Entries_[To]->onMessage(decode(Bytes));
  }

  /// Reads as the followers of partitions do regularly.
  void readOnce(std::size_t Entry) {
    Entries_[Entry]->read({{"t", 0}, 0}, [](const ReadReply &) {});
  }

  void run(Milliseconds Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      Now_ += Milliseconds(25);
      for (std::size_t I = 0; I < Entries_.size(); ++I) {
        Entries_[I]->tick();
        if (++Ticks_ % 8 == 0)
          readOnce(I);
      }
    }
  }

  /// Statuses of the answers to one append of entry 0.
  std::vector<StoreStatus> append(std::optional<Offset> ExpectedEnd = {}) {
    AppendCall Call{{"t", 0}, {{"k", "v"}}, ExpectedEnd, {}};
    std::vector<StoreStatus> Out;
    Entries_[0]->append(
        Call, [&](const AppendReply &R) { Out.push_back(R.Status_); });
    run(Milliseconds(4'000));
    return Out;
  }
};

void EntryStore::append(AppendCall Call, ReplyHandler<AppendReply> Done) {
  ++Appends_;
  if (Behaviour_ == Behaviour::Refuses)
    return Done({StoreStatus::NotDone});
  if (Behaviour_ == Behaviour::Silent)
    return Held_.push_back([Done] { Done({}); });
  if (Call.ExpectedEnd_ && *Call.ExpectedEnd_ != Cell_.Log_.size())
    return Done({StoreStatus::Moved});
  Offset First = Cell_.Log_.size();
  for (KeyedRecord &R : Call.Records_)
    Cell_.Log_.push_back(std::move(R));
  if (Behaviour_ == Behaviour::LosesAnswers)
    return Done({});
  Done({StoreStatus::Done, First, Cell_.Log_.size()});
}

void EntryStore::read(ReadCall Call, ReplyHandler<ReadReply> Done) {
  if (Behaviour_ == Behaviour::Silent)
    return Held_.push_back([Done] { Done({}); });
  if (Behaviour_ != Behaviour::Serves)
    return Done({});
  ReadReply R{StoreStatus::Done};
  for (Offset I = Call.Offset_; I < Cell_.Log_.size(); ++I)
    R.Records_.push_back(Cell_.Log_[I]);
  R.Next_ = R.End_ = Cell_.Log_.size();
  Done(R);
}

using Statuses = std::vector<StoreStatus>;

} // namespace

Test(relay, a_working_store_is_called_directly) {
  Cell C(3);
  cr_assert(C.append() == Statuses{StoreStatus::Done});
  cr_assert_eq(C.Stores_[0]->Appends_, 1u);
  cr_assert_eq(C.Stores_[1]->Appends_ + C.Stores_[2]->Appends_, 0u);
}

Test(relay, a_refused_append_is_made_by_a_peer) {
  Cell C(3);
  C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
  cr_assert(C.append() == Statuses{StoreStatus::Done});
  cr_assert_eq(C.Log_.size(), 1u);
}

Test(relay, a_refused_conditional_append_is_made_by_a_peer) {
  Cell C(2);
  C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
  cr_assert(C.append(0) == Statuses{StoreStatus::Done});
  cr_assert(C.append(0) == Statuses{StoreStatus::Moved});
}

Test(relay, a_conditional_append_without_an_answer_is_not_repeated) {
  // A repetition would find the record of the first append and be answered
  // Moved, as if another writer had been first.
  Cell C(2);
  C.Stores_[0]->Behaviour_ = Behaviour::LosesAnswers;
  cr_assert(C.append(0) == Statuses{StoreStatus::Unknown});
  cr_assert_eq(C.Stores_[1]->Appends_, 0u);
}

Test(relay, not_done_is_answered_only_if_no_attempt_may_be_executed) {
  Cell C(3);
  C.Stores_[0]->Behaviour_ = Behaviour::LosesAnswers;
  C.Stores_[1]->Behaviour_ = C.Stores_[2]->Behaviour_ = Behaviour::Refuses;
  cr_assert(C.append() == Statuses{StoreStatus::Unknown});
  C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
  cr_assert(C.append() == Statuses{StoreStatus::NotDone});
}

Test(relay, peers_that_cannot_reach_the_store_are_skipped) {
  Cell C(4);
  for (std::size_t I : {0u, 1u, 2u})
    C.Stores_[I]->Behaviour_ = Behaviour::Refuses;
  C.run(Milliseconds(500));
  for (int I = 0; I < 5; ++I)
    cr_assert(C.append() == Statuses{StoreStatus::Done});
}

Test(relay, a_silent_store_is_called_through_a_peer_before_the_call_times_out) {
  Cell C(2);
  C.Stores_[0]->Behaviour_ = Behaviour::Silent;
  AppendCall Call{{"t", 0}, {{"k", "v"}}, {}, {}};
  Statuses Out;
  C.Entries_[0]->append(
      Call, [&](const AppendReply &R) { Out.push_back(R.Status_); });
  C.run(Milliseconds(800));
  cr_assert(Out == Statuses{StoreStatus::Done});
  // The end of the direct call must not cause a second answer.
  for (auto &End : C.Stores_[0]->Held_)
    End();
  cr_assert_eq(Out.size(), 1u);
}

Test(relay, the_store_is_called_directly_again_once_it_answers) {
  Cell C(2);
  C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
  C.append();
  C.Stores_[0]->Behaviour_ = Behaviour::Serves;
  C.run(Milliseconds(1'000));
  unsigned Before = C.Stores_[1]->Appends_;
  cr_assert(C.append() == Statuses{StoreStatus::Done});
  cr_assert_eq(C.Stores_[1]->Appends_, Before);
}

Test(relay, a_peer_that_does_not_answer_is_suspected_and_not_used) {
  Cell C(2);
  C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
  C.Unreachable_.insert(1);
  cr_assert(C.append() == Statuses{StoreStatus::Unknown});
  cr_assert_eq(C.Suspected_.size(), 1u);
}

Test(relay, a_store_that_is_down_for_all_is_not_asked_in_circles) {
  Cell C(6);
  for (auto &S : C.Stores_)
    S->Behaviour_ = Behaviour::Refuses;
  for (int I = 0; I < 10; ++I)
    cr_assert(C.append() == Statuses{StoreStatus::NotDone});
  unsigned Calls = 0;
  for (auto &S : C.Stores_)
    Calls += S->Appends_;
  cr_assert_leq(Calls, 10u * 6u);
}

Test(relay, a_refused_read_is_made_by_a_peer) {
  Cell C(2);
  C.append();
  C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
  ReadReply Got;
  C.Entries_[0]->read({{"t", 0}, 0}, [&](ReadReply R) { Got = std::move(R); });
  cr_assert(Got.Status_ == StoreStatus::Done);
  cr_assert_eq(Got.Records_.size(), 1u);
  cr_assert_eq(Got.Records_[0].Key_, std::string("k"));
}

Test(relay, frames_that_cannot_be_decoded_are_counted) {
  Cell C(2);
  C.Entries_[0]->onMessage(decode("nonsense"));
  C.Entries_[0]->onMessage(decode(""));
  cr_assert_eq(C.Entries_[0]->Counters_["relay-frame-unreadable"], 2u);
}

Test(relay, stored_records_are_announced_with_their_offsets) {
  Cell C(3);
  C.append();
  C.append();
  for (std::size_t I = 0; I < 3; ++I)
    cr_assert(C.Announced_[I] == std::vector<Offset>({0, 1}));
}

Test(relay, records_of_an_append_without_an_answer_are_not_announced) {
  Cell C(2);
  C.Stores_[0]->Behaviour_ = Behaviour::LosesAnswers;
  C.append(0);
  cr_assert(C.Announced_.empty());
}

namespace {

/// Entry 0 makes \p Call through its peer and restarts before the answer
/// arrives. Calls of its new process through the peer get no answer.
void restartBeforeAnswer(Cell &C, std::function<void(RelayStore &)> Call) {
  C.append();
  C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
  C.Queued_[0];
  Call(*C.Entries_[0]);
  C.start(0);
  C.Unreachable_.insert(1);
  C.Announced_.clear();
}

} // namespace

// Guards against LOST: a job counts as stored because of a reply to a call of
// the entry's earlier process.
Test(peer_replies, a_reply_to_an_earlier_process_does_not_confirm_an_append) {
  Cell C(2);
  restartBeforeAnswer(C, [](RelayStore &S) {
    S.readNewest({{"other", 3}, {}}, [](const NewestReply &) {});
  });
  Statuses Out;
  C.Entries_[0]->append(
      {{"t", 0}, {{"job", "v"}}, {}, {}},
      [&](const AppendReply &R) { Out.push_back(R.Status_); });
  C.release(0);
  C.run(Milliseconds(2'000));
  cr_assert_eq(C.Log_.size(), 1u);
  cr_assert(Out == Statuses{StoreStatus::Unknown});
  cr_assert(C.Announced_.empty(), "a record that was not stored is announced");
}

// Guards against LOST: a reply to a call of the entry's earlier process
// advances a replica beyond records that it has not read.
Test(peer_replies, a_reply_to_an_earlier_process_does_not_answer_a_read) {
  Cell C(2);
  for (int I = 0; I < 5; ++I)
    C.append();
  restartBeforeAnswer(C, [](RelayStore &S) {
    S.read({{"t", 0}, 0}, [](const ReadReply &) {});
  });
  std::vector<ReadReply> Out;
  C.Entries_[0]->read({{"t", 1}, 0}, [&](ReadReply R) { Out.push_back(R); });
  C.release(0);
  C.run(Milliseconds(2'000));
  cr_assert_eq(Out.size(), 1u);
  cr_assert(Out[0].Status_ == StoreStatus::Unknown);
  cr_assert_eq(Out[0].Next_, 0u);
}

// Guards against LOST: an append counts as stored because of the reply to
// another call.
Test(peer_replies, a_reply_with_another_partition_topic_or_kind_is_refused) {
  for (int Case = 0; Case < 4; ++Case) {
    Cell C(2);
    C.Stores_[0]->Behaviour_ = Behaviour::Refuses;
    C.Queued_[1];
    Statuses Out;
    AppendCall Call{{"t", 0}, {{"k", "v"}}, {}, {}};
    C.Entries_[0]->append(
        Call, [&](const AppendReply &R) { Out.push_back(R.Status_); });
    Message Sent = decode(C.Queued_[1].at(0));
    const auto &Asked = std::get<RequestMessage>(Sent);
    ReplyMessage Reply = makeReply(Asked.Id_, AppendReply{StoreStatus::Done});
    copyCallFields(Reply, Asked);
    Reply.Partition_ += Case == 0;
    Reply.Kind_ += Case == 1;
    Reply.Topic_ += Case == 2 ? "x" : "";
    C.Entries_[0]->onMessage(decode(encode(Reply)));
    cr_assert_eq(Out.size(), Case == 3 ? 1u : 0u);
    cr_assert_eq(C.Entries_[0]->Counters_["relay-reply-refused"],
                 Case == 3 ? 0u : 1u);
  }
}

// Guards against LOST: the store answers a repeated sequence number with its
// first answer, and the records of the repetition are announced at offsets
// where the store holds other records.
Test(relay, records_that_the_answer_does_not_account_for_are_not_announced) {
  struct RepeatedAnswer : Store {
    void append(AppendCall, ReplyHandler<AppendReply> Done) override {
      Done({StoreStatus::Done, 0, 1});
    }
    void read(ReadCall, ReplyHandler<ReadReply> Done) override { Done({}); }
    void readNewest(NewestCall, ReplyHandler<NewestReply> Done) override {
      Done({});
    }
  } Direct;
  std::vector<Offset> Announced;
  RelayPorts P;
  P.DirectStore_ = &Direct;
  P.Clock_ = [] { return TimePoint{std::chrono::seconds(100)}; };
  P.AnnouncedTopic_ = "t";
  P.OnStored_ = [&](std::uint32_t, std::vector<KeyedRecord> Records) {
    for (const KeyedRecord &R : Records)
      Announced.push_back(R.Offset_);
  };
  RelayStore Entry(std::move(P));
  AppendCall Call{{"t", 0}, {{"b", "1"}, {"c", "1"}}, {}, Fence{"s", 7, 1}};
  Entry.append(Call, [](const AppendReply &) {});
  cr_assert(Announced.empty());
}
