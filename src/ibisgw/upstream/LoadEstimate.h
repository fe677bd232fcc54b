#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/upstream/Announcement.h"

#include <unordered_map>

namespace ibisgw::upstream {

// Estimates the load of each upstream from this balancer's own requests in flight and from the upstream's reports.
class LoadEstimate {
public:
    // Half-life of a report's weight; of the order of the duration of a request, which is one to a few tenths of a
    // second.
    static constexpr core::Duration reportHalfLife = std::chrono::milliseconds(300);

    void noteStarted(core::UpstreamId);
    void noteFinished(core::UpstreamId);
    void noteReport(const Announcement&, core::TimePoint now);
    void forget(core::UpstreamId);

    unsigned inFlight(core::UpstreamId) const;
    // Load per slot, where 1 means that all slots are busy. A report can only add to this balancer's own requests in
    // flight, so an upstream that reports too little load doesn't get more work.
    double loadOf(core::UpstreamId, core::TimePoint now) const;

private:
    struct State {
        unsigned inFlight { 0 };
        unsigned reportedBusy { 0 };
        unsigned slots { 1 };
        core::TimePoint reportedAt;
    };

    std::unordered_map<core::UpstreamId, State> m_states;
};

} // namespace ibisgw::upstream
