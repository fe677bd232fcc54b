#include "ibisgw/request/InFlightTable.h"

namespace ibisgw::request {

InFlightTable::InFlightTable(std::size_t capacity)
    : m_capacity(capacity)
    , m_entries(capacity)
{
}

void InFlightTable::insert(const InFlightRequest& request, const Entry& entry)
{
    if (m_entries.size() >= m_capacity)
        return;
    m_entries.try_emplace(request, entry);
}

void InFlightTable::erase(const InFlightRequest& request)
{
    m_entries.erase(request);
}

void InFlightTable::removeExpired(core::TimePoint now)
{
    boost::unordered::erase_if(m_entries, [&](const auto& it) { return now >= it.second.expiresAt; });
}

void InFlightTable::takeByUpstream(core::UpstreamId upstream, const Visitor& visitor)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto entry = *it;
        if (entry.second.upstream != upstream) {
            ++it;
            continue;
        }
        m_entries.erase(it++);
        visitor(entry.first, entry.second);
    }
}

} // namespace ibisgw::request
