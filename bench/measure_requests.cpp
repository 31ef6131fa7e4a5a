#include "measure.hpp"

#include "requests/requests.hpp"

#include <functional>
#include <queue>

namespace pollenvale::bench {

using nlohmann::json;

namespace {

constexpr int Instances = 35;
constexpr int SlotsPerInstance = 8;
constexpr int Entries = 6;
constexpr Milliseconds Hop{1};
constexpr double ShortMs = 50;
constexpr double LongMs = 50 * ShortMs;
/// Slots times their time: milliseconds of work a millisecond.
constexpr double Capacity = Instances * SlotsPerInstance;

/// One arrival of the offered load, the same for policy and baseline.
struct Arrival {
  double AtMs_;
  double RunMs_;
  bool Long_;
};

struct Answer {
  double LatencyMs_;
  double EndMs_;
  double RunMs_;
  bool Long_;
  bool Good_;
};

struct Load {
  double ShortShare_; ///< Of the capacity.
  double LongShare_;
  double Crest_; ///< Factor on the load between 4 s and 14 s.
  double LengthMs_;
};

double exponential(Random &R, double Mean) {
  return -Mean * std::log(1 - R.unit());
}

std::vector<Arrival> offer(const Load &L, std::uint64_t Seed) {
  std::vector<Arrival> Out;
  Random R{Seed};
  auto Add = [&](double Share, double RunMs, bool Long) {
    if (Share <= 0)
      return;
    double Gap = RunMs / (Share * Capacity);
    for (double At = 0; At < L.LengthMs_;) {
      bool Crest = At >= 4'000 && At < 14'000;
      At += exponential(R, Crest ? Gap / L.Crest_ : Gap);
      // Run times vary by a fifth around their mean.
      Out.push_back({At, RunMs * (0.8 + 0.4 * R.unit()), Long});
    }
  };
  Add(L.ShortShare_, ShortMs, false);
  Add(L.LongShare_, LongMs, true);
  std::sort(Out.begin(), Out.end(), [](const Arrival &A, const Arrival &B) {
    return A.AtMs_ < B.AtMs_;
  });
  return Out;
}

struct Event {
  double AtMs_;
  std::uint64_t Order_;
  std::function<void()> Run_;
  bool operator<(const Event &O) const {
    return std::tie(O.AtMs_, O.Order_) < std::tie(AtMs_, Order_);
  }
};

struct Clock {
  std::priority_queue<Event> Events_;
  std::uint64_t Order_ = 0;
  double NowMs_ = 0;

