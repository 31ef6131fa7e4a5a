#include "fleet/caller_service.hpp"

#include "fleet/clock.hpp"

namespace pollenvale::fleet {

namespace {

http::ServerReply toReply(const intake::Answer &A) {
  switch (A.Outcome_) {
  case intake::Outcome::Stored:
    return {200, "{}"};
  case intake::Outcome::State:
    return platform::stateReply(A.State_);
  case intake::Outcome::Unknown:
    return platform::goneReply();
  case intake::Outcome::Rejected:
    break;
  }
  return platform::errorReply(A.Error_, A.RetryAfter_);
}

} // namespace

void CallerService::serve(const http::ServerRequest &Request,
                          const http::Responder &Send, bool CopiesLoaded) {
  http::Responder Respond = [this, Send](http::ServerReply Reply) {
    count(Counters_, "answer-" + std::to_string(Reply.Code_));
    Reply.Close_ = CloseConnections_;
    Send(std::move(Reply));
  };
  platform::CallerRequest Call = platform::parseCaller(Request);
  if (!HasCatalog_)
    return Respond(platform::errorReply(
        makeError(ErrorKind::NoConfig, "no configuration yet")));
  if (!CopiesLoaded)
    return Respond(platform::errorReply(
        makeError(ErrorKind::LogUnavailable, "the jobs are not loaded yet")));
  const workflow::Queue *Queue =
      workflow::findQueue(Catalog_, Call.Host_, Call.Path_);
  if (!Queue)
    return Respond(platform::errorReply(
        makeError(ErrorKind::UnknownPath, Call.Path_ + ": no such queue")));
  if (Request.Body_.size() > Catalog_.MaxBodyBytes_)
    return Respond(platform::errorReply(
        makeError(ErrorKind::BodyTooLarge,
                  "body: " + std::to_string(Request.Body_.size()) + " bytes")));
  auto Job = platform::jobIdAfter(Call.Path_, Queue->PathPrefix_);
  handleCall(Call, *Queue, Job, Request.Body_, Respond);
}

void CallerService::handleCall(const platform::CallerRequest &Call,
                               const workflow::Queue &Queue,
                               const std::optional<JobId> &Job,
                               const std::string &Body,
                               const http::Responder &Respond) {
  using platform::CallerVerb;
  intake::CallTimes Times{now(), nowUnixMs(), Call.Deadline_};
  auto Answer = [Respond](const intake::Answer &A) { Respond(toReply(A)); };
  if (Call.Verb_ == CallerVerb::Unsupported)
    return Respond(platform::errorReply(
        makeError(ErrorKind::WrongMethod, "method not supported")));
  if (!Job && Call.Verb_ == CallerVerb::State &&
      Call.Path_.size() <= Queue.PathPrefix_.size())
    return Respond(
        platform::pendingReply(intake::countPendingJobs(Intake_, Queue)));
  if (!Job)
    return Respond(platform::errorReply(
        makeError(ErrorKind::UnknownPath, Call.Path_ + ": not a job id")));
  if (Call.Verb_ == CallerVerb::State)
    return intake::queryState(Intake_, Queue, *Job, Times, Answer);
  if (Call.Verb_ == CallerVerb::Cancel)
    return intake::cancel(Intake_, Queue, *Job, Times, Answer);
  auto Spec = platform::parseWorkflow(Body);
  if (!Spec)
    return Respond(platform::errorReply(Spec.error()));
  intake::submit(Intake_, Queue, *Job, std::move(Spec.value()), Times, Answer);
}

} // namespace pollenvale::fleet
