/// \file
/// Stand-in of the platform's log service. POST /admin {"mode": "up" | "down" |
/// "lose-answers" | "hang"} switches outages, {"slow_ms": N} delays every
/// answer,
/// {"keep": N} trims.
#include "harness/log_model.hpp"
#include "standin.hpp"
#include "standin_wire/standin_wire.hpp"

#include <condition_variable>

using namespace pollenvale;
using namespace pollenvale::standins;

namespace {

struct Log {
  std::mutex Mutex_;
  harness::LogModel Model_;
  std::string Mode_ = "up";
  Milliseconds Delay_{0};
  /// Readers at the end of the log, each answered by an append or its timer.
  std::map<std::uint64_t, std::pair<Offset, http::Responder>> Waiting_;
  std::uint64_t LastWait_ = 0;
  std::vector<http::Responder> Hung_;
};

constexpr std::size_t ReadLimit = 5'000;

http::ServerReply readReply(Log &L, Offset From) {
  auto R = harness::read(L.Model_, From, ReadLimit);
  json Records = json::array();
  for (const auto &S : R.Records_)
    Records.push_back(
        {{"offset", S.Offset_}, {"record", eventlog::toJson(S.Record_)}});
  return reply(200, {{"earliest", R.Earliest_},
                     {"next", R.Next_},
                     {"end", R.End_},
                     {"records", Records}});
}

void wakeReaders(Log &L) {
  for (auto &[Id, Waiting] : L.Waiting_)
    Waiting.second(readReply(L, Waiting.first));
  L.Waiting_.clear();
}

void onAppend(Log &L, const http::ServerRequest &R, http::Responder Respond) {
  std::vector<eventlog::Record> Records;
  json Doc = json::parse(R.Body_, nullptr, false);
  if (Doc.is_discarded())
    return Respond(reply(400, {{"error", "bad json"}}));
  for (const json &One : Doc.value("records", json::array())) {
    auto Parsed = eventlog::parseRecord(One);
    if (!Parsed)
      return Respond(reply(400, {{"error", Parsed.error().Message_}}));
    Records.push_back(std::move(Parsed.value()));
  }
  Offset First = harness::append(L.Model_, std::move(Records));
  wakeReaders(L);
  if (L.Mode_ == "lose-answers")
    L.Hung_.push_back(std::move(Respond));
  else
    Respond(reply(200, {{"first", First}}));
}

void onRead(Log &L, asio::io_context &Io, const http::ServerRequest &R,
            http::Responder Respond) {
  auto Number = [&](const char *Key) -> std::uint64_t {
    auto It = R.Query_.find(Key);
    return It == R.Query_.end() ? 0 : std::stoull(It->second);
  };
  Offset From = Number("from");
  auto Wait = Milliseconds(Number("wait_ms"));
  if (From < L.Model_.Next_ || Wait == Milliseconds(0))
    return Respond(readReply(L, From));
  std::uint64_t Id = ++L.LastWait_;
  L.Waiting_[Id] = {From, std::move(Respond)};
  auto Timer = std::make_shared<asio::steady_timer>(Io, Wait);
  Timer->async_wait([&L, Id, Timer](std::error_code) {
    std::lock_guard Lock(L.Mutex_);
    auto Found = L.Waiting_.extract(Id);
    if (!Found.empty())
      Found.mapped().second(readReply(L, Found.mapped().first));
  });
}

void onAdmin(Log &L, const http::ServerRequest &R, http::Responder Respond) {
  json Doc = json::parse(R.Body_, nullptr, false);
  if (Doc.contains("mode")) {
    L.Mode_ = Doc["mode"];
    L.Hung_.clear();
  }
  if (Doc.contains("slow_ms"))
    L.Delay_ = Milliseconds(Doc["slow_ms"]);
  if (Doc.contains("keep"))
    harness::trim(L.Model_, Doc["keep"]);
  Respond(reply(200, {{"mode", L.Mode_},
                      {"next", L.Model_.Next_},
                      {"appends", L.Model_.Appends_}}));
}

/// Answers \p Delay after it is called.
http::Responder delayed(asio::io_context &Io, Milliseconds Delay,
                        http::Responder Respond) {
  return [&Io, Delay, Respond = std::move(Respond)](http::ServerReply Reply) {
    auto Timer = std::make_shared<asio::steady_timer>(Io, Delay);
    Timer->async_wait(
        [Respond, Timer, Reply](std::error_code) { Respond(Reply); });
  };
}

} // namespace

int main(int Count, char **Values) {
  asio::io_context Io;
  Log L;
  return serve(Io, Count, Values,
               [&](http::ServerRequest R, http::Responder Respond) {
                 std::lock_guard Lock(L.Mutex_);
                 if (R.Path_ == "/admin")
                   return onAdmin(L, R, std::move(Respond));
                 if (L.Mode_ == "down")
                   return Respond(reply(503, {{"error", "outage"}}));
                 if (L.Delay_ > Milliseconds(0))
                   Respond = delayed(Io, L.Delay_, std::move(Respond));
                 if (L.Mode_ == "hang") {
                   L.Hung_.push_back(std::move(Respond));
                   return;
                 }
                 if (R.Path_ == "/append")
                   return onAppend(L, R, std::move(Respond));
                 if (R.Path_ == "/read")
                   return onRead(L, Io, R, std::move(Respond));
                 Respond(reply(404, {{"error", "unknown path"}}));
               });
}
