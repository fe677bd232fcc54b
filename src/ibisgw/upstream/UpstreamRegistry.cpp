#include "ibisgw/upstream/UpstreamRegistry.h"

#include <algorithm>

namespace ibisgw::upstream {

namespace {

// Announcements of upstreams that were there before this balancer arrive within this time.
constexpr core::Duration learningDuration = std::chrono::seconds(5);
// Share of new work with which a cold upstream starts.
constexpr double firstShare = 0.1;

bool isOlder(const Announcement& candidate, const Announcement& held)
{
    if (candidate.incarnation != held.incarnation)
        return candidate.incarnation < held.incarnation;
    return candidate.sequence <= held.sequence;
}

bool isPlannedEnd(UpstreamState state)
{
    return state == UpstreamState::Draining || state == UpstreamState::Stopped;
}

} // namespace

bool UpstreamRegistry::apply(const Announcement& announcement, core::TimePoint now)
{
    const auto it = m_records.find(announcement.upstream);
    const auto* held = it == m_records.end() ? nullptr : &it->second;
    if (held && isOlder(announcement, held->announcement))
        return false;
    if (m_lastHeard.empty())
        m_firstHeard = now;
    // After a time without contact nothing is known of the others, so their leases start anew.
    if (auto& lastHeard = m_lastHeard[announcement.zone]; now - lastHeard > silenceLimit) {
        for (auto& [id, record] : m_records) {
            if (record.announcement.zone == announcement.zone)
                record.renewedAt = now;
        }
    }
    m_lastHeard[announcement.zone] = now;
    Record record { announcement, now, now, now, now, now };
    admit(record, held, now);
    if (held && held->announcement.state == UpstreamState::Draining)
        record.drainingSince = held->drainingSince;
    const bool isChange = !held || held->announcement.state != announcement.state
        || held->announcement.slots != announcement.slots || held->announcement.service != announcement.service
        || held->announcement.zone != announcement.zone || held->announcement.incarnation != announcement.incarnation;
    m_changeCount += isChange;
    m_records[announcement.upstream] = std::move(record);
    return true;
}

void UpstreamRegistry::setDrained(std::set<core::UpstreamId> drained)
{
    m_changeCount += drained != m_drained;
    m_drained = std::move(drained);
}

bool UpstreamRegistry::takesNewWork(const Record& record) const
{
    const auto& announcement = record.announcement;
    const bool isOpen = announcement.state == UpstreamState::Ready || announcement.state == UpstreamState::Warming;
    return isOpen && !m_drained.contains(announcement.upstream);
}

void UpstreamRegistry::admit(Record& record, const Record* held, core::TimePoint now)
{
    if (held && held->announcement.incarnation == record.announcement.incarnation) {
        record.incarnationSince = held->incarnationSince;
        record.readmittedAt = held->readmittedAt;
        record.warmUpSince = held->warmUpSince;
        return;
    }
    const auto id = record.announcement.upstream;
    // An upstream that is not held any more and has flaps has expired: that was a flap as well.
    const bool hasFlapped = held ? !isPlannedEnd(held->announcement.state) : m_flaps.contains(id);
    if (hasFlapped)
        record.readmittedAt = noteFlap(id, now);
    record.warmUpSince = record.readmittedAt;
    if (!held && now - m_firstHeard < learningDuration)
        record.warmUpSince = now - warmUpDuration;
}

core::TimePoint UpstreamRegistry::noteFlap(core::UpstreamId id, core::TimePoint now)
{
    auto& flaps = m_flaps[id];
    if (now - flaps.lastAt > flapMemory)
        flaps.count = 0;
    ++flaps.count;
    flaps.lastAt = now;
    auto delay = firstReadmissionDelay;
    for (unsigned n = 1; n < flaps.count && delay < longestReadmissionDelay; ++n)
        delay *= 2;
    return now + std::min(delay, longestReadmissionDelay);
}

void UpstreamRegistry::removeExpired(core::TimePoint now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto& record = it->second;
        const bool isExpired = now - record.renewedAt > leaseDuration;
        if (!isExpired
            || (record.announcement.state != UpstreamState::Stopped && isZoneSilent(record.announcement.zone, now))) {
            ++it;
            continue;
        }
        if (!isPlannedEnd(record.announcement.state))
            m_flaps.try_emplace(it->first, Flaps { 0, now });
        it = m_records.erase(it);
        ++m_changeCount;
    }
    std::erase_if(m_flaps, [&](const auto& it) { return now - it.second.lastAt > flapMemory; });
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
        if (record.announcement.service == service && takesNewWork(record))
            upstreams.push_back(id);
    }
    return upstreams;
}

double UpstreamRegistry::newWorkShare(core::UpstreamId upstream, core::TimePoint now) const
{
    const auto* record = find(upstream);
    if (!record || !takesNewWork(*record) || now < record->readmittedAt)
        return 0;
    const auto warm = core::toSeconds(now - record->warmUpSince) / core::toSeconds(warmUpDuration);
    if (record->announcement.state == UpstreamState::Ready && warm >= 1)
        return 1;
    return std::clamp(warm, firstShare, 1.0);
}

core::Duration UpstreamRegistry::drainTime(core::UpstreamId upstream, core::TimePoint now) const
{
    const auto* record = find(upstream);
    const bool isDraining = record && record->announcement.state == UpstreamState::Draining;
    return isDraining ? now - record->drainingSince : core::Duration::zero();
}

bool UpstreamRegistry::isZoneSilent(const core::ZoneName& zone, core::TimePoint now) const
{
    const auto it = m_lastHeard.find(zone);
    if (it == m_lastHeard.end() || now - it->second <= silenceLimit)
        return false;
    // One upstream alone is more likely dead than cut off, as long as others are heard.
    const auto members
        = std::ranges::count_if(m_records, [&](const auto& record) { return record.second.announcement.zone == zone; });
    return members > 1 || !hasContact(now);
}

bool UpstreamRegistry::hasContact(core::TimePoint now) const
{
    return std::ranges::any_of(m_lastHeard, [&](const auto& it) { return now - it.second <= silenceLimit; });
}

bool UpstreamRegistry::isZoneCutOff(const core::ZoneName& zone, core::TimePoint now) const
{
    return isZoneSilent(zone, now) && hasContact(now);
}

} // namespace ibisgw::upstream
