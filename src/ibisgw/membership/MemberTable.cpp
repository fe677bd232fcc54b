#include "ibisgw/membership/MemberTable.h"

#include <algorithm>

namespace ibisgw::membership {

MemberTable::Change MemberTable::apply(const Member& update, core::TimePoint now)
{
    const auto found = m_records.find(update.id);
    if (found == m_records.end()) {
        auto& record = m_records[update.id];
        record = { update, now, {}, {} };
        if (update.suspectedBy.isValid())
            record.suspecters.insert(update.suspectedBy);
        return Change::Joined;
    }
    auto& record = found->second;
    auto& known = record.member;
    if (update.incarnation == known.incarnation && update.state == known.state) {
        if (update.state == MemberState::Suspect && record.suspecters.insert(update.suspectedBy).second)
            return Change::Confirmed;
        return Change::None;
    }
    if (std::pair { update.incarnation, update.state } < std::pair { known.incarnation, known.state })
        return Change::None;
    // Messages of the member itself report its revision sooner than rumors do, so a rumor does not change it. A
    // restarted daemon, with a higher incarnation, may hold a lower revision until it has caught up.
    const auto revision = update.incarnation > known.incarnation ? update.revision : known.revision;
    if (update.state != known.state)
        record.changedAt = now;
    known = update;
    known.revision = revision;
    record.suspecters.clear();
    if (update.suspectedBy.isValid())
        record.suspecters.insert(update.suspectedBy);
    return Change::Updated;
}

void MemberTable::noteMessage(core::NodeId id, core::Revision inForce, core::TimePoint now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    found->second.lastMessageAt = now;
    found->second.member.revision = inForce;
}

void MemberTable::remove(core::NodeId id)
{
    m_records.erase(id);
}

void MemberTable::restartTimers(core::TimePoint now)
{
    for (auto& [id, record] : m_records)
        record.changedAt = now;
}

const MemberTable::Record* MemberTable::find(core::NodeId id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<core::NodeId> MemberTable::reachable() const
{
    std::vector<core::NodeId> ids;
    for (const auto& [id, record] : m_records) {
        if (record.member.state != MemberState::Dead)
            ids.push_back(id);
    }
    return ids;
}

std::size_t MemberTable::reachableCount() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(),
        [](const auto& it) { return it.second.member.state != MemberState::Dead; }));
}

} // namespace ibisgw::membership
