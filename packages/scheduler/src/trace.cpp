#include "scheduler/detail/trace.hpp"

#include "scheduler/detail/tasks.hpp"

#include <algorithm>

namespace pollenvale::scheduler::detail {

namespace {

/// Limit of Task::AbandonedRuns_; older ones are dropped.
constexpr std::size_t MaxAbandonedRuns = 4;

/// Time since \p T in ms; -1 if \p T is not set.
std::int64_t msSince(TimePoint T, TimePoint Now) {
  return T == TimePoint{} ? -1 : elapsed(T, Now).count();
}

void addNote(Outbox &Out, std::string_view Event, nlohmann::json Fields) {
  Out.Notes_.push_back({std::string(Event), std::move(Fields), true});
}

} // namespace

void traceGiveUp(State &State, const TaskId &Id, std::string_view Cause,
                 TimePoint Now, Outbox &Out) {
  Task *T = findTask(State, Id);
  if (!T || !T->Run_)
    return;
  const Run &R = *T->Run_;
  Worker &W = State.Workers_.at(R.Worker_);
  ++W.AbandonedRunCount_;
  W.LastAbandonedAt_ = Now;
  if (T->AbandonedRuns_.size() == MaxAbandonedRuns)
    T->AbandonedRuns_.erase(T->AbandonedRuns_.begin());
  T->AbandonedRuns_.push_back({R.Number_, R.Worker_, std::string(Cause), Now});
  addNote(Out, "run-given-up",
          {{"task", workflow::toString(Id)},
           {"run", R.Number_},
           {"worker", R.Worker_},
           {"cause", Cause},
           {"sends", R.Sends_},
           {"started_ms", msSince(R.StartedAt_, Now)},
           {"accepted_ms", msSince(R.SettledAt_.value_or(TimePoint{}), Now)},
           {"answered_ms", msSince(W.Known_.ClockAt_, Now)},
           {"misses", W.Misses_},
           {"first_miss_ms", W.Misses_ > 0 ? msSince(W.FirstMissAt_, Now) : -1},
           {"limit_ms", W.LastMissTimeout_.count()}});
}

void traceRepeat(State &State, const TaskId &Id, TimePoint Now, Outbox &Out) {
  const Task &T = *findTask(State, Id);
  if (T.AbandonedRuns_.empty())
    return;
  const AbandonedRun &Earlier = T.AbandonedRuns_.back();
  count(State.Counters_, "run-repeated");
  addNote(Out, "run-repeated",
          {{"task", workflow::toString(Id)},
           {"run", T.Run_->Number_},
           {"worker", T.Run_->Worker_},
           {"earlier_run", Earlier.Number_},
           {"earlier_worker", Earlier.Worker_},
           {"cause", Earlier.Cause_},
           {"given_up_ms", msSince(Earlier.At_, Now)}});
}

void traceEnd(State &State, const WorkerId &Where, const EndedTask &End,
              TimePoint Now, Outbox &Out) {
  Task *T = findTask(State, End.Task_);
  if (!T) {
    count(State.Counters_, "end-of-unknown-task");
    return;
  }
  auto It = std::find_if(T->AbandonedRuns_.begin(), T->AbandonedRuns_.end(),
                         [&](const AbandonedRun &G) {
                           return G.Number_ == End.Run_ && G.Worker_ == Where;
                         });
  if (It == T->AbandonedRuns_.end())
    return;
  const std::string Kind(toString(End.Kind_));
  count(State.Counters_, "end-after-give-up-" + Kind);
  nlohmann::json Fields = {{"task", workflow::toString(End.Task_)},
                           {"run", End.Run_},
                           {"worker", Where},
                           {"end", Kind},
                           {"number", End.Number_},
                           {"cause", It->Cause_},
                           {"given_up_ms", msSince(It->At_, Now)}};
  if (T->Run_) {
    Fields["new_run"] = T->Run_->Number_;
    Fields["new_worker"] = T->Run_->Worker_;
    Fields["new_started_ms"] = msSince(T->Run_->StartedAt_, Now);
  }
  addNote(Out, "end-after-give-up", std::move(Fields));
  T->AbandonedRuns_.erase(It);
}

void traceKnownEnd(State &State, const WorkerId &Where, const EndedTask &End,
                   Outbox &Out) {
  Task *T = findTask(State, End.Task_);
  if (!T || !T->Run_ || T->Run_->Worker_ != Where ||
      T->Run_->Number_ != End.Run_)
    return;
  const Worker &W = State.Workers_.at(Where);
  count(State.Counters_, "end-overlooked");
  addNote(Out, "end-overlooked",
          {{"task", workflow::toString(End.Task_)},
           {"run", End.Run_},
           {"worker", Where},
           {"end", toString(End.Kind_)},
           {"number", End.Number_},
           {"seen", W.Known_.SeenEnd_},
           {"stored", W.Known_.StoredEnd_}});
}

void traceMiss(State &State, Worker &W, const RenewCall &Call, TimePoint SentAt,
               TimePoint Now, Outbox &Out) {
  Milliseconds Limit = Call.Target_.Timeout_ - Call.Wait_;
  count(State.Counters_,
        "renewal-no-answer-" + std::to_string(Limit.count()) + "ms");
  W.LastMissTimeout_ = Call.Target_.Timeout_;
  if (W.Misses_ > 0)
    return;
  W.FirstMissAt_ = SentAt;
  if (W.Tasks_.empty())
    return;
  addNote(Out, "renewal-unanswered",
          {{"worker", W.Info_.Id_},
           {"tasks", W.Tasks_.size()},
           {"sent_ms", msSince(SentAt, Now)},
           {"limit_ms", Call.Target_.Timeout_.count()},
           {"wait_ms", Call.Wait_.count()},
           {"answered_ms", msSince(W.Known_.ClockAt_, Now)}});
}

void traceAck(Worker &W, std::uint64_t Acked, TimePoint Now, Outbox &Out) {
  if (W.AbandonedRunCount_ == 0)
    return;
  addNote(Out, "ends-acknowledged-after-give-up",
          {{"worker", W.Info_.Id_},
           {"before", W.Known_.SentAck_},
           {"up_to", Acked},
           {"runs_given_up", W.AbandonedRunCount_},
           {"given_up_ms", msSince(W.LastAbandonedAt_, Now)}});
  W.AbandonedRunCount_ = 0;
}

} // namespace pollenvale::scheduler::detail
