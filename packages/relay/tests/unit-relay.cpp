/// Calls to the store through other entries, while the store refuses some.
#include "relay/relay.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::relay;
using namespace pollenvale::ledger;

namespace {

enum class Mood { Serves, Refuses, Silent, LosesAnswers };

struct Cell;

/// The store as one entry meets it.
struct EntryStore : Store {
  Cell &Cell_;
  Mood Mood_ = Mood::Serves;
  unsigned Appends_ = 0;
  std::vector<std::function<void()>> Held_; ///< Calls that get no answer.
  explicit EntryStore(Cell &C) : Cell_(C) {}

  void append(AppendCall Call, Done<AppendReply> Done) override;
  void read(ReadCall Call, Done<ReadReply> Done) override;
  void newest(NewestCall, Done<NewestReply> Done) override {
    Done({Mood_ == Mood::Serves ? StoreStatus::Done : StoreStatus::Unknown});
  }
};

/// Some entries, a log and frames that arrive at once.
struct Cell {
  TimePoint Now_{std::chrono::seconds(100)};
  std::vector<KeyedRecord> Log_;
  std::vector<std::unique_ptr<EntryStore>> Stores_;
  std::vector<std::unique_ptr<RelayStore>> Entries_;
  std::set<std::size_t> Deaf_; ///< Entries that frames don't reach.
  std::vector<std::string> Suspected_;
  unsigned Ticks_ = 0;
  std::map<std::size_t, std::vector<Offset>> Announced_; ///< By entry.
  /// Entries whose frames wait in the sockets of their peers, and these frames.
  std::map<std::size_t, std::vector<std::string>> Queued_;

  explicit Cell(std::size_t Count) : Entries_(Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Stores_.push_back(std::make_unique<EntryStore>(*this));
    for (std::size_t I = 0; I < Count; ++I)
      start(I);
    for (std::size_t I = 0; I < Count; ++I)
      readOnce(I);
  }

  /// Starts the process of an entry, in place of a former one.
  void start(std::size_t I) {
    RelayPorts P;
    P.Direct_ = Stores_[I].get();
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
    P.Suspect_ = [this](const std::string &To) { Suspected_.push_back(To); };
    Entries_[I] = std::make_unique<RelayStore>(std::move(P));
    std::vector<std::string> Peers;
    for (std::size_t Peer = 0; Peer < Entries_.size(); ++Peer)
      if (Peer != I)
        Peers.push_back(std::to_string(Peer));
    setPeers(Entries_[I]->Router_, Peers);
  }

  void send(std::size_t To, const std::string &Bytes) {
    if (Deaf_.count(To))
      return;
    if (auto Queue = Queued_.find(To); Queue != Queued_.end())
      Queue->second.push_back(Bytes);
    else
      Entries_[To]->onMessage(decode(Bytes));
  }

  /// The frames that wait for the entry arrive.
  void release(std::size_t To) {
    auto Frames = Queued_.extract(To);
    for (const std::string &Bytes : Frames.mapped())
      Entries_[To]->onMessage(decode(Bytes));
  }

