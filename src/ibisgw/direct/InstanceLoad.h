#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>
#include <optional>

namespace ibisgw::direct {

// What one balancer knows of the load and the responses of one upstream, from the packets of callers alone.
class InstanceLoad {
public:
    void flowOpened() { ++m_openFlows; }
    void flowClosed() { m_openFlows -= m_openFlows > 0 ? 1 : 0; }
    void workStarted(core::TimePoint now);
    void workEnded() { m_inProgress -= m_inProgress > 0 ? 1 : 0; }

    // An opening packet was sent to the upstream.
    void openSent(core::TimePoint now);
    // A caller showed that the upstream works on its flow.
    void progressed() { m_unconfirmedSince.reset(); }
    // True when the upstream has shown nothing since an opening packet that is long overdue: it has ended, and its VM
    // refuses flows so quickly that it seems to be idle, or it is full.
    bool isUnconfirmed(core::TimePoint now) const;

    // The upstream answered an opening packet.
    void answered();
    // A caller repeated an opening packet that had been sent to the upstream.
    void unanswered(core::TimePoint now);
    // True while the upstream has left several opening packets unanswered.
    bool isAvoided(core::TimePoint now) const { return now < m_avoidUntil; }

    std::uint32_t inProgress() const { return m_inProgress; }
    std::uint32_t openFlows() const { return m_openFlows; }
    core::TimePoint lastWorkAt() const { return m_lastWorkAt; }

private:
    std::uint32_t m_inProgress { 0 };
    std::uint32_t m_openFlows { 0 };
    core::TimePoint m_lastWorkAt {};
    // When the first opening packet was sent of which nothing has come so far.
    std::optional<core::TimePoint> m_unconfirmedSince;
    std::uint32_t m_unansweredInRow { 0 };
    core::Duration m_avoidance { 0 };
    core::TimePoint m_avoidUntil {};
};

} // namespace ibisgw::direct
