#include "requests/requests.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::requests;

// Guards against long requests occupying every slot of a service.
Test(queue, long_requests_stop_at_their_limit) {
  Queue Queue;
  Queue.Long_ = {1};
  Queue.Short_ = {2};
  cr_assert(nextQueue(Queue, 1, false) == &Queue.Long_);
  Queue.LongInFlight_ = 1;
  cr_assert(nextQueue(Queue, 1, false) == &Queue.Short_);
  Queue.Short_.clear();
  cr_assert(nextQueue(Queue, 1, false) == nullptr);
}

// Guards against retries that multiply the load of a failing service.
Test(queue, retries_are_limited_by_admitted_requests) {
  RetryBudget Budget{0};
  cr_assert(!spendRetry(Budget));
  for (int I = 0; I < 5; ++I)
    earnRetry(Budget);
  cr_assert(spendRetry(Budget));
  cr_assert(!spendRetry(Budget));
}

// Guards against one class's run times classifying another.
Test(queue, run_times_are_recorded_by_class) {
  Queue Queue;
  cr_assert(!isLongClass(Queue, "render", Milliseconds(1'000)));
  recordRunTime(Queue, "render", false, Milliseconds(5'000));
  cr_assert(isLongClass(Queue, "render", Milliseconds(1'000)));
  cr_assert(!isLongClass(Queue, "route", Milliseconds(1'000)));
}

// Guards against admitting requests that cannot be answered in time.
Test(queue, estimated_answer_time_grows_with_the_queue) {
  Queue Queue;
  recordRunTime(Queue, "route", false, Milliseconds(100));
  auto Empty = estimateAnswerTime(Queue, false, 10, 0.5);
  Queue.Short_.resize(100);
  cr_assert(estimateAnswerTime(Queue, false, 10, 0.5) > Empty);
}
