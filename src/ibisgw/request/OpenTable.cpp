#include "ibisgw/request/OpenTable.h"

namespace ibisgw::request {

OpenTable::OpenTable(std::size_t capacity)
    : m_capacity(capacity)
{
}

OpenRecord* OpenTable::insert(const core::FlowKey& flow)
{
    if (m_records.size() >= m_capacity && !m_records.contains(flow))
        return nullptr;
    return &(m_records[flow] = {});
}

OpenRecord* OpenTable::find(const core::FlowKey& flow)
{
    const auto it = m_records.find(flow);
    return it == m_records.end() ? nullptr : &it->second;
}

const OpenRecord* OpenTable::find(const core::FlowKey& flow) const
{
    const auto it = m_records.find(flow);
    return it == m_records.end() ? nullptr : &it->second;
}

void OpenTable::erase(const core::FlowKey& flow)
{
    m_records.erase(flow);
}

void OpenTable::forEach(const std::function<void(const core::FlowKey&, OpenRecord&)>& visitor)
{
    for (auto& [flow, record] : m_records)
        visitor(flow, record);
}

void OpenTable::removeExpired(
    core::TimePoint now, const std::function<void(const core::FlowKey&, OpenRecord&)>& visitor)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (now < it->second.expiresAt) {
            ++it;
            continue;
        }
        visitor(it->first, it->second);
        it = m_records.erase(it);
    }
}

} // namespace ibisgw::request
