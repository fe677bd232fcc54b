#include "ibisgw/flow/FlowTable.h"

namespace ibisgw::flow {

FlowTable::FlowTable(std::size_t capacity)
    : m_capacity(capacity)
{
}

const FlowEntry* FlowTable::find(const core::FlowKey& key, core::TimePoint now)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return nullptr;
    it->second.lastSeen = now;
    return &it->second;
}

bool FlowTable::insert(const core::FlowKey& key, core::UpstreamId upstream, core::TimePoint now)
{
    if (m_entries.size() >= m_capacity && !m_entries.contains(key))
        return false;
    m_entries[key] = { upstream, now };
    return true;
}

void FlowTable::erase(const core::FlowKey& key)
{
    m_entries.erase(key);
}

std::size_t FlowTable::removeIdle(core::TimePoint now, core::Duration idleLimit)
{
    return std::erase_if(m_entries, [&](const auto& it) { return now - it.second.lastSeen > idleLimit; });
}

} // namespace ibisgw::flow
