#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/upstream/Announcement.h"

#include <unordered_map>

namespace ibisgw::upstream {

// How busy each upstream is, from this balancer's own requests in flight and the upstream's reports.
class LoadEstimate {
public:
    // A report counts half after this time: a request takes a tenth of a second or a few.
    static constexpr core::Duration reportHalfLife = std::chrono::milliseconds(300);

    void noteStarted(core::UpstreamId);
    void noteFinished(core::UpstreamId);
    void noteReport(const Announcement&, core::TimePoint now);
    void forget(core::UpstreamId);

    unsigned inFlight(core::UpstreamId) const;
    // Load in slots of this balancer's share. A report can only add to what this balancer has itself in
    // flight, so an upstream that reports too little gains nothing by it.
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
