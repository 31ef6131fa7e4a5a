/// \file
/// Stand-in for all instances of a cell: each path is an instance with 8 slots.
/// The body {"id", "run_ms", "fault"} selects the behaviour; fault is truncate,
/// hang or wrong-echo. POST /admin {"leaving": PATH} makes an instance refuse
/// requests as leaving. GET /stats returns how often each id ran.
#include "standin.hpp"

#include <set>

using namespace pollenvale;
using namespace pollenvale::standins;

namespace {

constexpr int SlotsPerInstance = 8;

struct Instances {
  std::mutex Mutex_;
  std::map<std::string, int> Busy_;   ///< Busy slots by path.
  std::set<std::string> Leaving_;     ///< Paths.
  std::map<std::string, int> Runs_;   ///< Number of runs by request id.
  std::map<std::string, int> Served_; ///< Number of requests by path.
  int MostBusy_ = 0; ///< Highest number of busy slots of one instance so far.
  std::vector<http::Responder> Hung_; ///< Left unanswered.
};

void finish(Instances &S, const http::ServerRequest &R, const json &Doc,
            const http::Responder &Respond) {
  --S.Busy_[R.Path_];
  auto Header = R.Headers_.find("x-pollenvale-request");
  std::string Echo = Header == R.Headers_.end() ? "" : Header->second;
  std::string Fault = Doc.value("fault", "");
  if (Fault == "wrong-echo")
    Echo = "other/1/1";
  http::ServerReply Reply = reply(
      200,
      {{"id", Doc.value("id", "")}, {"echo", Echo}, {"instance", R.Path_}});
  Reply.Headers_["X-Pollenvale-Echo"] = Echo;
  Reply.Truncate_ = Fault == "truncate";
  Respond(std::move(Reply));
}

void onRequest(Instances &S, asio::io_context &Io, http::ServerRequest R,
               http::Responder Respond) {
  if (S.Leaving_.count(R.Path_))
    return Respond(reply(503, {{"refused", "leaving"}}));
  if (S.Busy_[R.Path_] >= SlotsPerInstance)
    return Respond(reply(503, {{"refused", "busy"}}));
  json Doc = json::parse(R.Body_, nullptr, false);
  if (!Doc.is_object())
    Doc = json::object();
  S.MostBusy_ = std::max(S.MostBusy_, ++S.Busy_[R.Path_]);
  ++S.Runs_[Doc.value("id", "")];
  ++S.Served_[R.Path_];
  if (Doc.value("fault", "") == "hang") {
    S.Hung_.push_back(std::move(Respond));
    return;
  }
  auto Timer = std::make_shared<asio::steady_timer>(
      Io, std::chrono::milliseconds(Doc.value("run_ms", 5)));
  Timer->async_wait(
      [&S, R = std::move(R), Doc, Respond, Timer](std::error_code) {
        std::lock_guard Lock(S.Mutex_);
        finish(S, R, Doc, Respond);
      });
}

json stats(const Instances &S) {
  int Most = 0;
  for (const auto &[Id, Times] : S.Runs_)
    Most = std::max(Most, Times);
  return {{"most_busy", S.MostBusy_},
          {"most_runs_of_one_id", Most},
          {"runs", S.Runs_},
          {"served", S.Served_}};
}

} // namespace

int main(int Count, char **Values) {
  asio::io_context Io;
  auto Work = asio::make_work_guard(Io);
  Instances S;
  return serve(Io, Count, Values,
               [&](http::ServerRequest R, http::Responder Respond) {
                 std::lock_guard Lock(S.Mutex_);
                 if (R.Path_ == "/stats")
                   return Respond(reply(200, stats(S)));
                 if (R.Path_ == "/admin") {
                   json Doc = json::parse(R.Body_, nullptr, false);
                   S.Leaving_.insert(Doc.at("leaving"));
                   return Respond(reply(200, json::object()));
                 }
                 onRequest(S, Io, std::move(R), std::move(Respond));
               });
}
