/// Building the replica of jobs from their records.
#include "ledger/ledger.hpp"

#include <criterion/criterion.h>

using namespace pollenvale;
using namespace pollenvale::ledger;
using workflow::JobState;

namespace {

KeyedRecord jobRecord(const char *Payload, Offset At) {
  AcceptedJob J;
  J.Queue_.Name_ = "q";
  J.Spec_.Payload_ = Payload;
  J.Spec_.Steps_.resize(1);
  KeyedRecord R = makeJob("j1", J);
  R.Offset_ = At;
  return R;
}

KeyedRecord progressRecord(JobState State, Offset At) {
  workflow::Progress P;
  P.State_ = int(State);
  KeyedRecord R = makeProgress("j1", P);
  R.Offset_ = At;
  return R;
}

} // namespace

Test(replica, the_first_record_of_an_id_is_the_job) {
  Replica Copy;
  cr_assert(apply(Copy, jobRecord("first", 0), {}).Kind_ ==
            Change::Kind::Accepted);
  cr_assert(apply(Copy, jobRecord("second", 1), {}).Kind_ ==
            Change::Kind::None);
  cr_assert_eq(Copy.Jobs_.at("j1").Accepted_.Spec_.Payload_, "first");
}

Test(replica, an_older_progress_does_not_replace_a_newer_one) {
  Replica Copy;
  apply(Copy, jobRecord("x", 0), {});
  apply(Copy, progressRecord(JobState::Completed, 9), {});
  apply(Copy, progressRecord(JobState::Running, 5), {});
  cr_assert(effectiveState(Copy.Jobs_.at("j1")) == JobState::Completed);
}

Test(replica, records_may_come_before_their_job) {
  // A load reads the newest records in the order of their keys.
  Replica Copy;
  apply(Copy, makeCancel("j1"), {});
  cr_assert(Copy.Jobs_.empty());
  apply(Copy, jobRecord("x", 3), {});
  cr_assert(effectiveState(Copy.Jobs_.at("j1")) == JobState::Cancelled);
}

Test(replica, a_job_that_completed_first_stays_completed) {
  Replica Copy;
  apply(Copy, jobRecord("x", 0), {});
  apply(Copy, progressRecord(JobState::Completed, 1), {});
  apply(Copy, makeCancel("j1"), {});
  cr_assert(effectiveState(Copy.Jobs_.at("j1")) == JobState::Completed);
}

Test(replica, only_jobs_without_a_started_task_are_pending) {
  Replica Copy;
  apply(Copy, jobRecord("x", 0), {});
  cr_assert_eq(pendingJobs(Copy, "q"), 1u);
  cr_assert_eq(pendingJobs(Copy, "other"), 0u);
  apply(Copy, progressRecord(JobState::Running, 1), {});
  cr_assert_eq(pendingJobs(Copy, "q"), 0u);
}

Test(replica, records_that_cannot_be_decoded_are_counted) {
  Replica Copy;
  apply(Copy, {"jx", "no msgpack", 0}, {});
  apply(Copy, {"?", "x", 1}, {});
  cr_assert_eq(Copy.UnreadableRecords_, 2u);
  cr_assert(Copy.Jobs_.empty());
}

Test(replica, a_removed_job_is_unknown) {
  Replica Copy;
  apply(Copy, jobRecord("x", 0), {});
  for (const KeyedRecord &R : makeRemoval("j1"))
    apply(Copy, R, {});
  cr_assert(Copy.Jobs_.empty());
}

Test(replica, slices_that_share_a_partition_keep_their_own_rosters) {
  Replica Copy;
  KeyedRecord A = makeRoster("a", {{"w1", "w2"}, 3, true});
  KeyedRecord B = makeRoster("b", {{"w9"}, 4, false});
  A.Offset_ = 1;
  B.Offset_ = 2;
  apply(Copy, A, {});
  apply(Copy, B, {});
  cr_assert_eq(Copy.Rosters_.at("a").Roster_.Workers_.size(), 2u);
  cr_assert(Copy.Rosters_.at("a").Roster_.Settled_);
  cr_assert_eq(Copy.Rosters_.at("b").Roster_.Claim_, 4u);
}

// Guards against TWICE: progress that was applied at an offset where the store
// holds another record hides the stored progress, and a new owner starts tasks
// again that are done.
Test(replica, a_load_replaces_progress_of_a_larger_offset) {
  Replica Copy;
  apply(Copy, jobRecord("x", 0), {});
  apply(Copy, progressRecord(JobState::Running, 90), {});
  beginLoad(Copy);
  apply(Copy, progressRecord(JobState::Completed, 7), {});
  cr_assert(effectiveState(Copy.Jobs_.at("j1")) == JobState::Completed);
}

// Guards against TWICE: progress of an occurrence that goes back, or that is
// mistaken for that of another one.
Test(replica, occurrences_are_kept_apart_and_never_go_back) {
  Replica Copy;
  auto Apply = [&](std::uint32_t Number, std::vector<bool> Done, Offset At) {
    KeyedRecord R = makeOccurrence("j1", {Number, {{std::move(Done), {}}}});
    R.Offset_ = At;
    apply(Copy, R, {});
  };
  auto DoneOf = [&](std::uint32_t Number) {
    const auto &Stored = Copy.EarlyJobs_.at("j1").Occurrences_.at(Number);
    return parseOccurrence(Stored.Value_)->Steps_.at(0).Done_;
  };
  Apply(3, {true, false}, 10);
  Apply(12, {false, true}, 11);
  Apply(3, {false, false}, 9);
  cr_assert(DoneOf(3) == std::vector<bool>({true, false}));
  cr_assert(DoneOf(12) == std::vector<bool>({false, true}));
  beginLoad(Copy);
  Apply(3, {true, true}, 8);
  cr_assert(DoneOf(3) == std::vector<bool>({true, true}));
  apply(Copy, makeOccurrenceRemoval("j1", 3), {});
  cr_assert_eq(Copy.EarlyJobs_.at("j1").Occurrences_.size(), 1u);
  apply(Copy, makeOccurrenceRemoval("j9", 3), {});
  cr_assert_not(Copy.EarlyJobs_.count("j9"));
}

