/// \file
/// Serves the HTTP calls of callers: resolves the queue and passes the call to
/// the intake.
#pragma once

#include "intake/intake.hpp"
#include "platform/adapter.hpp"

namespace pollenvale::fleet {

class CallerService {
public:
  /// The referenced objects must outlive the service. \p HasCatalog: a
  /// configuration has been read into \p Catalog.
  CallerService(intake::Intake &Intake, const workflow::Catalog &Catalog,
                const bool &HasCatalog, Counters &Counts)
      : Intake_(Intake), Catalog_(Catalog), HasCatalog_(HasCatalog),
        Counters_(Counts) {}

  /// Responds immediately or when the intake does. \p CopiesLoaded: all copies
  /// of job partitions have been loaded since the process started; otherwise
  /// the response is 503.
  void serve(const http::ServerRequest &Request, const http::Responder &Respond,
             bool CopiesLoaded);

  /// Closes each connection after its response, so that callers move to other
  /// entries.
  bool CloseConnections_ = false;

private:
  /// Handles a call to \p Queue. \p Job: job id in the path, if any.
  void handleCall(const platform::CallerRequest &Call,
                  const workflow::Queue &Queue, const std::optional<JobId> &Job,
                  const std::string &Body, const http::Responder &Respond);

  intake::Intake &Intake_;
  const workflow::Catalog &Catalog_;
  const bool &HasCatalog_;
  Counters &Counters_;
};

} // namespace pollenvale::fleet
