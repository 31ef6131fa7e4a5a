/// \file
/// Events of the owner of a slice.
#pragma once

#include "scheduler/detail/state.hpp"

namespace pollenvale::scheduler {

/// \p Roster: workers on which an earlier owner may have started tasks.
State makeState(Options O, const workflow::Catalog &C,
                const ledger::Roster &Roster);

void onCatalog(State &S, const workflow::Catalog &C);
/// A job of the slice, from the store. Known jobs are ignored.
void onJob(State &S, const JobId &Id, const ledger::ReplicatedJob &Row,
           bool Inherited, TimePoint Now, std::int64_t NowUnixMs);
void onCancel(State &S, const JobId &Id, TimePoint Now);

void onWorker(State &S, const WorkerInfo &Info, TimePoint Now);
/// The registry no longer names the worker.
void onWorkerGone(State &S, const WorkerId &Id, TimePoint Now);

void onRenewed(State &S, const RenewCall &Call, const RenewReply &Reply,
               TimePoint SentAt, TimePoint Now, Outbox &Out);
void onStart(State &S, const StartCall &Call, const OrderReply &Reply,
             TimePoint Now, Outbox &Out);
void onStop(State &S, const StopCall &Call, const OrderReply &Reply,
            TimePoint Now);
void onThrottled(State &S, const ThrottleCall &Call, const OrderReply &Reply);
void onAdvice(State &S, const AdviceCall &Call, const AdviceReply &Reply,
              TimePoint Now);
/// \p Stored: the records are in the store. Otherwise they are written again.
void onWrite(State &S, std::uint64_t Id, bool Stored, TimePoint Now);

/// Makes every call that is due.
void tick(State &S, TimePoint Now, std::int64_t NowUnixMs, Outbox &Out);
/// When tick() has something to do next, if nothing else happens.
TimePoint nextDue(const State &S, TimePoint Now);

} // namespace pollenvale::scheduler
