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

/// Without locks: everything runs on one thread.
struct LoopTraits : restinio::default_single_thread_traits_t {
  using request_handler_t = RequestHandler;
};

using Count = std::atomic<std::size_t>;

/// Counts one answer as unwritten for as long as it exists.
struct Unwritten {
  explicit Unwritten(std::shared_ptr<Count> Total) : Total_(std::move(Total)) {
    ++*Total_;
  }
  ~Unwritten() { --*Total_; }
  Unwritten(const Unwritten &) = delete;
  Unwritten &operator=(const Unwritten &) = delete;
  std::shared_ptr<Count> Total_;
};

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return char(std::tolower(C)); });
  return Text;
}

ServerRequest convert(const restinio::request_handle_t &R) {
  ServerRequest Out;
  Out.Method_ = R->header().method().c_str();
  Out.Path_ = std::string(R->header().path());
  try {
    auto Query = restinio::parse_query<
        restinio::parse_query_traits::javascript_compatible>(
        R->header().query());
    for (const auto &[Key, Value] : Query)
      Out.Query_.emplace(std::string(Key), std::string(Value));
  } catch (const std::exception &) {
    Out.Query_.clear();
  }
  R->header().for_each_field([&](const restinio::http_header_field_t &F) {
    Out.Headers_[lower(F.name())] = F.value();
  });
  Out.Body_ = R->body();
  return Out;
}

restinio::http_status_line_t statusLine(int Code) {
  return {restinio::http_status_code_t(std::uint16_t(Code)),
          Code < 400 ? "OK" : "Error"};
}

void respondTruncated(const restinio::request_handle_t &R,
                      const ServerReply &Reply) {
  auto Response = R->create_response<restinio::user_controlled_output_t>(
      statusLine(Reply.Code_));
  for (const auto &[Name, Value] : Reply.Headers_)
    Response.append_header(Name, Value);
  Response.set_content_length(Reply.Body_.size());
  Response.append_body(Reply.Body_.substr(0, Reply.Body_.size() / 2));
  Response.connection_close();
  Response.done();
}

void respond(const restinio::request_handle_t &R, ServerReply Reply,
             const std::shared_ptr<Count> &Total) {
  if (Reply.Truncate_)
    return respondTruncated(R, Reply);
  auto Response = R->create_response(statusLine(Reply.Code_));
  Response.append_header(restinio::http_field::content_type,
                         Reply.ContentType_);
  for (const auto &[Name, Value] : Reply.Headers_)
    Response.append_header(Name, Value);
  if (Reply.Close_)
    Response.connection_close();
  Response.set_body(std::move(Reply.Body_));
  // The server drops the callback once the bytes are written or given up.
  Response.done(
      [Held = std::make_shared<Unwritten>(Total)](const asio::error_code &) {});
}

/// A running server; \p Close ends it and waits for that.
class RestinioServer : public Server {
public:
  RestinioServer(std::shared_ptr<Count> Total, std::function<void()> Close)
      : Total_(std::move(Total)), Close_(std::move(Close)) {}
  ~RestinioServer() override { close(); }
  std::size_t unwritten() const override { return *Total_; }
  void stop() override { close(); }

private:
  void close() {
    if (Closed_)
      return;
    Closed_ = true;
    Close_();
  }
  std::shared_ptr<Count> Total_;
  std::function<void()> Close_;
  bool Closed_ = false;
};

RequestHandler wrap(Handler Handle, const std::shared_ptr<Count> &Total) {
  return [Handle = std::move(Handle), Total](restinio::request_handle_t R) {
    Handle(convert(R), [R, Total](ServerReply Reply) {
      respond(R, std::move(Reply), Total);
    });
    return restinio::request_accepted();
  };
}

template <class SettingsTraits>
restinio::server_settings_t<SettingsTraits>
makeSettings(const ServerOptions &Options, Handler Handle,
             const std::shared_ptr<Count> &Total) {
  constexpr std::chrono::minutes HandleTimeout{11};
  return restinio::server_settings_t<SettingsTraits>{}
      .address(Options.Host_)
      .port(Options.Port_)
      .request_handler(wrap(std::move(Handle), Total))
      .handle_request_timeout(HandleTimeout)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}.max_body_size(HardBodyLimit))
      .cleanup_func([] {});
}

} // namespace

std::unique_ptr<Server> startServer(const ServerOptions &Options,
                                    Handler Handle) {
  auto Total = std::make_shared<Count>(0);
  auto Settings = makeSettings<Traits>(Options, std::move(Handle), Total);
  std::shared_ptr<
      restinio::running_server_instance_t<restinio::http_server_t<Traits>>>
      Running = restinio::run_async<Traits>(
          restinio::own_io_context(), std::move(Settings), Options.Threads_);
  return std::make_unique<RestinioServer>(std::move(Total), [Running] {
    Running->stop();
    Running->wait();
  });
}

std::unique_ptr<Server> startServer(asio::io_context &Io,
                                    const ServerOptions &Options,
                                    Handler Handle) {
  auto Total = std::make_shared<Count>(0);
  auto Settings = makeSettings<LoopTraits>(Options, std::move(Handle), Total);
  auto Running = std::make_shared<restinio::http_server_t<LoopTraits>>(
      restinio::external_io_context(Io), std::move(Settings));
  Running->open_sync();
  return std::make_unique<RestinioServer>(std::move(Total),
                                          [Running] { Running->close_sync(); });
}

} // namespace pollenvale::http
