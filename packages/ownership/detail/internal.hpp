/// \file
/// Functions shared by the source files of this package.
#pragma once

#include "ownership/detail/claims.hpp"

namespace pollenvale::ownership::detail {

/// Slices with a claim in the topic, held or released.
std::set<SliceName> claimedSlices(const State &Claims);

/// Longest and shortest time that passes while the clock of another entry
/// advances by \p Time.
Milliseconds longestForEntryClock(Milliseconds Time);
Milliseconds shortestForEntryClock(Milliseconds Time);

Holder holderOf(const SliceView &View);
/// Notes what a heartbeat of the slice's holder tells of when it was sent.
void onHolderHeartbeat(SliceView &View, const NodeRecord &R, TimePoint Now);
/// When the holder of the slice fences itself unless it stores more records.
std::optional<TimePoint> holderFencedBy(const State &Claims,
                                        const SliceView &View);
/// When the holder of \p Former has fenced itself, now that a later claim has
/// been read. The holders before it have by then, too. \p Generation: of that
/// claim.
TimePoint formerHolderFencedBy(const State &Claims, const SliceView &Former,
                               std::uint32_t Generation, TimePoint Now);
/// What a new owner of the slice would know about the present one.
Predecessor findPredecessor(const State &Claims, const SliceView &View);
/// Updates OwnedSlice::PredecessorEndedBy_ by the newest heartbeats.
void updatePredecessorEnd(const State &Claims, OwnedSlice &Own);

/// Gives up all slices. sendReleases() tells the other entries.
void giveUpSlices(State &Claims);
void sendReleases(State &Claims, Offset End, TimePoint Now,
                  std::vector<Write> &Out);
void onReleaseWritten(State &Claims, const Write &W, ledger::StoreStatus Status,
                      TimePoint Now);
/// Stores the names that ensureKnown() asked for.
void sendNames(State &Claims, TimePoint Now, std::vector<Write> &Out);
void onNameWritten(State &Claims, const Write &W,
                   const ledger::AppendReply &Reply, TimePoint Now);

} // namespace pollenvale::ownership::detail
