#include "http/detail/served_socket.hpp"
#include "http/http.hpp"

#include <algorithm>
#include <atomic>
#include <restinio/all.hpp>

namespace pollenvale::http {

namespace {

using RequestHandler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct Traits : restinio::default_traits_t {
  using request_handler_t = RequestHandler;
};

/// Without locks, for a server that runs on one thread.
struct LoopTraits : restinio::default_single_thread_traits_t {
  using stream_socket_t = detail::ServedSocket;
  using request_handler_t = RequestHandler;
};

using Counter = std::atomic<std::size_t>;

/// Numbers of requests of one server.
struct RequestCounts {
  Counter Unanswered_{0}; ///< Passed to the handler, answer not written.
  Counter Unwritten_{0};  ///< Part of them: passed to the responder.
  std::atomic<std::uint64_t> Answered_{0}; ///< Answer written.
};

/// Counts one request as unanswered during the lifetime of the object.
class PendingAnswer {
public:
  explicit PendingAnswer(std::shared_ptr<RequestCounts> Counts)
      : Counts_(std::move(Counts)) {
    ++Counts_->Unanswered_;
  }
  ~PendingAnswer() {
    --Counts_->Unanswered_;
    if (Responded_)
      --Counts_->Unwritten_;
  }
  PendingAnswer(const PendingAnswer &) = delete;
  PendingAnswer &operator=(const PendingAnswer &) = delete;

  void onRespond() {
    Responded_ = true;
    ++Counts_->Unwritten_;
  }
  void onWritten() { ++Counts_->Answered_; }

private:
  std::shared_ptr<RequestCounts> Counts_;
  bool Responded_ = false;
};

/// A request that has been passed to the handler.
struct PendingRequest {
  restinio::request_handle_t Request_;
  std::shared_ptr<PendingAnswer> Answer_; ///< Null once it is responded.
};

std::string toLowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return char(std::tolower(C)); });
  return Text;
}

ServerRequest convert(const restinio::request_handle_t &Request) {
  ServerRequest Out;
  Out.Method_ = Request->header().method().c_str();
  Out.Path_ = std::string(Request->header().path());
  try {
    auto Query = restinio::parse_query<
        restinio::parse_query_traits::javascript_compatible>(
        Request->header().query());
    for (const auto &[Key, Value] : Query)
      Out.Query_.emplace(std::string(Key), std::string(Value));
  } catch (const std::exception &) {
    Out.Query_.clear();
  }
  Request->header().for_each_field(
      [&](const restinio::http_header_field_t &Field) {
        Out.Headers_[toLowerCase(Field.name())] = Field.value();
      });
  Out.Body_ = Request->body();
  return Out;
}

restinio::http_status_line_t statusLine(int Code) {
  return {restinio::http_status_code_t(std::uint16_t(Code)),
          Code < 400 ? "OK" : "Error"};
}

void respondTruncated(const restinio::request_handle_t &Request,
                      const ServerReply &Reply) {
  auto Response = Request->create_response<restinio::user_controlled_output_t>(
      statusLine(Reply.Code_));
  for (const auto &[Name, Value] : Reply.Headers_)
    Response.append_header(Name, Value);
  Response.set_content_length(Reply.Body_.size());
  Response.append_body(Reply.Body_.substr(0, Reply.Body_.size() / 2));
  Response.connection_close();
  Response.done();
}

void respond(PendingRequest &Pending, ServerReply Reply) {
  std::shared_ptr<PendingAnswer> Answer = std::move(Pending.Answer_);
  if (Reply.Truncate_)
    return respondTruncated(Pending.Request_, Reply);
  auto Response = Pending.Request_->create_response(statusLine(Reply.Code_));
  Response.append_header(restinio::http_field::content_type,
                         Reply.ContentType_);
  for (const auto &[Name, Value] : Reply.Headers_)
    Response.append_header(Name, Value);
  if (Reply.Close_)
    Response.connection_close();
  Response.set_body(std::move(Reply.Body_));
  Answer->onRespond();
  // RESTinio destroys the callback once the answer is written or discarded.
  Response.done([Answer = std::move(Answer)](const asio::error_code &Err) {
    if (!Err)
      Answer->onWritten();
  });
}

/// A running server. \p Shutdown stops it and blocks until it has stopped.
class RestinioServer : public Server {
public:
  RestinioServer(std::shared_ptr<RequestCounts> Counts,
                 std::function<void()> Shutdown)
      : Counts_(std::move(Counts)), Shutdown_(std::move(Shutdown)) {}
  ~RestinioServer() override { close(); }
  std::size_t unwritten() const override { return Counts_->Unwritten_; }
  void stop() override { close(); }

private:
  void close() {
    if (Closed_)
      return;
    Closed_ = true;
    Shutdown_();
  }
  std::shared_ptr<RequestCounts> Counts_;
  std::function<void()> Shutdown_;
  bool Closed_ = false;
};

RequestHandler
makeRequestHandler(Handler Handle,
                   const std::shared_ptr<RequestCounts> &Counts) {
  return
      [Handle = std::move(Handle), Counts](restinio::request_handle_t Request) {
        auto Pending = std::make_shared<PendingRequest>();
        Pending->Request_ = Request;
        Pending->Answer_ = std::make_shared<PendingAnswer>(Counts);
        Handle(convert(Request), [Pending](ServerReply Reply) {
          respond(*Pending, std::move(Reply));
        });
        return restinio::request_accepted();
      };
}

