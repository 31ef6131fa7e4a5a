#include "fleet/graceful_stop.hpp"

#include "fleet/clock.hpp"
#include "observe/observe.hpp"

namespace pollenvale::fleet {

GracefulStop::GracefulStop(http::LoopServer &Callers,
                           http::LoopServer &Readiness, intake::Intake &Intake,
                           Milliseconds Grace, std::size_t Slices)
    : Callers_(Callers), Readiness_(Readiness), Intake_(Intake),
      Times_(stopTimes(Grace)), Since_(now()) {
  http::ServerLoad Load = Callers_.load();
  AnsweredBefore_ = Load.Answered_;
  observe::log(observe::Level::Info, "stopping",
               {{"slices", Slices},
                {"calls", Load.Unanswered_},
                {"connections", Load.Connections_}});
}

Milliseconds GracefulStop::elapsedSince() const {
  return elapsed(Since_, now());
}

void GracefulStop::proceed() {
  if (elapsedSince() >= Times_.Refusal_)
    intake::stop(Intake_);
  if (elapsedSince() < Times_.Linger_)
    return;
  Callers_.drain();
  Readiness_.drain();
}

bool GracefulStop::mayEnd(bool Released) const {
  http::ServerLoad Load = Callers_.load();
  StopState State;
  State.Drained_ = Callers_.isDrained();
  State.Released_ = Released;
  State.Answerable_ = Load.Unread_ > 0 || Load.Unanswered_ > Load.Unwritten_;
  return fleet::mayEnd(Times_, elapsedSince(), State);
}

nlohmann::json GracefulStop::summary() const {
  http::ServerLoad Load = Callers_.load();
  return {{"after_ms", elapsedSince().count()},
          {"answered", Load.Answered_ - AnsweredBefore_},
          {"closed_idle", Load.ClosedIdle_},
          {"cut_unanswered", Load.Unanswered_ - Load.Unwritten_},
          {"cut_unwritten", Load.Unwritten_},
          {"cut_unread", Load.Unread_},
          {"cut_partly_read", Load.PartlyRead_}};
}

} // namespace pollenvale::fleet
