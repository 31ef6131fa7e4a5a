/// \file
/// Stand-in for the platform's VM list. The second argument is a file with the
/// initial list; POST /admin {"name", "leaving" | "gone" | "add"} changes it,
/// {"lag_ms"} delays the time at which readers see changes, and {"down"} makes
/// reads fail.
#include "standin.hpp"

#include <fstream>

using namespace pollenvale;
using namespace pollenvale::standins;

namespace {

struct List {
  std::mutex Mutex_;
  std::map<std::string, json> Vms_;
  json Shown_; ///< The list that readers get.
  std::uint64_t Version_ = 1;
  std::chrono::milliseconds Lag_{0};
  bool Down_ = false;
};

json render(const List &L) {
  json Out = {{"version", L.Version_}, {"vms", json::array()}};
  for (const auto &[Name, Vm] : L.Vms_)
    Out["vms"].push_back(Vm);
  return Out;
}

void publish(List &L, asio::io_context &Io) {
  auto Timer = std::make_shared<asio::steady_timer>(Io, L.Lag_);
  Timer->async_wait([&L, Shown = render(L), Timer](std::error_code) {
    std::lock_guard Lock(L.Mutex_);
    L.Shown_ = Shown;
  });
}

void onAdmin(List &L, asio::io_context &Io, const http::ServerRequest &R) {
  json Doc = json::parse(R.Body_, nullptr, false);
  std::string Name = Doc.value("name", "");
  if (Doc.contains("lag_ms"))
    L.Lag_ = std::chrono::milliseconds(Doc["lag_ms"].get<int>());
  if (Doc.contains("down"))
    L.Down_ = Doc["down"];
  if (Doc.contains("leaving") && L.Vms_.count(Name))
    L.Vms_[Name]["leaving"] = Doc["leaving"];
  if (Doc.value("gone", false))
    L.Vms_.erase(Name);
  if (Doc.contains("add"))
    L.Vms_[Doc["add"]["name"]] = Doc["add"];
  ++L.Version_;
  publish(L, Io);
}

} // namespace

int main(int Count, char **Values) {
  asio::io_context Io;
  List L;
  if (Count > 2) {
    std::ifstream In(Values[2]);
    json First = json::parse(In);
    for (const json &Vm : First.at("vms"))
      L.Vms_[Vm.at("name")] = Vm;
  }
  L.Shown_ = render(L);
  return serve(Io, Count, Values,
               [&](http::ServerRequest R, http::Responder Respond) {
                 std::lock_guard Lock(L.Mutex_);
                 if (R.Path_ == "/admin") {
                   onAdmin(L, Io, R);
                   return Respond(reply(200, json::object()));
                 }
                 if (L.Down_)
                   return Respond(reply(503, {{"error", "outage"}}));
                 Respond(reply(200, L.Shown_));
               });
}
