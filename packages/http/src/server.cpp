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
  using request_handler_t = RequestHandler;
};

using Counter = std::atomic<std::size_t>;

/// Counts one answer as unwritten during the lifetime of the object.
struct UnwrittenAnswer {
  explicit UnwrittenAnswer(std::shared_ptr<Counter> UnwrittenCount)
      : UnwrittenCount_(std::move(UnwrittenCount)) {
    ++*UnwrittenCount_;
  }
  ~UnwrittenAnswer() { --*UnwrittenCount_; }
  UnwrittenAnswer(const UnwrittenAnswer &) = delete;
  UnwrittenAnswer &operator=(const UnwrittenAnswer &) = delete;
  std::shared_ptr<Counter> UnwrittenCount_;
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

void respond(const restinio::request_handle_t &Request, ServerReply Reply,
             const std::shared_ptr<Counter> &UnwrittenCount) {
  if (Reply.Truncate_)
    return respondTruncated(Request, Reply);
  auto Response = Request->create_response(statusLine(Reply.Code_));
  Response.append_header(restinio::http_field::content_type,
                         Reply.ContentType_);
  for (const auto &[Name, Value] : Reply.Headers_)
    Response.append_header(Name, Value);
  if (Reply.Close_)
    Response.connection_close();
  Response.set_body(std::move(Reply.Body_));
  // RESTinio destroys the callback once the answer is written or discarded.
  Response.done([Guard = std::make_shared<UnwrittenAnswer>(UnwrittenCount)](
                    const asio::error_code &) {});
}

/// A running server. \p Shutdown stops it and blocks until it has stopped.
class RestinioServer : public Server {
public:
  RestinioServer(std::shared_ptr<Counter> UnwrittenCount,
                 std::function<void()> Shutdown)
      : UnwrittenCount_(std::move(UnwrittenCount)),
        Shutdown_(std::move(Shutdown)) {}
  ~RestinioServer() override { close(); }
  std::size_t unwritten() const override { return *UnwrittenCount_; }
  void stop() override { close(); }

private:
  void close() {
    if (Closed_)
      return;
    Closed_ = true;
    Shutdown_();
  }
  std::shared_ptr<Counter> UnwrittenCount_;
  std::function<void()> Shutdown_;
  bool Closed_ = false;
};

class RestinioLoopServer : public LoopServer {
public:
  RestinioLoopServer(std::shared_ptr<Counter> UnwrittenCount,
                     std::function<void()> Shutdown)
      : Server_(std::move(UnwrittenCount), std::move(Shutdown)) {}
  std::size_t unwritten() const override { return Server_.unwritten(); }
  void stop() override { Server_.stop(); }
  void drain() override {}
  bool isDrained() const override { return unwritten() == 0; }
  ServerLoad load() const override { return {}; }

private:
  RestinioServer Server_;
};

RequestHandler
makeRequestHandler(Handler Handle,
                   const std::shared_ptr<Counter> &UnwrittenCount) {
  return [Handle = std::move(Handle),
          UnwrittenCount](restinio::request_handle_t Request) {
    Handle(convert(Request), [Request, UnwrittenCount](ServerReply Reply) {
      respond(Request, std::move(Reply), UnwrittenCount);
    });
    return restinio::request_accepted();
  };
}

template <class SettingsTraits>
restinio::server_settings_t<SettingsTraits>
makeSettings(const ServerOptions &Options, Handler Handle,
             const std::shared_ptr<Counter> &UnwrittenCount) {
  // RESTinio's limit on the time that a handler takes to answer.
  constexpr std::chrono::minutes HandleTimeout{11};
  return restinio::server_settings_t<SettingsTraits>{}
      .address(Options.Host_)
      .port(Options.Port_)
      .request_handler(makeRequestHandler(std::move(Handle), UnwrittenCount))
      .handle_request_timeout(HandleTimeout)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}.max_body_size(HardBodyLimit))
      .cleanup_func([] {});
}

} // namespace

std::unique_ptr<Server> startServer(const ServerOptions &Options,
                                    Handler Handle) {
  auto UnwrittenCount = std::make_shared<Counter>(0);
  auto Settings =
      makeSettings<Traits>(Options, std::move(Handle), UnwrittenCount);
  std::shared_ptr<
      restinio::running_server_instance_t<restinio::http_server_t<Traits>>>
      Running = restinio::run_async<Traits>(
          restinio::own_io_context(), std::move(Settings), Options.Threads_);
  return std::make_unique<RestinioServer>(std::move(UnwrittenCount), [Running] {
    Running->stop();
    Running->wait();
  });
}

std::unique_ptr<LoopServer> startServer(asio::io_context &Io,
                                        const ServerOptions &Options,
                                        Handler Handle) {
  auto UnwrittenCount = std::make_shared<Counter>(0);
  auto Settings =
      makeSettings<LoopTraits>(Options, std::move(Handle), UnwrittenCount);
  auto Running = std::make_shared<restinio::http_server_t<LoopTraits>>(
      restinio::external_io_context(Io), std::move(Settings));
  Running->open_sync();
  return std::make_unique<RestinioLoopServer>(
      std::move(UnwrittenCount), [Running] { Running->close_sync(); });
}

} // namespace pollenvale::http
