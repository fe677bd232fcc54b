#pragma once

#include "ibisgw/sync/SyncMessage.h"
#include "ibisgw/upstream/FailureMarker.h"

#include <span>

namespace ibisgw::sync {

// Shares among balancers which upstreams don't answer requests. A balancer reports to the controller that it follows,
// which relays the report to the other controllers; each of them sends the marked upstreams to its followers. Nothing
// is stored: a mark that isn't confirmed by further reports ends by itself, also where messages are lost.
class FailureExchange {
public:
    explicit FailureExchange(const upstream::InstanceDirectory&);

    // Handles a report and returns whether it has marked the upstream. `others` are the other controllers.
    bool handle(core::NodeId from, const FailureReport&, std::span<const core::NodeId> others, core::TimePoint now,
        SyncOutput&);
    // Whether publish() may have something to send.
    bool isDue(core::TimePoint now) const { return m_hasNewMarks || now >= m_nextRepeat; }
    // Sends the marks to the followers when they have grown, and repeats them. Without marks nothing is sent.
    void publish(std::span<const core::NodeId> followers, core::TimePoint now, SyncOutput&);
    std::size_t markedInstances(core::TimePoint now) const { return m_marker.marks(now).size(); }

private:
    const upstream::InstanceDirectory& m_directory;
    upstream::FailureMarker m_marker;
    bool m_hasNewMarks { false };
    core::TimePoint m_nextRepeat {};
};

} // namespace ibisgw::sync
