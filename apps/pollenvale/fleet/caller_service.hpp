/// \file
/// Serves the calls of callers: finds the queue and asks the intake.
#pragma once

#include "intake/intake.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

class CallerService {
public:
  CallerService(intake::Intake &I, const workflow::Catalog &C,
                const bool &HasCatalog, Counters &Counts)
      : Intake_(I), Catalog_(C), HasCatalog_(HasCatalog), Counters_(Counts) {}

  /// Answers at once or when the intake does. \p Loaded: the copies of the jobs
  /// were read since the start.
  void serve(const http::ServerRequest &R, const http::Responder &Respond,
             bool Loaded);

  /// Connections are closed after their answer, so that callers leave.
  bool Closing_ = false;

private:
  void dispatch(const platform::CallerRequest &Call, const workflow::Queue &Q,
                const std::optional<JobId> &Job, const std::string &Body,
                const http::Responder &Respond);

  intake::Intake &Intake_;
  const workflow::Catalog &Catalog_;
  const bool &HasCatalog_;
  Counters &Counters_;
};

} // namespace pollenvale::fleet
