#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <unordered_map>
#include <vector>

namespace ibisgw::upstream {

// Ejects upstreams that announce themselves but do not answer. A balancer forwards the packets of its
// homes and sees answers to the packets of all, at about the same rate; so many packets without any
// answer mean that an upstream is stuck.
class OutlierDetector {
public:
    // With equal rates the chance of no answer at all is exp(-16), about one in nine million.
    static constexpr unsigned ejectAfterPackets = 16;
    static constexpr core::Duration ejectAfter = std::chrono::seconds(1);
    static constexpr core::Duration firstEjection = std::chrono::seconds(10);
    static constexpr core::Duration longestEjection = std::chrono::seconds(80);

    // New work was forwarded to the upstream.
    void noteForwarded(core::UpstreamId, core::TimePoint now);
    // Any packet from the upstream: it lives, and an ejection ends.
    void noteAnswer(core::UpstreamId, core::TimePoint now);
    void forget(core::UpstreamId);
    bool isEjected(core::UpstreamId, core::TimePoint now) const;
    // Ejects what has become suspect among the upstreams of one service: never more than half of them,
    // and none when this balancer gets answers from none.
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
