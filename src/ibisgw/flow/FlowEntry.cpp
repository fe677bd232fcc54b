#include "ibisgw/flow/FlowEntry.h"

namespace ibisgw::flow {

FlowEntry::FlowEntry(const core::FlowKey& key, core::UpstreamId upstream, core::TimePoint now)
    : m_callerAddress(key.caller.address)
    , m_serviceAddress(key.service.address)
    , m_callerPort(key.caller.port)
    , m_servicePort(key.service.port)
    , m_lastSeen(toUnits(now))
{
    setUpstream(upstream);
}

void FlowEntry::setUpstream(core::UpstreamId upstream)
{
    m_upstreamAddress = upstream.endpoint().address;
    m_upstreamPort = upstream.endpoint().port;
}

void FlowEntry::set(Flag flag, bool value)
{
    m_flags = static_cast<std::uint16_t>(value ? m_flags | flag : m_flags & ~flag);
}

} // namespace ibisgw::flow
