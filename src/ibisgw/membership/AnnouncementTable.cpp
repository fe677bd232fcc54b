#include "ibisgw/membership/AnnouncementTable.h"

#include <algorithm>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ibisgw::membership {

namespace {

std::uint32_t extendHash(std::uint32_t hash, const upstream::Announcement& announcement)
{
    const std::uint64_t words[] { announcement.upstream.value, announcement.incarnation,
        static_cast<std::uint64_t>(announcement.state) };
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(words, sizeof(words), hash));
}

} // namespace

AnnouncementTable::Change AnnouncementTable::apply(const upstream::Announcement& update, core::TimePoint now)
{
    const auto found = m_entries.find(update.upstream);
    if (found == m_entries.end()) {
        m_entries[update.upstream] = { update, now };
        return Change::Added;
    }
    auto& entry = found->second;
    const auto& known = entry.announcement;
    if (std::pair { update.incarnation, update.sequence } <= std::pair { known.incarnation, known.sequence })
        return Change::None;
    const bool isChanged = update.incarnation != known.incarnation || update.state != known.state;
    entry = { update, now };
    return isChanged ? Change::Changed : Change::Renewed;
}

bool AnnouncementTable::applySlice(
    const LoadSlice& slice, core::TimePoint now, std::vector<upstream::Announcement>& renewed)
{
    std::vector<Entry*> entries;
    std::uint32_t hash = 0;
    for (auto it = m_entries.lower_bound(slice.first); it != m_entries.end() && it->first <= slice.last; ++it) {
        if (!it->second.isListed)
            continue;
        entries.push_back(&it->second);
        hash = extendHash(hash, it->second.announcement);
    }
    if (hash != slice.hash || entries.size() * 2 != slice.loads.size())
        return false;
    for (std::size_t n = 0; n < entries.size(); ++n) {
        auto& known = entries[n]->announcement;
        // Sequences grow by one a second and leases last 10 s, so the signed difference of the low bytes tells which
        // sequence is newer.
        const auto ahead = static_cast<std::int8_t>(slice.loads[2 * n] - static_cast<std::uint8_t>(known.sequence));
        if (ahead <= 0)
            continue;
        known.sequence += static_cast<std::uint64_t>(ahead);
        known.busySlots = slice.loads[2 * n + 1];
        entries[n]->renewedAt = now;
        entries[n]->isExpired = false;
        renewed.push_back(known);
    }
    return true;
}

void AnnouncementTable::removeExpired(core::TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        entry.isExpired = now - entry.renewedAt > leaseDuration;
        entry.isListed = now - entry.renewedAt <= listedDuration;
        it = now - entry.renewedAt > tombstoneDuration ? m_entries.erase(it) : std::next(it);
    }
}

LoadSlice AnnouncementTable::sliceFrom(core::UpstreamId first, core::UpstreamId last, std::size_t entries) const
{
    LoadSlice slice { first, last, 0, {} };
    for (auto it = m_entries.lower_bound(first); it != m_entries.end() && it->first <= last; ++it) {
        if (!it->second.isListed)
            continue;
        if (slice.loads.size() == 2 * entries) {
            slice.last.value = it->first.value - 1;
            break;
        }
        const auto& announcement = it->second.announcement;
        slice.hash = extendHash(slice.hash, announcement);
        slice.loads.push_back(static_cast<std::uint8_t>(announcement.sequence));
        slice.loads.push_back(static_cast<std::uint8_t>(
            std::min<std::uint16_t>(announcement.busySlots, std::numeric_limits<std::uint8_t>::max())));
    }
    return slice;
}

std::vector<upstream::Announcement> AnnouncementTable::inRange(core::UpstreamId first, core::UpstreamId last) const
{
    std::vector<upstream::Announcement> announcements;
    for (auto it = m_entries.lower_bound(first); it != m_entries.end() && it->first <= last; ++it) {
        if (it->second.isListed)
            announcements.push_back(it->second.announcement);
    }
    return announcements;
}

const AnnouncementTable::Entry* AnnouncementTable::find(core::UpstreamId id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::size_t AnnouncementTable::size() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto& it) { return !it.second.isExpired; }));
}

} // namespace ibisgw::membership
