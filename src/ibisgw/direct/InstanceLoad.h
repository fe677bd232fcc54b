#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>
#include <optional>

namespace ibisgw::direct {

// Load and responsiveness of one upstream as estimated by one balancer from the packets of callers alone.
class InstanceLoad {
public:
    void noteFlowOpened() { ++m_openFlows; }
    void noteFlowClosed() { m_openFlows -= m_openFlows > 0 ? 1 : 0; }
    void noteWorkStarted(core::TimePoint now);
    void noteWorkEnded() { m_inProgress -= m_inProgress > 0 ? 1 : 0; }

    // An opening packet was forwarded to the upstream.
    void noteOpenSent(core::TimePoint now);
    // A packet of a caller acknowledges new data from the upstream.
    void noteProgress(core::TimePoint now);
    core::TimePoint lastProgressAt() const { return m_lastProgressAt; }
    // When the first opening packet since the last response was sent; empty if there is none. Restarts after one second
    // without a response.
    std::optional<core::TimePoint> unconfirmedSince() const { return m_unconfirmedSince; }
    // Whether the upstream has shown no response since an opening packet that it should have answered by now. Either
    // it has ended and its VM refuses flows so fast that the upstream appears to be idle, or its queue is full. Silence
    // before `countedFrom` doesn't count.
    bool isUnconfirmed(core::TimePoint now, core::TimePoint countedFrom = {}) const;

    // The upstream accepted an opening packet.
    void noteOpenAnswered(core::TimePoint now);
    // A caller retransmitted an opening packet that had been forwarded to the upstream.
    void noteOpenUnanswered(core::TimePoint now);
    // Whether the upstream has left several opening packets in a row unanswered and the avoidance period isn't over.
    bool isAvoided(core::TimePoint now) const { return now < m_avoidedUntil; }

    // The upstream answered a request in `ratio` times the usual time of the request's route.
    void noteResponse(double ratio, core::TimePoint now);
    // Recent response times relative to those of all upstreams of the same routes; 1 for a normal or unknown speed.
    // Fades to 1 without further responses, so that the upstream is tried again.
    double slowdown(core::TimePoint now) const;
    // 1 divided by the slowdown, or 1 unless the upstream takes so much longer than its peers that this isn't due to
    // the requests it happened to get.
    double relativeSpeed(core::TimePoint now) const;
    bool isSlow(core::TimePoint now) const { return relativeSpeed(now) < 1; }

    std::uint32_t inProgress() const { return m_inProgress; }
    std::uint32_t openFlows() const { return m_openFlows; }
    core::TimePoint lastWorkAt() const { return m_lastWorkAt; }

private:
    std::uint32_t m_inProgress { 0 };
    std::uint32_t m_openFlows { 0 };
    core::TimePoint m_lastWorkAt {};
    // When the first opening packet was sent since the last response of the upstream; restarts after one second.
    std::optional<core::TimePoint> m_unconfirmedSince;
    core::TimePoint m_lastProgressAt {};
    // Weighted mean of the last response time ratios, and when the last one was noted.
    double m_responseRatio { 1 };
    core::TimePoint m_lastResponseAt {};
    std::uint32_t m_consecutiveUnanswered { 0 };
    core::Duration m_avoidancePeriod { 0 };
    core::TimePoint m_avoidedUntil {};
};

} // namespace ibisgw::direct
