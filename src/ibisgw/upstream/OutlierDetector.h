#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <unordered_map>
#include <vector>

namespace ibisgw::upstream {

// Ejects upstreams that send announcements but don't respond to packets (outlier ejection). A balancer forwards the
// packets of the flows that it is the home of, and sees responses to the packets of all balancers, at about the same
// rate. Many packets without any response therefore mean that an upstream is stuck.
class OutlierDetector {
public:
    // At equal rates the probability of no response at all is exp(-16), about one in nine million.
    static constexpr unsigned minUnansweredPackets = 16;
    static constexpr core::Duration minUnansweredDuration = std::chrono::seconds(1);
    static constexpr core::Duration minEjectionDuration = std::chrono::seconds(10);
    static constexpr core::Duration maxEjectionDuration = std::chrono::seconds(80);

    // New work was forwarded to the upstream.
    void noteForwarded(core::UpstreamId, core::TimePoint now);
    // A packet of the upstream has arrived: the upstream is alive, which ends an ejection.
    void noteAnswer(core::UpstreamId, core::TimePoint now);
    void forget(core::UpstreamId);
    bool isEjected(core::UpstreamId, core::TimePoint now) const;
    // Ejects the suspect ones among the upstreams of one service: never more than half of them, and none if this
    // balancer receives responses from none of them, since it is then more likely partitioned itself.
    void update(const std::vector<core::UpstreamId>& upstreams, core::TimePoint now);

private:
    struct State {
        unsigned unanswered { 0 };
        core::TimePoint unansweredSince;
        core::TimePoint lastAnswer;
        core::TimePoint ejectedUntil;
        unsigned ejections { 0 };
    };

    static bool isSuspect(const State&, core::TimePoint now);

    std::unordered_map<core::UpstreamId, State> m_states;
};

} // namespace ibisgw::upstream
