#include "scheduler/detail/trace.hpp"

#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// Given-up runs that are remembered for a task.
constexpr std::size_t KeptRuns = 4;

/// Time since \p T in ms; -1 if it never came.
std::int64_t since(TimePoint T, TimePoint Now) {
  return T == TimePoint{} ? -1 : elapsed(T, Now).count();
}

void note(Outbox &Out, std::string_view Event, nlohmann::json Fields) {
  Out.Notes_.push_back({std::string(Event), std::move(Fields), true});
}

} // namespace

void traceGiveUp(State &S, const TaskId &Id, std::string_view Cause,
                 TimePoint Now, Outbox &Out) {
  Task *T = findTask(S, Id);
  if (!T || !T->Run_)
    return;
  const Run &R = *T->Run_;
  Worker &W = S.Workers_.at(R.Worker_);
  ++W.GivenUp_;
  W.GaveUpAt_ = Now;
  if (T->GivenUp_.size() == KeptRuns)
    T->GivenUp_.erase(T->GivenUp_.begin());
  T->GivenUp_.push_back({R.Number_, R.Worker_, std::string(Cause), Now});
  note(Out, "run-given-up",
       {{"task", workflow::toString(Id)},
        {"run", R.Number_},
        {"worker", R.Worker_},
        {"cause", Cause},
        {"sends", R.Sends_},
        {"started_ms", since(R.StartedAt_, Now)},
        {"accepted_ms", since(R.SettledAt_.value_or(TimePoint{}), Now)},
        {"answered_ms", since(W.ClockAt_, Now)},
        {"misses", W.Misses_},
        {"first_miss_ms", W.Misses_ > 0 ? since(W.FirstMissAt_, Now) : -1},
        {"limit_ms", W.MissLimit_.count()}});
}

void traceRepeat(State &S, const TaskId &Id, TimePoint Now, Outbox &Out) {
  const Task &T = *findTask(S, Id);
  if (T.GivenUp_.empty())
    return;
  const GivenUpRun &Earlier = T.GivenUp_.back();
  count(S.Counters_, "run-repeated");
  note(Out, "run-repeated",
       {{"task", workflow::toString(Id)},
        {"run", T.Run_->Number_},
        {"worker", T.Run_->Worker_},
        {"earlier_run", Earlier.Number_},
        {"earlier_worker", Earlier.Worker_},
        {"cause", Earlier.Cause_},
        {"given_up_ms", since(Earlier.At_, Now)}});
}

void traceEnd(State &S, const WorkerId &Where, const EndedTask &End,
              TimePoint Now, Outbox &Out) {
  Task *T = findTask(S, End.Task_);
  if (!T) {
    count(S.Counters_, "end-of-unknown-task");
    return;
  }
  auto It = std::find_if(T->GivenUp_.begin(), T->GivenUp_.end(),
                         [&](const GivenUpRun &G) {
                           return G.Number_ == End.Run_ && G.Worker_ == Where;
                         });
  if (It == T->GivenUp_.end())
    return;
  const std::string Kind(toString(End.Kind_));
  count(S.Counters_, "end-after-give-up-" + Kind);
  nlohmann::json Fields = {{"task", workflow::toString(End.Task_)},
                           {"run", End.Run_},
                           {"worker", Where},
                           {"end", Kind},
                           {"number", End.Number_},
                           {"cause", It->Cause_},
                           {"given_up_ms", since(It->At_, Now)}};
  if (T->Run_) {
    Fields["new_run"] = T->Run_->Number_;
    Fields["new_worker"] = T->Run_->Worker_;
    Fields["new_started_ms"] = since(T->Run_->StartedAt_, Now);
  }
  note(Out, "end-after-give-up", std::move(Fields));
  T->GivenUp_.erase(It);
}

void traceKnownEnd(State &S, const WorkerId &Where, const EndedTask &End,
                   Outbox &Out) {
  Task *T = findTask(S, End.Task_);
  if (!T || !T->Run_ || T->Run_->Worker_ != Where ||
      T->Run_->Number_ != End.Run_)
    return;
  const Worker &W = S.Workers_.at(Where);
  count(S.Counters_, "end-overlooked");
  note(Out, "end-overlooked",
       {{"task", workflow::toString(End.Task_)},
        {"run", End.Run_},
        {"worker", Where},
        {"end", toString(End.Kind_)},
        {"number", End.Number_},
        {"seen", W.SeenEnd_},
        {"stored", W.StoredEnd_}});
}

void traceMiss(State &S, Worker &W, const RenewCall &Call, TimePoint SentAt,
               TimePoint Now, Outbox &Out) {
  Milliseconds Limit = Call.To_.Timeout_ - Call.Wait_;
  count(S.Counters_,
        "renewal-no-answer-" + std::to_string(Limit.count()) + "ms");
  W.MissLimit_ = Call.To_.Timeout_;
  if (W.Misses_ > 0)
    return;
  W.FirstMissAt_ = SentAt;
  if (W.Tasks_.empty())
    return;
  note(Out, "renewal-unanswered",
       {{"worker", W.Info_.Id_},
        {"tasks", W.Tasks_.size()},
        {"sent_ms", since(SentAt, Now)},
        {"limit_ms", Call.To_.Timeout_.count()},
        {"wait_ms", Call.Wait_.count()},
        {"answered_ms", since(W.ClockAt_, Now)}});
}

void traceAck(Worker &W, TimePoint Now, Outbox &Out) {
  std::uint64_t Before = std::exchange(W.SentAck_, W.StoredEnd_);
  if (W.StoredEnd_ <= Before || W.GivenUp_ == 0)
    return;
  note(Out, "ends-acknowledged-after-give-up",
       {{"worker", W.Info_.Id_},
        {"before", Before},
        {"up_to", W.StoredEnd_},
        {"runs_given_up", W.GivenUp_},
        {"given_up_ms", since(W.GaveUpAt_, Now)}});
  W.GivenUp_ = 0;
}

} // namespace pollenvale::scheduler::detail
