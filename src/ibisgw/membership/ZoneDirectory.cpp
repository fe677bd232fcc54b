#include "ibisgw/membership/ZoneDirectory.h"

namespace ibisgw::membership {

void ZoneDirectory::merge(const ZoneSummary& summary, core::TimePoint now)
{
    auto& entry = m_entries[summary.zone];
    if (summary.version > entry.summary.version)
        entry = { summary, now };
}

const ZoneSummary& ZoneDirectory::replace(ZoneSummary summary, core::TimePoint now)
{
    auto& entry = m_entries[summary.zone];
    summary.version = entry.summary.version + 1;
    entry = { std::move(summary), now };
    return entry.summary;
}

const ZoneSummary* ZoneDirectory::takeNext()
{
    if (m_entries.empty())
        return nullptr;
    auto next = m_entries.upper_bound(m_lastTaken);
    if (next == m_entries.end())
        next = m_entries.begin();
    m_lastTaken = next->first;
    return &next->second.summary;
}

std::vector<ZoneSummary> ZoneDirectory::all() const
{
    std::vector<ZoneSummary> summaries;
    for (const auto& [zone, entry] : m_entries)
        summaries.push_back(entry.summary);
    return summaries;
}

} // namespace ibisgw::membership
