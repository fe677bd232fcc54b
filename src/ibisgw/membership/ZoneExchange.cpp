#include "ibisgw/membership/ZoneExchange.h"

#include "ibisgw/membership/PeerSelection.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

constexpr core::Duration summaryInterval = std::chrono::seconds(1);

} // namespace

ZoneExchange::ZoneExchange(const Member& self, const MemberTable& members, core::RandomSource& random)
    : m_self(self)
    , m_members(members)
    , m_random(random)
{
}

void ZoneExchange::handle(const GossipMessage& message, core::TimePoint now)
{
    for (const auto& it : message.zones)
        m_zones.merge(it, now);
}

void ZoneExchange::tick(RevisionId inForce, core::TimePoint now, MessageSink& sink)
{
    if (now < m_nextSummaryAt)
        return;
    m_nextSummaryAt = now + summaryInterval;
    if (!isDelegate())
        return;
    // Only the summary of this zone is sent: the summaries of all six zones to five zones would take 1.9 KB/s.
    const auto own = m_zones.replace(makeSummary(inForce), now);
    for (const auto& [zone, entry] : m_zones.entries()) {
        if (zone == m_self.zone)
            continue;
        GossipMessage message;
        message.zones = { own };
        for (const auto& it : choosePeers(entry.summary.delegates, 1, m_random))
            sink.post(Priority::FlowRecords, it, message);
    }
}

std::vector<core::NodeId> ZoneExchange::chooseRemoteDelegates()
{
    std::vector<core::NodeId> chosen;
    if (!isDelegate())
        return chosen;
    for (const auto& [zone, entry] : m_zones.entries()) {
        if (zone == m_self.zone)
            continue;
        for (const auto& it : choosePeers(entry.summary.delegates, 1, m_random))
            chosen.push_back(it);
    }
    return chosen;
}

RevisionCount ZoneExchange::countInForce(core::Revision revision, core::Revision ownRevision) const
{
    RevisionCount count { ownRevision >= revision ? 1U : 0U, 1 };
    for (const auto& [id, record] : m_members.records()) {
        if (record.member.state == MemberState::Dead || record.member.zone != m_self.zone)
            continue;
        ++count.alive;
        count.inForce += record.member.revision >= revision ? 1 : 0;
    }
    for (const auto& [zone, entry] : m_zones.entries()) {
        if (zone == m_self.zone)
            continue;
        const auto& summary = entry.summary;
        count.alive += summary.aliveCount;
        if (summary.oldestRevision >= revision)
            count.inForce += summary.aliveCount;
        else if (summary.newest.revision >= revision)
            count.inForce += summary.inForceCount;
    }
    return count;
}

bool ZoneExchange::isDelegate() const
{
    const auto delegates = ownDelegates();
    return std::find(delegates.begin(), delegates.end(), m_self.id) != delegates.end();
}

std::vector<core::NodeId> ZoneExchange::ownDelegates() const
{
    std::vector<core::NodeId> alive { m_self.id };
    for (const auto& [id, record] : m_members.records()) {
        if (record.member.zone == m_self.zone && record.member.state == MemberState::Alive)
            alive.push_back(id);
    }
    return chooseDelegates(m_self.zone, std::move(alive));
}

ZoneSummary ZoneExchange::makeSummary(RevisionId inForce) const
{
    ZoneSummary summary { m_self.zone, 0, inForce, inForce.revision, 1, 1, ownDelegates() };
    for (const auto& [id, record] : m_members.records()) {
        if (record.member.zone != m_self.zone || record.member.state == MemberState::Dead)
            continue;
        ++summary.aliveCount;
        summary.inForceCount += record.member.revision >= inForce.revision ? 1 : 0;
        summary.oldestRevision = std::min(summary.oldestRevision, record.member.revision);
    }
    return summary;
}

} // namespace ibisgw::membership
