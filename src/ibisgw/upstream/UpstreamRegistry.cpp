#include "ibisgw/upstream/UpstreamRegistry.h"

namespace ibisgw::upstream {

namespace {

bool isOlder(const Announcement& candidate, const Announcement& held)
{
    if (candidate.incarnation != held.incarnation)
        return candidate.incarnation < held.incarnation;
    return candidate.sequence <= held.sequence;
}

bool takesNewWork(UpstreamState state)
{
    return state == UpstreamState::Ready || state == UpstreamState::Warming;
}

} // namespace

bool UpstreamRegistry::apply(const Announcement& announcement, core::TimePoint now)
{
    const auto it = m_records.find(announcement.upstream);
    if (it != m_records.end() && isOlder(announcement, it->second.announcement))
        return false;
    m_records[announcement.upstream] = { announcement, now };
    return true;
}

void UpstreamRegistry::removeExpired(core::TimePoint now)
{
    std::erase_if(m_records, [&](const auto& it) { return now - it.second.renewedAt > leaseDuration; });
}

const UpstreamRegistry::Record* UpstreamRegistry::find(core::UpstreamId upstream) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() ? nullptr : &it->second;
}

std::vector<core::UpstreamId> UpstreamRegistry::eligible(const core::ServiceName& service) const
{
    std::vector<core::UpstreamId> upstreams;
    for (const auto& [id, record] : m_records) {
        if (record.announcement.service == service && takesNewWork(record.announcement.state))
            upstreams.push_back(id);
    }
    return upstreams;
}

} // namespace ibisgw::upstream
