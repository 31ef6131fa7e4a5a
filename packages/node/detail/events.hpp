/// \file
/// Events of an entry. Each adds its effects to the outbox.
#pragma once

#include "node/detail/state.hpp"

namespace pollenvale::node {

/// Runs everything that is due by time. To be called every 50 to 100 ms.
void tick(Node &Node, TimePoint Now, peering::Outbox &Out);
void onFrame(Node &Node, TimePoint Now, const peering::Frame &Frame,
             peering::Outbox &Out);
void onVmList(Node &Node, TimePoint Now, bool Ok, membership::VmList List,
              peering::Outbox &Out);
void onAppend(Node &Node, TimePoint Now, CallId Call,
              eventlog::AppendStatus Status, peering::Outbox &Out);
void onRead(Node &Node, TimePoint Now, CallId Call, eventlog::ReadReply Reply,
            peering::Outbox &Out);
void onWorkerReply(Node &Node, TimePoint Now, const peering::WorkerReply &R,
                   peering::Outbox &Out);
void onInstanceReply(Node &Node, TimePoint Now, const peering::InstanceReply &R,
                     peering::Outbox &Out);
/// Begins a graceful shutdown: refuses new requests and jobs, hands over jobs
/// and workers, and finishes pending requests.
void beginStop(Node &Node, TimePoint Now);
/// True if the shutdown is complete: nothing is pending, or StopTimeout has
/// passed and no caller waits.
bool isStopped(const Node &Node, TimePoint Now);
/// True if this entry accepts requests of callers.
bool isReady(const Node &Node);

/// Read access to jobs for package workers.
workers::JobsView jobsView(const Node &Node);
jobs::Context jobsContext(Node &Node, TimePoint Now, peering::Outbox &Out);
requests::Context requestsContext(Node &Node, TimePoint Now,
                                  peering::Outbox &Out);
/// Handles the messages of this node to itself and adds due log calls to the
/// outbox. Called at the end of every event.
void finishEvent(Node &Node, TimePoint Now, peering::Outbox &Out);

} // namespace pollenvale::node