  /// As followers of the store do all the time.
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

void EntryStore::append(AppendCall Call, Done<AppendReply> Done) {
  ++Appends_;
  if (Mood_ == Mood::Refuses)
    return Done({StoreStatus::NotDone});
  if (Mood_ == Mood::Silent)
    return Held_.push_back([Done] { Done({}); });
  if (Call.ExpectedEnd_ && *Call.ExpectedEnd_ != Cell_.Log_.size())
    return Done({StoreStatus::Moved});
  Offset First = Cell_.Log_.size();
  for (KeyedRecord &R : Call.Records_)
    Cell_.Log_.push_back(std::move(R));
  if (Mood_ == Mood::LosesAnswers)
    return Done({});
  Done({StoreStatus::Done, First, Cell_.Log_.size()});
}

void EntryStore::read(ReadCall Call, Done<ReadReply> Done) {
  if (Mood_ == Mood::Silent)
    return Held_.push_back([Done] { Done({}); });
  if (Mood_ != Mood::Serves)
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
  C.Stores_[0]->Mood_ = Mood::Refuses;
  cr_assert(C.append() == Statuses{StoreStatus::Done});
  cr_assert_eq(C.Log_.size(), 1u);
}

Test(relay, a_refused_conditional_append_is_made_by_a_peer) {
  Cell C(2);
  C.Stores_[0]->Mood_ = Mood::Refuses;
  cr_assert(C.append(0) == Statuses{StoreStatus::Done});
  cr_assert(C.append(0) == Statuses{StoreStatus::Moved});
}

Test(relay, a_conditional_append_without_an_answer_is_not_repeated) {
  // A repeat would find the first one's record and look like a lost race.
  Cell C(2);
  C.Stores_[0]->Mood_ = Mood::LosesAnswers;
  cr_assert(C.append(0) == Statuses{StoreStatus::Unknown});
  cr_assert_eq(C.Stores_[1]->Appends_, 0u);
}

Test(relay, not_done_is_said_only_if_no_attempt_may_have_done_it) {
  Cell C(3);
  C.Stores_[0]->Mood_ = Mood::LosesAnswers;
  C.Stores_[1]->Mood_ = C.Stores_[2]->Mood_ = Mood::Refuses;
  cr_assert(C.append() == Statuses{StoreStatus::Unknown});
  C.Stores_[0]->Mood_ = Mood::Refuses;
  cr_assert(C.append() == Statuses{StoreStatus::NotDone});
}

Test(relay, peers_without_the_store_are_passed_over) {
  Cell C(4);
  for (std::size_t I : {0u, 1u, 2u})
    C.Stores_[I]->Mood_ = Mood::Refuses;
  C.run(Milliseconds(500));
  for (int I = 0; I < 5; ++I)
    cr_assert(C.append() == Statuses{StoreStatus::Done});
}

Test(relay, a_silent_store_is_reached_by_a_peer_before_the_call_times_out) {
  Cell C(2);
  C.Stores_[0]->Mood_ = Mood::Silent;
  AppendCall Call{{"t", 0}, {{"k", "v"}}, {}, {}};
  Statuses Out;
  C.Entries_[0]->append(
      Call, [&](const AppendReply &R) { Out.push_back(R.Status_); });
  C.run(Milliseconds(800));
  cr_assert(Out == Statuses{StoreStatus::Done});
  // The direct call's end is not a second answer.
  for (auto &End : C.Stores_[0]->Held_)
    End();
  cr_assert_eq(Out.size(), 1u);
}

Test(relay, the_store_is_called_directly_again_once_it_answers) {
  Cell C(2);
  C.Stores_[0]->Mood_ = Mood::Refuses;
  C.append();
  C.Stores_[0]->Mood_ = Mood::Serves;
  C.run(Milliseconds(1'000));
  unsigned Before = C.Stores_[1]->Appends_;
  cr_assert(C.append() == Statuses{StoreStatus::Done});
  cr_assert_eq(C.Stores_[1]->Appends_, Before);
}

Test(relay, a_peer_that_does_not_answer_is_suspected_and_left_alone) {
  Cell C(2);
  C.Stores_[0]->Mood_ = Mood::Refuses;
  C.Deaf_.insert(1);
  cr_assert(C.append() == Statuses{StoreStatus::Unknown});
  cr_assert_eq(C.Suspected_.size(), 1u);
}

Test(relay, a_store_that_is_down_for_all_is_not_asked_in_circles) {
  Cell C(6);
  for (auto &S : C.Stores_)
    S->Mood_ = Mood::Refuses;
  for (int I = 0; I < 10; ++I)
    cr_assert(C.append() == Statuses{StoreStatus::NotDone});
  unsigned Calls = 0;
  for (auto &S : C.Stores_)
    Calls += S->Appends_;
  cr_assert_leq(Calls, 10u * 6u);
}

Test(relay, reads_come_through_a_peer) {
  Cell C(2);
  C.append();
  C.Stores_[0]->Mood_ = Mood::Refuses;
  ReadReply Got;
  C.Entries_[0]->read({{"t", 0}, 0}, [&](ReadReply R) { Got = std::move(R); });
  cr_assert(Got.Status_ == StoreStatus::Done);
  cr_assert_eq(Got.Records_.size(), 1u);
  cr_assert_eq(Got.Records_[0].Key_, std::string("k"));
}

Test(relay, unreadable_frames_are_counted) {
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

Test(relay, what_may_not_be_stored_is_not_announced) {
  Cell C(2);
  C.Stores_[0]->Mood_ = Mood::LosesAnswers;
  C.append(0);
  cr_assert(C.Announced_.empty());
}

namespace {

/// Entry 0 makes \p Call by its peer and ends; the answer waits for the process
/// that starts at its address, whose own calls get no answer.
void restartBeforeTheAnswer(Cell &C, std::function<void(RelayStore &)> Call) {
  C.append();
  C.Stores_[0]->Mood_ = Mood::Refuses;
  C.Queued_[0];
  Call(*C.Entries_[0]);
  C.start(0);
  C.Deaf_.insert(1);
  C.Announced_.clear();
}

} // namespace

// Guards against LOST: a caller is told that its job is stored, and it is in no
// log.
Test(peer_replies,
     a_reply_to_an_earlier_process_is_no_proof_of_a_stored_append) {
  Cell C(2);
  restartBeforeTheAnswer(C, [](RelayStore &S) {
    S.newest({{"other", 3}, {}}, [](const NewestReply &) {});
  });
  Statuses Out;
  C.Entries_[0]->append(
      {{"t", 0}, {{"job", "v"}}, {}, {}},
      [&](const AppendReply &R) { Out.push_back(R.Status_); });
  C.release(0);
  C.run(Milliseconds(2'000));
  cr_assert_eq(C.Log_.size(), 1u);
  cr_assert(Out == Statuses{StoreStatus::Unknown});
  cr_assert(C.Announced_.empty(), "announced, and stored nowhere");
}

// Guards against LOST: a copy goes on behind records that it has not read.
Test(peer_replies, a_reply_to_an_earlier_process_moves_no_copy) {
  Cell C(2);
  for (int I = 0; I < 5; ++I)
    C.append();
  restartBeforeTheAnswer(C, [](RelayStore &S) {
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

// Guards against LOST: an answer about another call tells that an append is
// stored.
Test(peer_replies, a_reply_that_says_another_partition_or_kind_is_refused) {
  for (int Case = 0; Case < 4; ++Case) {
    Cell C(2);
    C.Stores_[0]->Mood_ = Mood::Refuses;
    C.Queued_[1];
    Statuses Out;
    AppendCall Call{{"t", 0}, {{"k", "v"}}, {}, {}};
    C.Entries_[0]->append(
        Call, [&](const AppendReply &R) { Out.push_back(R.Status_); });
    Message Sent = decode(C.Queued_[1].at(0));
    const auto &Asked = std::get<RequestMessage>(Sent);
    ReplyMessage Reply = makeReply(Asked.Id_, AppendReply{StoreStatus::Done});
    address(Reply, Asked);
    Reply.Partition_ += Case == 0;
    Reply.Kind_ += Case == 1;
    Reply.Topic_ += Case == 2 ? "x" : "";
    C.Entries_[0]->onMessage(decode(encode(Reply)));
    cr_assert_eq(Out.size(), Case == 3 ? 1u : 0u);
    cr_assert_eq(C.Entries_[0]->Counters_["relay-reply-refused"],
                 Case == 3 ? 0u : 1u);
  }
}

// Guards against LOST: the store answers a number that it knows as it did
// before, and the records that came this time are announced at offsets where
// the store holds others.
Test(relay, records_that_the_answer_does_not_account_for_are_not_announced) {
  struct KnownNumber : Store {
    void append(AppendCall, Done<AppendReply> Done) override {
      Done({StoreStatus::Done, 0, 1});
    }
    void read(ReadCall, Done<ReadReply> Done) override { Done({}); }
    void newest(NewestCall, Done<NewestReply> Done) override { Done({}); }
  } Direct;
  std::vector<Offset> Announced;
  RelayPorts P;
  P.Direct_ = &Direct;
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
