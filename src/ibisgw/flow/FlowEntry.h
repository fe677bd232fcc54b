#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstdint>

namespace ibisgw::flow {

// One flow in the flow table, packed into 24 bytes so that a table of 300,000 flows fits the caches and the memory of
// small VMs.
class FlowEntry {
public:
    enum Flag : std::uint16_t {
        Sticky = 1, // a stream: its upstream is derived by default placement or has a flow record
        Counted = 2, // included in the counts of its home: a stream for the bounded-load rule, others as in flight
        Unanswered = 4, // a request of a kind that is not idempotent has not been answered
    };

    FlowEntry() = default;
    FlowEntry(const core::FlowKey&, core::UpstreamId, core::TimePoint now);

    bool isUsed() const { return m_serviceAddress != 0 || m_callerAddress != 0; }
    bool matches(const core::FlowKey& key) const
    {
        return m_callerAddress == key.caller.address && m_callerPort == key.caller.port
            && m_serviceAddress == key.service.address && m_servicePort == key.service.port;
    }
    core::FlowKey key() const { return { { m_callerAddress, m_callerPort }, { m_serviceAddress, m_servicePort } }; }
    core::UpstreamId upstream() const { return core::UpstreamId::fromEndpoint({ m_upstreamAddress, m_upstreamPort }); }
    void setUpstream(core::UpstreamId);

    bool has(Flag flag) const { return (m_flags & flag) != 0; }
    void set(Flag, bool);

    void touch(core::TimePoint now) { m_lastSeen = toUnits(now); }
    core::Duration idleTime(core::TimePoint now) const { return (toUnits(now) - m_lastSeen) * idleUnit; }

private:
    // A 32-bit counter of this unit wraps after 497 days. Unsigned differences stay correct across the wrap.
    static constexpr core::Duration idleUnit = std::chrono::milliseconds(10);
    static std::uint32_t toUnits(core::TimePoint time)
    {
        return static_cast<std::uint32_t>(time.time_since_epoch() / idleUnit);
    }

    std::uint32_t m_callerAddress { 0 };
    std::uint32_t m_serviceAddress { 0 };
    std::uint16_t m_callerPort { 0 };
    std::uint16_t m_servicePort { 0 };
    std::uint16_t m_upstreamPort { 0 };
    std::uint16_t m_flags { 0 };
    std::uint32_t m_upstreamAddress { 0 };
    std::uint32_t m_lastSeen { 0 };
};

static_assert(sizeof(FlowEntry) == 24);

} // namespace ibisgw::flow