  void after(double Ms, std::function<void()> Run) {
    Events_.push({NowMs_ + Ms, ++Order_, std::move(Run)});
  }
  void run() {
    while (!Events_.empty()) {
      Event E = Events_.top();
      Events_.pop();
      NowMs_ = E.AtMs_;
      E.Run_();
    }
  }
  TimePoint now() const {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::microseconds(std::int64_t(NowMs_ * 1000));
  }
};

/// Six entries and one holder over the slice's own decision functions.
class Policy {
public:
  Policy(std::uint64_t Seed, double DeadlineMs) : DeadlineMs_(DeadlineMs) {
    config::Service Service;
    Service.Spec_.Tasks_ = Instances;
    Service.Spec_.Slots_ = SlotsPerInstance;
    Service.LongThreshold_ = Milliseconds(1'000);
    Service.LongShare_ = 0.5;
    Config_.VersionKnown_ = true;
    Config_.Version_ = 1;
    Config_.Doc_.Services_["planning"] = Service;
    for (int I = 0; I < Entries; ++I) {
      Entry_[I].Random_.State_ = Seed + I;
      membership::State &M = Members_[I];
      M.Self_ = "e" + std::to_string(I) + ".1";
      M.Dc_ = "dc";
    }
    for (int I = 0; I < Instances; ++I) {
      requests::Instance &Inst = Slots_.Instances_["i" + std::to_string(I)];
      Inst.Task_ = {"svc", std::uint32_t(I), "h", 1};
      Inst.Service_ = "planning";
      Inst.Address_ = Inst.Dc_ = "dc";
      Inst.Slots_ = SlotsPerInstance;
      Inst.LeaseUntil_ = TimePoint::max();
    }
    // The key of an instance is its task's id.
    std::map<std::string, requests::Instance> Keyed;
    for (auto &[Key, Inst] : Slots_.Instances_)
      Keyed[toString(Inst.Task_)] = Inst;
    Slots_.Instances_ = std::move(Keyed);
    Slots_.Random_.State_ = Seed;
  }

  std::vector<Answer> run(const std::vector<Arrival> &Load) {
    for (const Arrival &A : Load)
      Clock_.Events_.push({A.AtMs_, ++Clock_.Order_, [this, A] { arrive(A); }});
    EndMs_ = Load.back().AtMs_ + DeadlineMs_ + LongMs * 2;
    tick();
    Clock_.run();
    return std::move(Answers_);
  }

private:
  void hear() {
    for (int I = 0; I < Entries; ++I) {
      Members_[I].Peers_.clear();
      for (int J = 0; J < Entries; ++J)
        if (J != I)
          addPeer(Members_[I], Members_[J].Self_, {});
      addPeer(Members_[I], "h.1", requests::freeSlots(Slots_, Clock_.now()));
      Members_[I].Peers_["h.1"].LastHeartbeat_.Leaving_ =
          true; // Holds, serves no caller.
      addPeer(Holder_, Members_[I].Self_, {});
    }
    Holder_.Self_ = "h.1";
  }
  void addPeer(membership::State &M, const NodeId &Node,
               std::map<ServiceName, std::uint32_t> Free) {
    membership::Peer &P = M.Peers_[Node];
    P.LastHeartbeatAt_ = Clock_.now();
    P.LastHeartbeat_.Dc_ = "dc";
    P.LastHeartbeat_.FreeSlots_ = std::move(Free);
  }
  void tick() {
    constexpr double TickMs = 50;
    if (int(Clock_.NowMs_) % 1'000 < int(TickMs))
      hear();
    for (int I = 0; I < Entries; ++I)
      step(I, [&](auto &C) { requests::tick(Entry_[I], C); });
    peering::Outbox Out;
    requests::tickSlots(Slots_, Holder_, Clock_.now(), Out);
    deliver("h.1", Out);
    if (Clock_.NowMs_ < EndMs_)
      Clock_.after(TickMs, [this] { tick(); });
  }
  template <class Fn> void step(int I, Fn Do) {
    peering::Outbox Out;
    requests::Context C{Config_,           Members_[I],  NoSlots_,
                        Members_[I].Self_, Clock_.now(), Out};
    Do(C);
    deliver(Members_[I].Self_, Out);
    for (const auto &Call : Out.Instances_)
      dispatch(I, Call);
    for (const auto &Reply : Out.Callers_)
      answer(Reply);
  }
  void deliver(const NodeId &From, peering::Outbox &Out) {
    for (auto &A : Out.Peers_)
      Clock_.after(double(Hop.count()), [this, From, A] {
        if (A.To_ == "h.1")
          toHolder(From, A.Message_);
        else
          toEntry(A.To_[1] - '0', From, A.Message_);
      });
  }
  void toHolder(const NodeId &From, const peering::PeerMessage &M) {
    peering::Outbox Out;
    if (auto *A = std::get_if<requests::SlotRequest>(&M))
      requests::onSlotRequest(Slots_, Holder_, Clock_.now(), From, *A, Out);
    if (auto *R = std::get_if<requests::SlotReturn>(&M))
      requests::onReturn(Slots_, Holder_, Clock_.now(), From, *R, Out);
    deliver("h.1", Out);
  }
  void toEntry(int I, const NodeId &From, const peering::PeerMessage &M) {
    if (auto *G = std::get_if<requests::SlotGrant>(&M))
      step(I, [&](auto &C) { requests::onGrant(Entry_[I], C, From, *G); });
  }
  void arrive(const Arrival &A) {
    requests::Request R;
    R.Connection_ = Sent_.size() + 1;
    R.Service_ = "planning";
    R.Class_ = A.Long_ ? "long" : "short";
    R.Body_ = std::to_string(A.RunMs_);
    R.ArrivedAt_ = Clock_.now();
    R.Deadline_ = R.ArrivedAt_ + Milliseconds(std::int64_t(DeadlineMs_));
    Sent_.push_back(A);
    int I = int(R.Connection_ % Entries);
    step(I, [&](auto &C) { requests::onRequest(Entry_[I], C, std::move(R)); });
  }
  void dispatch(int I, const peering::InstanceCall &Call) {
    Clock_.after(
        std::stod(Call.Body_) + 2 * double(Hop.count()), [this, I, Call] {
          step(I, [&](auto &C) {
            requests::onAnswer(Entry_[I], C,
                               {Call.Call_, peering::AnswerStatus::Whole,
                                Call.Echo_, 200, ""});
          });
        });
  }
  void answer(const peering::CallerReply &R) {
    const Arrival &A = Sent_[R.Connection_ - 1];
    double Latency = Clock_.NowMs_ - A.AtMs_;
    Answers_.push_back({Latency, Clock_.NowMs_, A.RunMs_, A.Long_,
                        R.Code_ == 200 && Latency <= DeadlineMs_});
  }

  double DeadlineMs_;
  double EndMs_ = 0;
  Clock Clock_;
  config::State Config_;
  requests::SlotState Slots_, NoSlots_;
  membership::State Holder_, Members_[Entries];
  requests::State Entry_[Entries];
  std::vector<Arrival> Sent_;
  std::vector<Answer> Answers_;
};

/// One queue in order of arrival over all slots; callers give up at their
/// deadline and try again at once, twice, without a budget.
std::vector<Answer> runFifo(const std::vector<Arrival> &Load,
                            double DeadlineMs) {
  struct Item {
    Arrival Arrival_;
    double QueuedMs_;
    int Tries_;
  };
  Clock C;
  std::deque<Item> Queue;
  std::vector<Answer> Answers;
  int Free = int(Capacity);
  std::function<void()> Pump = [&] {
    while (Free > 0 && !Queue.empty()) {
      Item It = Queue.front();
      Queue.pop_front();
      --Free;
      C.after(It.Arrival_.RunMs_ + 2 * double(Hop.count()), [&, It] {
        ++Free;
        double Latency = C.NowMs_ - It.QueuedMs_;
        bool Good = Latency <= DeadlineMs;
        Answers.push_back(
            {Latency, C.NowMs_, It.Arrival_.RunMs_, It.Arrival_.Long_, Good});
        Pump();
      });
    }
  };
  std::function<void(Item)> Arrive = [&](Item It) {
    It.QueuedMs_ = C.NowMs_;
    Queue.push_back(It);
    // A caller that got no answer sends again; the queue keeps both.
    if (It.Tries_ < 2)
      C.after(DeadlineMs, [&, It]() mutable {
        bool Waiting =
            !Queue.empty() && Queue.front().QueuedMs_ <= It.QueuedMs_;
        if (Waiting) {
          ++It.Tries_;
          Arrive(It);
          Pump();
        }
      });
  };
  for (const Arrival &A : Load)
    C.Events_.push({A.AtMs_, ++C.Order_, [&, A] {
                      Arrive({A, A.AtMs_, 0});
                      Pump();
                    }});
  C.run();
  return Answers;
}

/// From 6 s on, when run times have been learned.
double shortP99(const std::vector<Answer> &Answers) {
  constexpr double LearnedMs = 6'000;
  std::vector<double> Latencies;
  for (const Answer &A : Answers)
    if (!A.Long_ && A.EndMs_ - A.LatencyMs_ >= LearnedMs)
      Latencies.push_back(A.Good_ ? A.LatencyMs_ : 1e6);
  return quantile(Latencies, 0.99);
}

/// Good work a millisecond between two points, as a share of the capacity.
double goodput(const std::vector<Answer> &Answers, double FromMs, double ToMs) {
  double Work = 0;
  for (const Answer &A : Answers)
    if (A.Good_ && A.EndMs_ >= FromMs && A.EndMs_ < ToMs)
      Work += A.RunMs_;
  return Work / (Capacity * (ToMs - FromMs));
}

json crestRow(const std::vector<Answer> &Answers) {
  std::vector<double> Latencies;
  for (const Answer &A : Answers)
    if (A.Good_ && A.EndMs_ >= 5'000 && A.EndMs_ < 14'000)
      Latencies.push_back(A.LatencyMs_);
  return {{"goodput_of_capacity", goodput(Answers, 5'000, 14'000)},
          {"p50_ms", quantile(Latencies, 0.5)},
          {"p99_ms", quantile(Latencies, 0.99)}};
}

} // namespace

json measureRequests(std::uint64_t Seed) {
  constexpr double LongDeadline = 60'000, CrestDeadline = 2'000;
  json Out;
  Load Alone{0.45, 0, 1, 30'000}, Beside{0.45, 0.45, 1, 30'000};
  Load Overload{0.45, 0.8, 1, 30'000}, Swing{0.4, 0, 5, 20'000};
  double Without = shortP99(Policy(Seed, LongDeadline).run(offer(Alone, Seed)));
  auto Row = [&](const Load &L, bool Fifo) {
    auto Offered = offer(L, Seed);
    auto Answers = Fifo ? runFifo(Offered, LongDeadline)
                        : Policy(Seed, LongDeadline).run(Offered);
    double P99 = shortP99(Answers);
    return json{{"short_p99_ms", P99}, {"ratio_to_alone", P99 / Without}};
  };
  Out["short alone"] = {{"short_p99_ms", Without}};
  Out["beside long, policy"] = Row(Beside, false);
  Out["beside long, fifo"] = Row(Beside, true);
  Out["beside too much long, policy"] = Row(Overload, false);
  Out["beside too much long, fifo"] = Row(Overload, true);
  auto Offered = offer(Swing, Seed);
  Out["crest x5, policy"] = crestRow(Policy(Seed, CrestDeadline).run(Offered));
  Out["crest x5, fifo"] = crestRow(runFifo(Offered, CrestDeadline));
  return Out;
}

} // namespace pollenvale::bench
