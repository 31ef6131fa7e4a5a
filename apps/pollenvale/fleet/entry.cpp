#include "fleet/entry.hpp"

#include "fleet/caller_service.hpp"
#include "fleet/claim_writes.hpp"
#include "fleet/clock.hpp"
#include "fleet/configuration.hpp"
#include "fleet/graceful_stop.hpp"
#include "fleet/job_copies.hpp"
#include "fleet/loop_watch.hpp"
#include "fleet/owned_slices.hpp"
#include "fleet/peer_directory.hpp"
#include "fleet/policy_calls.hpp"
#include "fleet/readiness.hpp"
#include "fleet/served_services.hpp"
#include "fleet/turn_timer.hpp"
#include "fleet/worker_registry.hpp"
#include "observe/observe.hpp"
#include "process.hpp"
#include "relay/relay.hpp"

#include <asio.hpp>
#include <csignal>

namespace pollenvale::fleet {

using observe::Level;

namespace {

constexpr Milliseconds TickInterval{25};
/// TCP resends a lost SYN only after a second; a new connection is faster.
constexpr Milliseconds ConnectTimeout{400};
/// Least time between two reads of a partition in which this entry owns no
/// slice: writers announce their records, reads find lost announcements.
constexpr Milliseconds CopySpacing{1'000};
/// The same in a fleet too large for writers to announce their records.
constexpr Milliseconds UnannouncedSpacing{500};
constexpr Milliseconds OwnerSpacing{100};
constexpr Milliseconds ClaimWait{700};
constexpr Milliseconds ClaimSpacing{200};
constexpr Milliseconds ConfigWait{1'000};
/// Added to the time in which callers may ask for the state of a closed job.
constexpr Milliseconds ClosedJobsMargin{60'000};

class Entry {
public:
  explicit Entry(platform::Boot B)
      : Boot_(std::move(B)), Timer_(Io_), Signals_(Io_, SIGTERM, SIGHUP),
        Http_(http::makeClient(Io_)), Client_(Boot_, *Http_, ConnectTimeout) {
    Claims_.Options_.Self_ = makeIncarnation(Boot_.NodeName_);
    Claims_.Options_.Address_ =
        Boot_.Host_ + ":" + std::to_string(Boot_.FirstPeerPort_);
    Claims_.Options_.Cpu_ = Boot_.Cpu_;
    Claims_.Options_.StartedAt_ = now();
    Intake_.Store_ = &Store_;
    Intake_.TopicPartitions_ = Boot_.StorePartitions_;
    Intake_.StoreLimits_ = Boot_.StoreLimits_;
    Intake_.Clock_ = now;
    Intake_.EnsureKnown_ =
        std::bind_front(ownership::ensureKnown, std::ref(Claims_));
  }

  void run() {
    openSockets();
    followConfig();
    followClaims();
    waitForSignal();
    observe::log(Level::Info, "started",
                 {{"self", Claims_.Options_.Self_},
                  {"callers", Boot_.CallerAddress_},
                  {"store", Boot_.StoreAddress_}});
    scheduleTick();
    Io_.run();
    logStopped();
    std::fflush(nullptr);
    std::quick_exit(0);
  }

private:
  relay::RelayPorts makePorts() {
    relay::RelayPorts Ports;
    Ports.DirectStore_ = &Client_;
    Ports.Self_ = Boot_.Host_ + ":" + std::to_string(Boot_.FirstPeerPort_);
    Ports.Clock_ = now;
    Ports.Send_ = [this](const std::string &Address, const std::string &Bytes) {
      return Peers_.send(Address, FrameKind::Store, Bytes);
    };
    Ports.AnnouncedTopic_ = intake::JobTopic;
    Ports.OnStored_ = [this](std::uint32_t Partition,
                             std::vector<ledger::KeyedRecord> Records) {
      Copies_.deliver(Partition, std::move(Records));
    };
    Ports.OnPeerSuspected_ = std::bind_front(&PeerChannel::suspect, &Peers_);
    return Ports;
  }

  void openSockets() {
    auto Listen = [this](const HostAndPort &A, http::Handler Handle) {
      return http::startServer(Io_, {A.Host_, A.Port_, 1}, std::move(Handle));
    };
    ReadinessServer_ = Listen(
        splitAddress(Boot_.ReadinessAddress_),
        [this](const http::ServerRequest &R, const http::Responder &Respond) {
          onReadiness(R, Respond);
        });
    CallerServer_ = Listen(
        splitAddress(Boot_.CallerAddress_),
        [this](const http::ServerRequest &R, const http::Responder &Respond) {
          serveCaller(R, Respond);
        });
    const std::string &Self = Claims_.Options_.Address_;
    Peers_.open(Self);
    PolicyCalls_.open(Self);
    Starts_.open(Self);
    Peers_.subscribe(FrameKind::Store, [this](const std::string &Bytes) {
      Store_.onMessage(relay::decode(Bytes));
    });
  }

  void followConfig() {
    ConfigFollower_ = startFollower(
        Store_, ConfigTail_, {{platform::OperatorTopic, 0}, ConfigWait, {}},
        {[this](const ledger::KeyedRecord &R) { onConfig(R); }, {}, [] {}});
  }

  void followClaims() {
    ClaimFollower_ = startFollower(
        Store_, ClaimTail_, {claimPartition(), ClaimWait, ClaimSpacing},
        {[this](const ledger::KeyedRecord &R) {
           ownership::onRecord(Claims_, R, now());
         },
         [this](const std::set<std::string> &Keys) {
           ownership::onLoaded(Claims_, Keys, ClaimTail_.Next_, now());
         },
         [this] {
           ownership::onContact(Claims_, ClaimTail_.CurrentAt_, now());
           syncOwners();
           postDueWork();
         },
         [this] { ownership::onLoadBegins(Claims_); }});
  }

  void onConfig(const ledger::KeyedRecord &R) {
    workflow::Catalog Before = Config_.Catalog_;
    if (!applyRecord(Config_, R, Counters_))
      return;
    intake::onCatalog(Intake_, Before, Config_.Catalog_);
    followJobs();
    Slices_.onCatalog();
    postDueWork();
  }

  /// Follows the jobs of all services that are served. Owners that have lost
  /// their claim must have been removed before, as their copy may be dropped.
  void followJobs() {
    if (!Config_.Known_)
      return;
    Services_.update(Config_.Catalog_, Claims_, Intake_);
    // A copy may show an open job of a service whose claim has been removed.
    for (const ServiceName &Service : Services_.notIn(Config_.Catalog_))
      ownership::ensureKnown(Claims_, Service);
    Copies_.followOnly(Services_.partitions(Boot_.StorePartitions_));
  }

  void onJobAccepted(std::uint32_t Partition, const JobId &Job) {
    const auto &Jobs = Intake_.Partitions_.at(Partition).Replica_.Jobs_;
    Services_.onJobAccepted(Jobs.at(Job).Accepted_.Queue_.Service_);
  }

  void tickClaims() {
    std::optional<Offset> End;
    if (ClaimTail_.Loaded_ && !ClaimTail_.Loading_)
      End = ClaimTail_.Next_;
    for (ownership::Write &W :
         ownership::tick(Claims_, Services_.names(), End, now()))
      writeClaim(std::move(W));
    syncOwners();
  }

  void writeClaim(ownership::Write W) {
    logRelease(W, Stop_.has_value());
    Store_.append(makeAppend(W), [this, W](const ledger::AppendReply &R) {
      ownership::onWritten(Claims_, W, R, now());
      if (R.Status_ == ledger::StoreStatus::Moved ||
          W.Kind_ == ownership::Write::Kind::Name)
        ledger::scheduleReadBy(ClaimTail_, now());
      postDueWork();
    });
  }

  void syncOwners() {
    Slices_.sync(Claims_);
    followJobs();
    for (auto &[Number, Copy] : Intake_.Partitions_)
      Copy.Tail_.Options_.Spacing_ = spacingOf(Number);
    if (Slices_.empty())
      Registry_.unfollow();
  }

  Milliseconds spacingOf(std::uint32_t Number) const {
    if (Slices_.ownsPartition(Number))
      return OwnerSpacing;
    return Store_.announcesRecords() ? CopySpacing : UnannouncedSpacing;
  }

  SliceContext contextFor(const ownership::SliceName &Slice) {
    Registry_.follow();
    SliceContext Context;
    Context.PartitionNumber_ =
        intake::partitionOf(Slice, Boot_.StorePartitions_);
    Copies_.follow(Context.PartitionNumber_);
    Context.Client_ = &Client_;
    Context.Store_ = &Store_;
    Context.Catalog_ = &Config_.Catalog_;
    Context.Registry_ = &Registry_;
    Context.Partition_ = &Intake_.Partitions_.at(Context.PartitionNumber_);
    Context.RequestAdvice_ = [this](scheduler::AdviceCall Call) {
      PolicyCalls_.enqueue(std::move(Call));
    };
    Context.Starts_ = &Starts_;
    Context.PostDueWork_ = [this] { postDueWork(); };
    Context.MaxLease_ = Boot_.MaxLease_;
    Context.DrainLimit_ = Boot_.DrainLimit_;
    Context.CancelLimit_ = Boot_.CancelLimit_;
    Context.StoreLimits_ = Boot_.StoreLimits_;
    Context.ClosedJobRetention_ = Boot_.ClosedJobRetention_ + ClosedJobsMargin;
    return Context;
  }

  void serveCaller(const http::ServerRequest &R,
                   const http::Responder &Respond) {
    bool Loaded = ClaimTail_.Loaded_ && unloadedPartitions(Intake_).empty();
    if (!Config_.Known_ || !Loaded) {
      count(Counters_, "not-ready-rejected");
      ReadinessLog_.addRejected();
    }
    Service_.serve(R, Respond, Loaded);
  }

  void onReadiness(const http::ServerRequest &R,
                   const http::Responder &Respond) {
    if (R.Path_ == "/metrics") {
      http::ServerReply Reply{200, metrics()};
      Reply.ContentType_ = "text/plain";
      return Respond(std::move(Reply));
    }
    Readiness State = readiness();
    if (State == Readiness::Ready)
      return Respond({200, "{}"});
    Respond({503, R"({"error":"not ready","reason":")" +
                      std::string(toString(State)) + "\"}"});
  }

  std::string metrics() const {
    Counters All = Counters_;
    for (const Counters *Source :
         {&Client_.Counters_, &Intake_.Counters_, &Store_.Counters_})
      All.insert(Source->begin(), Source->end());
    Slices_.addCounters(All);
    Copies_.addCounters(All);
    All["record-unreadable"] += Claims_.UnreadableRecords_;
    LoopWatch_.addCounters(All);
    return observe::expose(All) + LoopWatch_.expose();
  }

  Readiness readiness() const {
    return readinessOf({Stop_.has_value(), Config_.Known_, ClaimTail_.Loaded_},
                       Intake_, now());
  }

  void postDueWork() { DueWork_.request(); }

  /// Whether any data that a new owner in \p Partition needs is stale.
  bool isStoreStale(std::uint32_t Partition) const {
    auto Stale = [](const ledger::Tail &T) {
      return ledger::isStale(T, now());
    };
    return Stale(ConfigTail_) || Stale(ClaimTail_) ||
           Stale(Intake_.Partitions_.at(Partition).Tail_);
  }

  void refreshPeers() {
    if (!PeerDirectory_.refresh(Claims_, now()))
      return;
    DueWork_.setSpacing(turnSpacing(Slices_.workerCount()));
    relay::setPeers(Store_.Router_, PeerDirectory_.all());
    PolicyCalls_.setPeers(PeerDirectory_.all());
    Starts_.setPeers(PeerDirectory_.idle());
  }

  void runDueWork() {
    Slices_.runDueWork(
        [this](const ownership::SliceName &Slice) {
          return ownership::authorityOver(Claims_, Slice);
        },
        [this](std::uint32_t Partition) { return isStoreStale(Partition); });
    PolicyCalls_.runDueWork();
    Starts_.runDueWork();
  }

  void scheduleTick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([this](std::error_code Err) {
      if (Err)
        return;
      LoopWatch_.onTick(now());
      ReadinessLog_.update(readiness(), Intake_, now());
      tickClaims();
      refreshPeers();
      Store_.tick();
      intake::tick(Intake_, now());
      for (auto &F : {ConfigFollower_, ClaimFollower_})
        F->poll();
      Registry_.poll();
      Copies_.poll();
      runDueWork();
      if (Stop_)
        Stop_->proceed();
      if (Stop_ && Stop_->mayEnd(Claims_.Releases_.empty()))
        Io_.stop();
      else
        scheduleTick();
    });
  }

  void waitForSignal() {
    Signals_.async_wait([this](std::error_code Err, int Signal) {
      if (Err)
        return;
      if (Signal == SIGHUP)
        checkSettings();
      else
        beginStop();
      waitForSignal();
    });
  }

  /// Only logs whether the settings file is valid; applies nothing.
  void checkSettings() {
    auto B = platform::loadBoot(BootFile_);
    observe::log(B ? Level::Info : Level::Error, "settings-read",
                 {{"message", B ? "" : B.error().Message_}});
  }

  void beginStop() {
    if (Stop_)
      return;
    Service_.CloseConnections_ = true;
    Claims_.Stopping_ = true;
    Stop_.emplace(*CallerServer_, *ReadinessServer_, Intake_, Boot_.StopGrace_,
                  Slices_.size());
    tickClaims();
  }

  void logStopped() const {
    nlohmann::json Fields = Client_.Counters_;
    Fields.update(Stop_->summary());
    observe::log(Level::Info, "stopped", Fields);
  }

public:
  std::string BootFile_;

private:
  platform::Boot Boot_;
  asio::io_context Io_{1};
  asio::steady_timer Timer_;
  asio::signal_set Signals_;
  std::unique_ptr<http::Client> Http_;
  platform::Client Client_;
  LoopWatch LoopWatch_{TickInterval, *Http_};
  ReadinessLog ReadinessLog_;
  std::unique_ptr<http::LoopServer> ReadinessServer_;
  std::unique_ptr<http::LoopServer> CallerServer_;

  Counters Counters_;
  PeerChannel Peers_{Io_, Counters_};
  PeerDirectory PeerDirectory_;
  relay::RelayStore Store_{makePorts()};
  Configuration Config_;
  ledger::Tail ConfigTail_, ClaimTail_;
  std::shared_ptr<Follower> ConfigFollower_, ClaimFollower_;
  intake::Intake Intake_;
  ServedServices Services_;
  JobCopies Copies_{
      Store_,
      Intake_,
      {[this](std::uint32_t Partition, const ledger::Change &Change) {
         if (Change.Kind_ == ledger::Change::Kind::Accepted)
           onJobAccepted(Partition, Change.Job_);
         Slices_.onRecord(Partition, Change);
       },
       [this] {
         intake::onCopyUpdated(Intake_, now());
         postDueWork();
       }}};
  PolicyCalls PolicyCalls_{Peers_, Client_, Counters_,
                           [this](const scheduler::AdviceCall &Call,
                                  const scheduler::AdviceReply &Reply) {
                             Slices_.onAdvice(Call, Reply);
                             postDueWork();
                           }};
  StartCalls Starts_{Peers_, Client_, Intake_.Partitions_, Counters_};
  CallerService Service_{Intake_, Config_.Catalog_, Config_.Known_, Counters_};
  WorkerRegistry Registry_{
      Store_,
      Counters_,
      {[this](const scheduler::WorkerInfo &Info) { Slices_.onWorker(Info); },
       [this](const WorkerId &Id) { Slices_.onWorkerGone(Id); },
       [this] { postDueWork(); }}};

  ownership::State Claims_;
  OwnedSlices Slices_{
      [this](const ownership::SliceName &Slice) { return contextFor(Slice); }};

  TurnTimer DueWork_{Io_, turnSpacing(0), [this] { runDueWork(); }};
  std::optional<GracefulStop> Stop_; ///< Set by SIGTERM.
};

} // namespace

int runEntry(const char *BootFile) {
  auto B = platform::loadBoot(BootFile);
  if (!B) {
    std::fprintf(stderr, "%s\n", B.error().Message_.c_str());
    constexpr int BadUsage = 2;
    return BadUsage;
  }
  observe::startLogging(B.value().NodeName_, "info");
  try {
    Entry E(B.value());
    E.BootFile_ = BootFile;
    E.run();
  } catch (const std::exception &E) {
    observe::log(Level::Error, "failed", {{"message", E.what()}});
    return 1;
  }
  return 0;
}

} // namespace pollenvale::fleet