Test(replica, names_of_occurrences) {
  RecordName Name = nameOf("oab.cd.17");
  cr_assert(Name.Kind_ == RecordKind::Occurrence);
  cr_assert_eq(Name.Job_, "ab.cd");
  cr_assert_eq(Name.Occurrence_, 17u);
  for (const char *Bad : {"oab", "o.1", "oab.", "oab.x", "oab.1x", "oab.-1"})
    cr_assert(nameOf(Bad).Kind_ == RecordKind::Unknown, "%s", Bad);
}

// Guards against an owner of a service that came back and waits for workers of
// the retired one.
Test(replica, the_removal_of_a_slice_removes_its_roster) {
  Replica Copy;
  apply(Copy, makeRoster("s", {{"w1"}, 7, true}), {});
  apply(Copy, makeRoster("t", {{"w2"}, 8, true}), {});
  for (const KeyedRecord &R : makeSliceRemoval("s"))
    cr_assert(apply(Copy, R, {}).Kind_ == Change::Kind::None);
  cr_assert_eq(Copy.Rosters_.count("s"), 0u);
  cr_assert_eq(Copy.Rosters_.count("t"), 1u);
  cr_assert_eq(Copy.UnreadableRecords_, 0u);
}

namespace {

/// The job "j1", accepted by \p Version, as in jobRecord().
KeyedRecord jobOfVersion(std::uint64_t Version, Offset At) {
  AcceptedJob J = *parseJob(jobRecord("x", At).Value_);
  J.Version_ = Version;
  KeyedRecord R = makeJob("j1", J);
  R.Offset_ = At;
  return R;
}

KeyedRecord closedQueue(std::uint64_t Version, Offset At) {
  KeyedRecord R = makeClosedQueue("q", Version);
  R.Offset_ = At;
  return R;
}

} // namespace

// Guards against TWICE: the same job is accepted for the queue's next service.
Test(replica, a_job_stored_after_its_queue_was_closed_is_void) {
  Replica Copy;
  apply(Copy, closedQueue(2, 4), {});
  cr_assert(apply(Copy, jobOfVersion(1, 5), {}).Kind_ == Change::Kind::Void);
  cr_assert(Copy.Jobs_.empty());
  cr_assert_eq(Copy.VoidJobs_.count("j1"), 1u);
  apply(Copy, makeRemoval("j1").front(), {});
  cr_assert(Copy.VoidJobs_.empty());
}

Test(replica,
     a_job_of_the_closing_version_or_of_an_earlier_record_is_accepted) {
  Replica Later, Earlier;
  apply(Later, closedQueue(2, 4), {});
  cr_assert(apply(Later, jobOfVersion(2, 5), {}).Kind_ ==
            Change::Kind::Accepted);
  // As in a load: the closed queue comes first, whatever the offsets are.
  apply(Earlier, closedQueue(2, 4), {});
  cr_assert(apply(Earlier, jobOfVersion(1, 3), {}).Kind_ ==
            Change::Kind::Accepted);
}

// Records of an earlier build tell no version.
Test(replica, a_job_without_a_version_is_read) {
  AcceptedJob J = *parseJob(jobRecord("x", 0).Value_);
  auto Old = std::make_tuple(J.Queue_, J.AcceptedUnixMs_, J.Spec_);
  auto Read = parseJob(pack(Old));
  cr_assert(Read);
  cr_assert_eq(Read->Version_, 0u);
  cr_assert_eq(Read->Spec_.Payload_, "x");
}

// Guards against LOST: a void record replaces the first one in a load.
Test(replica, progress_shows_that_a_job_with_a_void_record_was_accepted) {
  Replica Copy;
  apply(Copy, closedQueue(2, 4), {});
  apply(Copy, jobOfVersion(1, 6), {});
  Change C = apply(Copy, progressRecord(JobState::Running, 5), {});
  cr_assert(C.Kind_ == Change::Kind::Accepted);
  cr_assert(effectiveState(Copy.Jobs_.at("j1")) == JobState::Running);
  cr_assert(apply(Copy, jobOfVersion(1, 7), {}).Kind_ == Change::Kind::Void);
  cr_assert_eq(Copy.Jobs_.count("j1"), 1u);
}

Test(replica, a_job_accepted_after_its_void_record_is_not_void) {
  Replica Copy;
  apply(Copy, closedQueue(2, 4), {});
  apply(Copy, jobOfVersion(1, 6), {});
  cr_assert(apply(Copy, jobOfVersion(3, 8), {}).Kind_ ==
            Change::Kind::Accepted);
  cr_assert(Copy.VoidJobs_.empty());
}

Test(replica, a_late_record_does_not_reopen_a_queue) {
  Replica Copy;
  apply(Copy, closedQueue(3, 4), {});
  apply(Copy, closedQueue(2, 6), {});
  cr_assert(apply(Copy, jobOfVersion(2, 7), {}).Kind_ == Change::Kind::Void);
}
