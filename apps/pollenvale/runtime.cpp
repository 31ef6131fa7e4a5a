#include "runtime.hpp"

#include "http/http.hpp"
#include "observe/observe.hpp"
#include "peernet/peernet.hpp"
#include "process.hpp"
#include "standin_wire/standin_wire.hpp"

#include <asio.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>

namespace pollenvale {

namespace {

constexpr Milliseconds TickInterval{50};
constexpr Milliseconds WorkerTimeout{2'000};
constexpr Milliseconds LogTimeout{4'000};
constexpr Milliseconds VmListTimeout{2'000};
/// A stopping entry closes its port once it has received no call for this long,
/// which gives the balancer time to see that the entry is not ready.
constexpr Milliseconds QuietPeriod{1'000};
/// Limit of the delay of a stop by further calls.
constexpr Milliseconds MaxLinger{5'000};
/// How often a stopping entry logs the work that is still pending.
constexpr Milliseconds StopReportInterval{5'000};

using observe::Level;
using peering::Outbox;

/// The event loop of the control thread. All methods run on that thread;
/// callbacks of other threads are posted to it.
class Runtime {
public:
  explicit Runtime(const settings::Settings &S)
      : Settings_(S), Timer_(Io_), Signals_(Io_, SIGTERM, SIGINT),
        Client_(http::makeClient()) {
    node::Options O;
    O.Self_ = makeIncarnation(S.Name_);
    O.Address_ = S.PeerAddress_;
    O.Dc_ = S.DataCenter_;
    O.Seeds_ = {S.Seeds_.begin(), S.Seeds_.end()};
    O.Retention_ = S.LogRetention_;
    O.Seed_ = std::random_device()();
    Node_ = node::makeNode(std::move(O), now());
  }

  Runtime(const Runtime &) = delete;
  Runtime &operator=(const Runtime &) = delete;
  ~Runtime() {
    if (Server_)
      Server_->stop();
  }

  [[noreturn]] void run() {
    Peers_ = peernet::openPeerSocket(
        Settings_.PeerAddress_, [this](std::string Bytes) {
          asio::post(Io_,
                     [this, Bytes = std::move(Bytes)] { onPeerBytes(Bytes); });
        });
    auto [Host, Port] = splitAddress(Settings_.CallerAddress_);
    constexpr unsigned TrafficThreads = 2;
    Server_ = http::startServer(
        {Host, Port, TrafficThreads},
        [this](http::ServerRequest R, http::Responder Respond) {
          asio::post(Io_, [this, R = std::move(R), Respond]() mutable {
            onHttp(std::move(R), std::move(Respond));
          });
        });
    Signals_.async_wait([this](std::error_code Err, int Signal) {
      if (!Err)
        onSignal(Signal);
    });
    observe::log(Level::Info, "started",
                 {{"self", Node_.Self_},
                  {"callers", Settings_.CallerAddress_},
                  {"peers", Settings_.PeerAddress_}});
    scheduleTick();
    Io_.run();
    Server_->stop();
    Client_.reset();
    observe::log(Level::Info, "stopped");
    // All calls are answered and all leases released. Closing the peer sockets
    // may block forever in nng 1.5 while peers connect and disconnect, so the
    // process exits without closing them.
    std::fflush(nullptr);
    std::quick_exit(0);
  }

private:
  static TimePoint now() { return std::chrono::steady_clock::now(); }

  void scheduleTick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([this](std::error_code Err) {
      if (Err)
        return;
      Outbox Out;
      node::tick(Node_, now(), Out);
      perform(Out);
      recordTimes();
      if (node::isStopped(Node_, now()) && isQuiet())
        Io_.stop();
      else
        scheduleTick();
      if (Node_.Stopping_ && now() >= NextStopReport_)
        reportStop();
    });
  }

  void reportStop() {
    NextStopReport_ = now() + StopReportInterval;
    observe::log(Level::Info, "stop-waits",
                 {{"calls", Responders_.size()},
                  {"unwritten", Server_->unwritten()},
                  {"requests", Node_.Requests_.Requests_.size()},
                  {"appends", Node_.Log_.Queue_.size()},
                  {"node_stopped", node::isStopped(Node_, now())}});
  }

  /// True when all responses have been written completely and no call has been
  /// received for QuietPeriod; further calls delay it by MaxLinger at most.
  bool isQuiet() {
    if (!Responders_.empty() || Server_->unwritten() > 0)
      return false;
    if (!StoppedAt_)
      StoppedAt_ = now();
    return elapsed(LastCallAt_, now()) >= QuietPeriod ||
           elapsed(*StoppedAt_, now()) >= MaxLinger;
  }

  void onSignal(int Signal) {
    observe::log(Level::Info, "stopping", {{"signal", Signal}});
    NextStopReport_ = now() + StopReportInterval;
    node::beginStop(Node_, now());
  }

  /// Moves the measured times from the node to the histograms.
  void recordTimes() {
    for (Milliseconds W : Node_.Jobs_.StartDelays_)
      JobWaits_.add(W);
    for (Milliseconds W : Node_.Requests_.QueueWaits_)
      RequestWaits_.add(W);
    for (Milliseconds L : Node_.Requests_.Latencies_)
      RequestTimes_.add(L);
    Node_.Jobs_.StartDelays_.clear();
    Node_.Requests_.QueueWaits_.clear();
    Node_.Requests_.Latencies_.clear();
  }

  void onPeerBytes(const std::string &Bytes) {
    BytesIn_ += Bytes.size();
    auto Frame = peering::decode(Bytes);
    if (!Frame) {
      count(Node_.Counters_, "frame-unreadable");
      return;
    }
    Outbox Out;
    node::onFrame(Node_, now(), Frame.value(), Out);
    perform(Out);
  }

  void onHttp(http::ServerRequest R, http::Responder Respond) {
    LastCallAt_ = now();
    if (R.Path_ == "/metrics")
      return Respond({200, metrics(), "text/plain; version=0.0.4", {}});
    std::uint64_t Connection = ++LastConnection_;
    Responders_[Connection] = std::move(Respond);
    Outbox Out;
    if (R.Body_.size() > Settings_.BodyLimit_) {
      requests::answerError(Node_.Requests_.Counters_, Out, Connection,
                            ErrorKind::BodyTooLarge,
                            "body of " + std::to_string(R.Body_.size()) +
                                " bytes is above the limit of " +
                                std::to_string(Settings_.BodyLimit_));
      return perform(Out);
    }
    node::CallerRequest Request;
    Request.Connection_ = Connection;
    Request.Method_ = std::move(R.Method_);
    Request.Path_ = std::move(R.Path_);
    Request.Body_ = std::move(R.Body_);
    Request.Mode_ = R.Headers_["x-pollenvale-mode"];
    Request.Class_ = R.Headers_["x-pollenvale-class"];
    Request.DeadlineMs_ = R.Headers_["x-pollenvale-deadline-ms"];
    node::onCallerRequest(Node_, now(), Request, Out);
    perform(Out);
  }

  std::string metrics() {
    std::string Text = observe::expose(node::allCounters(Node_));
    Text += RequestWaits_.expose("pollenvale_request_wait_seconds");
    Text += RequestTimes_.expose("pollenvale_request_seconds");
    Text += JobWaits_.expose("pollenvale_job_wait_seconds");
    Text += "# TYPE pollenvale_peer_bytes_total counter\n";
    Text += "pollenvale_peer_bytes_total{direction=\"in\"} " +
            std::to_string(BytesIn_) + "\n";
    Text += "pollenvale_peer_bytes_total{direction=\"out\"} " +
            std::to_string(BytesOut_) + "\n";
    return Text;
  }

  static void writeNote(const peering::Note &N) {
    Level L = N.Detail_ ? Level::Debug : Level::Info;
    if (!observe::isLogged(L))
      return;
    nlohmann::json Fields = {{N.Subject_, N.Id_}};
    for (const auto &[Name, Value] : N.Fields_)
      if (!Value.empty())
        Fields[Name] = Value;
    observe::log(L, N.Event_, Fields);
  }

  void perform(Outbox &Out) {
    for (const peering::Note &N : Out.Notes_)
      writeNote(N);
    sendFrames(Out);
    for (const peering::WorkerCall &Call : Out.Workers_)
      callWorker(Call);
    for (const peering::InstanceCall &Call : Out.Instances_)
      callInstance(Call);
    for (const eventlog::AppendCall &Call : Out.Appends_)
      callAppend(Call);
    for (const eventlog::ReadCall &Call : Out.Reads_)
      callRead(Call);
    if (Out.ListVms_)
      callVmList();
    for (peering::CallerReply &Reply : Out.Callers_)
      answerCaller(Reply);
  }

  void answerCaller(peering::CallerReply &Reply) {
    auto Responder = Responders_.extract(Reply.Connection_);
    if (Responder.empty())
      return;
    std::map<std::string, std::string> Headers = {
        {"X-Pollenvale-Entry", Node_.Self_}};
    if (!Reply.RequestId_.empty())
      Headers["X-Pollenvale-Request"] = Reply.RequestId_;
    Responder.mapped()({Reply.Code_, std::move(Reply.Body_), Reply.ContentType_,
                        std::move(Headers), Node_.Stopping_});
  }

  /// Sends one frame to each node that \p Out has messages for. A recipient
  /// "@ADDRESS" is a node whose id is not known yet.
  void sendFrames(Outbox &Out) {
    std::map<NodeId, std::vector<peering::PeerMessage>> ByNode;
    for (peering::Addressed &A : Out.Peers_)
      ByNode[A.To_].push_back(std::move(A.Message_));
    for (auto &[To, Messages] : ByNode) {
      std::string Address = To.substr(0, 1) == "@" ? To.substr(1) : "";
      if (Address.empty())
        if (auto It = Node_.Members_.Peers_.find(To);
            It != Node_.Members_.Peers_.end())
          Address = It->second.Address_;
      if (Address.empty()) {
        count(Node_.Counters_, "frame-without-address");
        continue;
      }
      auto Bytes = peering::encode({Node_.Self_, To, std::move(Messages)});
      BytesOut_ += Bytes.size();
      if (!Peers_->send(Address, Bytes))
        count(Node_.Counters_, "frame-dropped");
    }
  }

  /// Sends an HTTP call and passes its reply to \p Done on the control thread.
  template <class Fn> void submit(http::ClientCall Call, Fn Done) {
    Client_->submit(std::move(Call), [this, Done](http::ClientReply R) {
      asio::post(Io_, [this, Done, R = std::move(R)]() mutable {
        Outbox Out;
        Done(std::move(R), Out);
        perform(Out);
      });
    });
  }

  void callWorker(const peering::WorkerCall &Call) {
    http::ClientCall C;
    C.Url_ = "http://" + Call.Address_ + standin_wire::pathOf(Call.Op_);
    C.Body_ = standin_wire::toJson(Call).dump();
    C.Timeout_ = WorkerTimeout;
    submit(std::move(C), [this, Call](http::ClientReply R, Outbox &Out) {
      peering::WorkerReply Reply =
          standin_wire::parseWorkerReply(Call, R.Code_, R.Body_);
      if (R.Status_ == http::ClientStatus::NotSent)
        Reply.Status_ = peering::CallStatus::Unreachable;
      else if (R.Status_ != http::ClientStatus::Answered)
        Reply.Status_ = peering::CallStatus::Lost;
      node::onWorkerReply(Node_, now(), Reply, Out);
    });
  }

  static peering::AnswerStatus classify(const http::ClientReply &R) {
    using peering::AnswerStatus;
    switch (R.Status_) {
    case http::ClientStatus::NotSent:
      return AnswerStatus::NotSent;
    case http::ClientStatus::Lost:
      return AnswerStatus::Lost;
    case http::ClientStatus::Truncated:
      return AnswerStatus::Truncated;
    case http::ClientStatus::Timeout:
      return AnswerStatus::Timeout;
    case http::ClientStatus::Answered:
      break;
    }
    if (R.Code_ == 503 && R.Body_ == R"({"refused":"leaving"})")
      return AnswerStatus::Leaving;
    if (R.Code_ == 503 && R.Body_ == R"({"refused":"busy"})")
      return AnswerStatus::Busy;
    return AnswerStatus::Whole;
  }

  void callInstance(const peering::InstanceCall &Call) {
    http::ClientCall C;
    C.Url_ = "http://" + Call.Address_;
    C.Body_ = Call.Body_;
    C.Timeout_ = Call.Timeout_;
    C.Fresh_ = true;
    C.Headers_ = {"X-Pollenvale-Request: " + Call.Echo_};
    submit(std::move(C),
           [this, Id = Call.Call_](http::ClientReply R, Outbox &Out) {
             node::onInstanceReply(
                 Node_, now(),
                 {Id, classify(R), R.Echo_, R.Code_, std::move(R.Body_)}, Out);
           });
  }

  void callAppend(const eventlog::AppendCall &Call) {
    http::ClientCall C;
    C.Url_ = Settings_.LogUrl_ + "/append";
    C.Body_ = standin_wire::toJson(Call.Records_).dump();
    C.Timeout_ = LogTimeout;
    submit(std::move(C),
           [this, Id = Call.Call_](http::ClientReply R, Outbox &Out) {
             using eventlog::AppendStatus;
             bool Refused =
                 R.Status_ == http::ClientStatus::NotSent ||
                 (R.Status_ == http::ClientStatus::Answered && R.Code_ == 503);
             bool Appended =
                 R.Status_ == http::ClientStatus::Answered && R.Code_ == 200;
             node::onAppend(Node_, now(), Id,
                            Refused    ? AppendStatus::Refused
                            : Appended ? AppendStatus::Appended
                                       : AppendStatus::Lost,
                            Out);
           });
  }

  void callRead(const eventlog::ReadCall &Call) {
    http::ClientCall C;
    C.Method_ = "GET";
    C.Url_ = Settings_.LogUrl_ +
             "/read?from=" + std::to_string(Call.FirstOffset_) +
             "&wait_ms=" + std::to_string(Call.Wait_.count());
    C.Timeout_ = LogTimeout;
    submit(std::move(C),
           [this, Id = Call.Call_](http::ClientReply R, Outbox &Out) {
             eventlog::ReadReply Reply;
             if (R.Status_ == http::ClientStatus::Answered && R.Code_ == 200)
               if (auto Parsed = standin_wire::parseReadReply(R.Body_))
                 Reply = std::move(Parsed.value());
             node::onRead(Node_, now(), Id, std::move(Reply), Out);
           });
  }

  void callVmList() {
    http::ClientCall C;
    C.Method_ = "GET";
    C.Url_ = Settings_.VmListUrl_ + "/vms";
    C.Timeout_ = VmListTimeout;
    submit(std::move(C), [this](http::ClientReply R, Outbox &Out) {
      membership::VmList List;
      bool Ok = false;
      if (R.Status_ == http::ClientStatus::Answered && R.Code_ == 200)
        if (auto Parsed = standin_wire::parseVmList(R.Body_)) {
          List = std::move(Parsed.value());
          Ok = true;
        }
      node::onVmList(Node_, now(), Ok, std::move(List), Out);
    });
  }

  settings::Settings Settings_;
  // Destroyed after Io_, whose queue may hold responders of the server.
  std::unique_ptr<http::Server> Server_;
  asio::io_context Io_;
  asio::steady_timer Timer_;
  asio::signal_set Signals_;
  node::Node Node_;
  std::map<std::uint64_t, http::Responder> Responders_; ///< By connection.
  std::uint64_t LastConnection_ = 0;
  std::uint64_t BytesIn_ = 0;
  std::uint64_t BytesOut_ = 0;
  observe::Histogram JobWaits_, RequestWaits_, RequestTimes_;
  std::unique_ptr<http::Client> Client_;
  std::unique_ptr<peernet::PeerSocket> Peers_;
  TimePoint LastCallAt_ = now();
  /// When the last response was first found written after the node stopped.
  std::optional<TimePoint> StoppedAt_;
  TimePoint NextStopReport_{};
};

} // namespace

void runEntry(const settings::Settings &S) { Runtime(S).run(); }

} // namespace pollenvale