template <class SettingsTraits>
restinio::server_settings_t<SettingsTraits>
makeSettings(const ServerOptions &Options, Handler Handle,
             const std::shared_ptr<RequestCounts> &Counts) {
  // RESTinio's limit on the time that a handler takes to answer.
  constexpr std::chrono::minutes HandleTimeout{11};
  return restinio::server_settings_t<SettingsTraits>{}
      .address(Options.Host_)
      .port(Options.Port_)
      .request_handler(makeRequestHandler(std::move(Handle), Counts))
      .handle_request_timeout(HandleTimeout)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}.max_body_size(HardBodyLimit))
      .cleanup_func([] {});
}

class RestinioLoopServer : public LoopServer {
public:
  RestinioLoopServer(asio::io_context &Io, const ServerOptions &Options,
                     Handler Handle)
      : Server_(makeServer(Io, Options, std::move(Handle))) {
    Server_->open_sync();
  }
  ~RestinioLoopServer() override { Server_->close_sync(); }

  std::size_t unwritten() const override { return Counts_->Unwritten_; }
  void stop() override { Server_->close_sync(); }

  void drain() override {
    // A connection that was accepted before the listener is closed is in the
    // set when the loop comes to the next call.
    Closed_ = !Listener_->is_open();
    TimePoint Now = std::chrono::steady_clock::now();
    if (!Closed_ && mayCloseListener(Now))
      Listener_->close();
    ClosedIdle_ += Sockets_->closeIdle(Now);
  }

  bool isDrained() const override {
    return Closed_ && Sockets_->size() == 0 && Counts_->Unanswered_ == 0;
  }

  ServerLoad load() const override {
    ServerLoad Load;
    Load.Unanswered_ = Counts_->Unanswered_;
    Load.Unwritten_ = Counts_->Unwritten_;
    Load.Unread_ = Sockets_->countUnread();
    if (Listener_->is_open() && detail::hasInput(Listener_->native_handle()))
      ++Load.Unread_;
    Load.PartlyRead_ = Sockets_->countPartlyRead();
    Load.Connections_ = Sockets_->size();
    Load.Answered_ = Counts_->Answered_;
    Load.ClosedIdle_ = ClosedIdle_;
    return Load;
  }

private:
  using LoopHttpServer = restinio::http_server_t<LoopTraits>;

  /// Whether no connection waits to be accepted, or new ones keep coming: those
  /// that waited at first have been accepted meanwhile.
  bool mayCloseListener(TimePoint Now) {
    constexpr Milliseconds MaxBusyTime{500};
    if (!detail::hasInput(Listener_->native_handle()))
      return true;
    if (!BusySince_)
      BusySince_ = Now;
    return Now - *BusySince_ > MaxBusyTime;
  }

  std::unique_ptr<LoopHttpServer> makeServer(asio::io_context &Io,
                                             const ServerOptions &Options,
                                             Handler Handle) {
    auto Settings =
        makeSettings<LoopTraits>(Options, std::move(Handle), Counts_);
    // What tells idle connections from others counts on one request at a time.
    Settings.max_pipelined_requests(1);
    Settings.acceptor_post_bind_hook(
        [this](asio::ip::tcp::acceptor &Listener) { Listener_ = &Listener; });
    asio::use_service<detail::NextSockets>(Io).Sockets_ = Sockets_;
    return std::make_unique<LoopHttpServer>(restinio::external_io_context(Io),
                                            std::move(Settings));
  }

  std::shared_ptr<RequestCounts> Counts_ = std::make_shared<RequestCounts>();
  std::shared_ptr<detail::ServedSockets> Sockets_ =
      std::make_shared<detail::ServedSockets>();
  asio::ip::tcp::acceptor *Listener_ = nullptr; ///< Part of Server_.
  std::unique_ptr<LoopHttpServer> Server_;
  bool Closed_ = false; ///< The listener was closed before the last drain().
  /// When drain() first found connections to be accepted.
  std::optional<TimePoint> BusySince_;
  std::uint64_t ClosedIdle_ = 0;
};

} // namespace

std::unique_ptr<Server> startServer(const ServerOptions &Options,
                                    Handler Handle) {
  auto Counts = std::make_shared<RequestCounts>();
  auto Settings = makeSettings<Traits>(Options, std::move(Handle), Counts);
  std::shared_ptr<
      restinio::running_server_instance_t<restinio::http_server_t<Traits>>>
      Running = restinio::run_async<Traits>(
          restinio::own_io_context(), std::move(Settings), Options.Threads_);
  return std::make_unique<RestinioServer>(std::move(Counts), [Running] {
    Running->stop();
    Running->wait();
  });
}

std::unique_ptr<LoopServer> startServer(asio::io_context &Io,
                                        const ServerOptions &Options,
                                        Handler Handle) {
  return std::make_unique<RestinioLoopServer>(Io, Options, std::move(Handle));
}

} // namespace pollenvale::http
