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

void CallerService::serve(const http::ServerRequest &R,
                          const http::Responder &Plain, bool Loaded) {
  http::Responder Respond = [this, Plain](http::ServerReply Reply) {
    count(Counters_, "answer-" + std::to_string(Reply.Code_));
    Reply.Close_ = Closing_;
    Plain(std::move(Reply));
  };
  platform::CallerRequest Call = platform::parseCaller(R);
  if (!HasCatalog_ || !Loaded)
    return Respond(platform::errorReply(
        makeError(ErrorKind::NoConfig, "no configuration yet")));
  const workflow::Queue *Q =
      workflow::findQueue(Catalog_, Call.Host_, Call.Path_);
  if (!Q)
    return Respond(platform::errorReply(
        makeError(ErrorKind::UnknownPath, Call.Path_ + ": no such queue")));
  if (R.Body_.size() > Catalog_.MaxBodyBytes_)
    return Respond(platform::errorReply(
        makeError(ErrorKind::BodyTooLarge,
                  "body: " + std::to_string(R.Body_.size()) + " bytes")));
  auto Job = platform::jobIdAfter(Call.Path_, Q->PathPrefix_);
  dispatch(Call, *Q, Job, R.Body_, Respond);
}

void CallerService::dispatch(const platform::CallerRequest &Call,
                             const workflow::Queue &Q,
                             const std::optional<JobId> &Job,
                             const std::string &Body,
                             const http::Responder &Respond) {
  using platform::CallerVerb;
  intake::CallTimes T{now(), nowUnixMs(), Call.Deadline_};
  auto Answer = [Respond](const intake::Answer &A) { Respond(toReply(A)); };
  if (Call.Verb_ == CallerVerb::Unsupported)
    return Respond(platform::errorReply(
        makeError(ErrorKind::WrongMethod, "method not supported")));
  if (!Job && Call.Verb_ == CallerVerb::State &&
      Call.Path_.size() <= Q.PathPrefix_.size())
    return Respond(
        platform::pendingReply(intake::countPendingJobs(Intake_, Q)));
  if (!Job)
    return Respond(platform::errorReply(
        makeError(ErrorKind::UnknownPath, Call.Path_ + ": not a job id")));
  if (Call.Verb_ == CallerVerb::State)
    return intake::queryState(Intake_, Q, *Job, T, Answer);
  if (Call.Verb_ == CallerVerb::Cancel)
    return intake::cancel(Intake_, Q, *Job, T, Answer);
  auto Spec = platform::parseWorkflow(Body);
  if (!Spec)
    return Respond(platform::errorReply(Spec.error()));
  intake::submit(Intake_, Q, *Job, std::move(Spec.value()), T, Answer);
}

} // namespace pollenvale::fleet
