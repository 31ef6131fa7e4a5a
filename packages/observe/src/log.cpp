#include "observe/observe.hpp"

#include <easylogging++.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace pollenvale::observe {

namespace {

struct LogState {
  std::string Node_;
  Level MinLevel_ = Level::Info;
};

LogState &state() {
  static LogState S;
  return S;
}

const char *levelName(Level L) {
  static const char *const Names[] = {"debug", "info", "warning", "error"};
  return Names[std::size_t(L)];
}

} // namespace

void startLogging(const std::string &Node, const std::string &LevelName) {
  state().Node_ = Node;
  for (Level L : {Level::Debug, Level::Info, Level::Warning, Level::Error})
    if (LevelName == levelName(L))
      state().MinLevel_ = L;
  el::Configurations Conf;
  Conf.setToDefault();
  Conf.setGlobally(el::ConfigurationType::Format, "%msg");
  Conf.setGlobally(el::ConfigurationType::ToFile, "false");
  Conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(Conf);
  reportCrashes(Node, STDOUT_FILENO);
}

bool isLogged(Level L) { return L >= state().MinLevel_; }

void log(Level L, const std::string &Event, const nlohmann::json &Fields) {
  if (!isLogged(L))
    return;
  auto Now = std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  nlohmann::json Line = {{"time_ms", Now.count()},
                         {"node", state().Node_},
                         {"level", levelName(L)},
                         {"event", Event}};
  Line.update(Fields);
  LOG(INFO) << Line.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

std::optional<std::uint64_t> LineLimit::admit(const std::string &Event,
                                              TimePoint Now) {
  constexpr Milliseconds WindowLength{1'000};
  Window &W = Windows_[Event];
  if (Now - W.Begin_ >= WindowLength) {
    W.Begin_ = Now;
    W.Lines_ = 0;
  }
  if (W.Lines_ == PerSecond_) {
    ++W.Suppressed_;
    return std::nullopt;
  }
  ++W.Lines_;
  return std::exchange(W.Suppressed_, 0);
}

} // namespace pollenvale::observe
