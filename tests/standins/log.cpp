/// \file
/// Stand-in for the platform's log service. POST /admin {"mode": "up" | "down"
/// | "lose-answers" | "hang"} selects an outage, {"slow_ms": N} delays every
/// answer and {"keep": N} removes the records before offset N.
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
  /// Pending reads at the end of the log: offset and responder by read number.
  /// Each is answered by the next append or when its wait time has passed.
  std::map<std::uint64_t, std::pair<Offset, http::Responder>> PendingReads_;
  std::uint64_t LastPendingRead_ = 0;
  std::vector<http::Responder> Hung_; ///< Dropped when the mode changes.
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

void answerPendingReads(Log &L) {
  for (auto &[Id, Waiting] : L.PendingReads_)
    Waiting.second(readReply(L, Waiting.first));
  L.PendingReads_.clear();
}

void onAppend(Log &L, const http::ServerRequest &R, http::Responder Respond) {
  std::vector<eventlog::Record> Records;
  json Doc = json::parse(R.Body_, nullptr, false);
  if (Doc.is_discarded())
    return Respond(reply(400, {{"error", "bad json"}}));
  for (const json &Item : Doc.value("records", json::array())) {
    auto Parsed = eventlog::parseRecord(Item);
    if (!Parsed)
      return Respond(reply(400, {{"error", Parsed.error().Message_}}));
    Records.push_back(std::move(Parsed.value()));
  }
  Offset First = harness::append(L.Model_, std::move(Records));
  answerPendingReads(L);
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
  std::uint64_t Id = ++L.LastPendingRead_;
  L.PendingReads_[Id] = {From, std::move(Respond)};
  auto Timer = std::make_shared<asio::steady_timer>(Io, Wait);
  Timer->async_wait([&L, Id, Timer](std::error_code) {
    std::lock_guard Lock(L.Mutex_);
    auto Found = L.PendingReads_.extract(Id);
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

/// A responder that passes the answer to \p Respond after \p Delay.
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
