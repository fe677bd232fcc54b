#include "ibisgw/upstream/UpstreamRegistry.h"

#include <algorithm>

namespace ibisgw::upstream {

namespace {

// Announcements of upstreams that ran before this balancer started arrive within this time.
constexpr core::Duration initialAnnouncementPeriod = std::chrono::seconds(5);
// Share of new work of a new upstream at the beginning of its warm-up.
constexpr double initialShare = 0.1;

bool isOlder(const Announcement& candidate, const Announcement& held)
{
    if (candidate.incarnation != held.incarnation)
        return candidate.incarnation < held.incarnation;
    return candidate.sequence <= held.sequence;
}

bool isPlannedDeparture(UpstreamState state)
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
    if (m_lastAnnouncementAt.empty())
        m_firstAnnouncementAt = now;
    // After a partition the leases of the zone's other upstreams start anew, as their announcements couldn't arrive.
    if (auto& lastAnnouncementAt = m_lastAnnouncementAt[announcement.zone];
        now - lastAnnouncementAt > zoneSilenceTimeout) {
        for (auto& [id, record] : m_records) {
            if (record.announcement.zone == announcement.zone)
                record.renewedAt = now;
        }
    }
    m_lastAnnouncementAt[announcement.zone] = now;
    Record record { announcement, now, now, now, now, now };
    initializeAdmission(record, held, now);
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

void UpstreamRegistry::setEvacuatedZones(std::set<core::ZoneName> zones)
{
    m_changeCount += zones != m_evacuatedZones;
    m_evacuatedZones = std::move(zones);
}

bool UpstreamRegistry::takesNewWork(const Record& record) const
{
    return wouldTakeNewWork(record) && !m_evacuatedZones.contains(record.announcement.zone);
}

bool UpstreamRegistry::wouldTakeNewWork(const Record& record) const
{
    const auto& announcement = record.announcement;
    const bool isOpen = announcement.state == UpstreamState::Ready || announcement.state == UpstreamState::Warming;
    return isOpen && !m_drained.contains(announcement.upstream);
}

void UpstreamRegistry::initializeAdmission(Record& record, const Record* held, core::TimePoint now)
{
    if (held && held->announcement.incarnation == record.announcement.incarnation) {
        record.incarnationSince = held->incarnationSince;
        record.readmittedAt = held->readmittedAt;
        record.warmUpSince = held->warmUpSince;
        return;
    }
    const auto id = record.announcement.upstream;
    // An upstream without a record but with a flap entry has let its lease expire, which counts as a flap as well.
    const bool hasFlapped = held ? !isPlannedDeparture(held->announcement.state) : m_flaps.contains(id);
    if (hasFlapped)
        record.readmittedAt = noteFlap(id, now);
    record.warmUpSince = record.readmittedAt;
    if (!held && now - m_firstAnnouncementAt < initialAnnouncementPeriod)
        record.warmUpSince = now - warmUpDuration;
}

core::TimePoint UpstreamRegistry::noteFlap(core::UpstreamId id, core::TimePoint now)
{
    auto& flaps = m_flaps[id];
    if (now - flaps.lastAt > flapRetention)
        flaps.count = 0;
    ++flaps.count;
    flaps.lastAt = now;
    auto delay = minReadmissionDelay;
    for (unsigned n = 1; n < flaps.count && delay < maxReadmissionDelay; ++n)
        delay *= 2;
    return now + std::min(delay, maxReadmissionDelay);
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
        if (!isPlannedDeparture(record.announcement.state))
            m_flaps.try_emplace(it->first, Flaps { 0, now });
        it = m_records.erase(it);
        ++m_changeCount;
    }
    std::erase_if(m_flaps, [&](const auto& it) { return now - it.second.lastAt > flapRetention; });
}

const UpstreamRegistry::Record* UpstreamRegistry::find(core::UpstreamId upstream) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() ? nullptr : &it->second;
}

bool UpstreamRegistry::isRunning(core::UpstreamId upstream) const
{
    const auto* record = find(upstream);
    return record && record->announcement.state != UpstreamState::Stopped;
}

bool UpstreamRegistry::isRunning(core::UpstreamId upstream, core::Incarnation incarnation) const
{
    return isRunning(upstream) && find(upstream)->announcement.incarnation == incarnation;
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

bool UpstreamRegistry::isEvacuated(core::UpstreamId upstream) const
{
    const auto* record = find(upstream);
    return record && m_evacuatedZones.contains(record->announcement.zone);
}

bool UpstreamRegistry::isServiceEvacuated(const core::ServiceName& service) const
{
    if (m_evacuatedZones.empty() || !eligible(service).empty())
        return false;
    return std::ranges::any_of(m_records,
        [&](const auto& it) { return it.second.announcement.service == service && wouldTakeNewWork(it.second); });
}

double UpstreamRegistry::newWorkShare(core::UpstreamId upstream, core::TimePoint now) const
{
    const auto* record = find(upstream);
    if (!record || !takesNewWork(*record) || now < record->readmittedAt)
        return 0;
    const auto warm = core::toSeconds(now - record->warmUpSince) / core::toSeconds(warmUpDuration);
    if (record->announcement.state == UpstreamState::Ready && warm >= 1)
        return 1;
    return std::clamp(warm, initialShare, 1.0);
}

core::Duration UpstreamRegistry::drainTime(core::UpstreamId upstream, core::TimePoint now) const
{
    const auto* record = find(upstream);
    const bool isDraining = record && record->announcement.state == UpstreamState::Draining;
    return isDraining ? now - record->drainingSince : core::Duration::zero();
}

bool UpstreamRegistry::isZoneSilent(const core::ZoneName& zone, core::TimePoint now) const
{
    const auto it = m_lastAnnouncementAt.find(zone);
    if (it == m_lastAnnouncementAt.end() || now - it->second <= zoneSilenceTimeout)
        return false;
    // While announcements from other zones arrive, the only upstream of a zone has more likely failed than been
    // partitioned.
    const auto members
        = std::ranges::count_if(m_records, [&](const auto& record) { return record.second.announcement.zone == zone; });
    return members > 1 || !hasRecentAnnouncements(now);
}

bool UpstreamRegistry::hasRecentAnnouncements(core::TimePoint now) const
{
    return std::ranges::any_of(
        m_lastAnnouncementAt, [&](const auto& it) { return now - it.second <= zoneSilenceTimeout; });
}

bool UpstreamRegistry::isZoneCutOff(const core::ZoneName& zone, core::TimePoint now) const
{
    return isZoneSilent(zone, now) && hasRecentAnnouncements(now);
}

} // namespace ibisgw::upstream
