#include "ibisgw/membership/AnnouncementExchange.h"

#include "ibisgw/membership/PeerSelection.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

constexpr core::Duration spreadInterval = std::chrono::milliseconds(100);
constexpr std::size_t spreadFanout = 3;
constexpr std::size_t maxChangesPerMessage = 12;
// When more upstreams change at once, as when a zone starts, each is sent less often and the slices find
// what is missing: 683 announcements of 55 bytes sent eight times would take 100 s of the budget.
constexpr std::size_t maxPendingChanges = 32;
constexpr std::size_t sendLimitWhenMany = 2;

constexpr core::Duration loadInterval = std::chrono::milliseconds(400);
// Room for the message header and the fields of a slice beside its loads.
constexpr std::size_t loadHeaderBytes = 60;
constexpr std::size_t sliceBytes = 2 * AnnouncementTable::sliceEntries + 32;
constexpr std::size_t maxLoadMessageBytes = 1200;

// Differences right after a change are resolved by its rumor; one repair at a time keeps their cost low.
constexpr core::Duration repairInterval = std::chrono::milliseconds(300);
constexpr std::size_t maxRepairBytes = 900;

std::size_t announcementBytes(const upstream::Announcement& announcement)
{
    // Numbers of 9, 9, 5, 1, 2, 2 and 5 bytes at most, heads included.
    return announcement.service.size() + announcement.zone.size() + 40;
}

} // namespace

AnnouncementExchange::AnnouncementExchange(core::RandomSource& random)
    : m_random(random)
{
}

void AnnouncementExchange::publish(const upstream::Announcement& announcement, core::TimePoint now)
{
    if (m_table.apply(announcement, now) == AnnouncementTable::Change::Changed) {
        m_changes.add(announcement.upstream, announcement);
        m_nextSpreadAt = now;
    }
}

void AnnouncementExchange::handle(
    core::NodeId from, const GossipMessage& message, core::TimePoint now, MessageSink& sink, MembershipEvents& events)
{
    for (const auto& it : message.announcements)
        learn(it, now, events);
    for (const auto& slice : message.loads) {
        std::vector<upstream::Announcement> renewed;
        if (!m_table.applySlice(slice, now, renewed))
            repair(from, slice, now, sink);
        for (const auto& it : renewed)
            events.announcementLearned(it);
    }
    for (const auto& range : message.ranges) {
        if (!range.wantsReply)
            continue;
        GossipMessage reply;
        std::size_t bytes = 0;
        for (const auto& own : m_table.inRange(range.first, range.last)) {
            const auto isKnown = std::any_of(
                message.announcements.begin(), message.announcements.end(), [&](const upstream::Announcement& theirs) {
                    return theirs.upstream == own.upstream && theirs.incarnation == own.incarnation
                        && theirs.sequence >= own.sequence;
                });
            bytes += isKnown ? 0 : announcementBytes(own);
            if (!isKnown && bytes <= maxRepairBytes)
                reply.announcements.push_back(own);
        }
        if (!reply.announcements.empty())
            sink.post(Priority::Load, from, std::move(reply));
    }
}

void AnnouncementExchange::tick(
    const std::vector<core::NodeId>& peers, std::size_t loadRoom, core::TimePoint now, MessageSink& sink)
{
    if (peers.empty())
        return;
    if (!m_changes.isEmpty() && now >= m_nextSpreadAt) {
        m_nextSpreadAt = now + spreadInterval;
        spreadChanges(peers, sink);
    }
    if (now >= m_nextLoadAt && loadRoom >= loadHeaderBytes + sliceBytes) {
        m_nextLoadAt = now + loadInterval;
        sendLoads(peers, std::min(loadRoom, maxLoadMessageBytes), sink);
    }
}

void AnnouncementExchange::learn(
    const upstream::Announcement& announcement, core::TimePoint now, MembershipEvents& events)
{
    const auto change = m_table.apply(announcement, now);
    if (change == AnnouncementTable::Change::None)
        return;
    if (change == AnnouncementTable::Change::Changed)
        m_changes.add(announcement.upstream, announcement);
    events.announcementLearned(announcement);
}

void AnnouncementExchange::spreadChanges(const std::vector<core::NodeId>& peers, MessageSink& sink)
{
    const auto isMany = m_changes.size() > maxPendingChanges;
    const auto targets = choosePeers(peers, spreadFanout, m_random);
    GossipMessage message;
    message.announcements = m_changes.take(
        maxChangesPerMessage, targets.size(), isMany ? sendLimitWhenMany : rumorSendLimit(peers.size()));
    for (const auto& it : targets)
        sink.post(Priority::Configuration, it, message);
}

void AnnouncementExchange::sendLoads(const std::vector<core::NodeId>& peers, std::size_t room, MessageSink& sink)
{
    GossipMessage message;
    const auto maxSlices = (room - loadHeaderBytes) / sliceBytes;
    const auto start = m_cursor;
    for (std::size_t n = 0; n < maxSlices; ++n) {
        auto slice = m_table.sliceFrom(m_cursor, AnnouncementTable::maxId(), AnnouncementTable::sliceEntries);
        m_cursor.value = slice.last == AnnouncementTable::maxId() ? 0 : slice.last.value + 1;
        message.loads.push_back(std::move(slice));
        if (m_cursor == start)
            break;
    }
    sink.post(Priority::Load, choosePeers(peers, 1, m_random).front(), std::move(message));
}

void AnnouncementExchange::repair(core::NodeId peer, const LoadSlice& slice, core::TimePoint now, MessageSink& sink)
{
    if (now < m_nextRepairAt)
        return;
    m_nextRepairAt = now + repairInterval;
    GossipMessage message;
    const auto own = m_table.inRange(slice.first, slice.last);
    if (std::min(own.size(), slice.loads.size() / 2) <= AnnouncementTable::repairEntries) {
        AnnouncementRange range { slice.first, slice.last, true };
        std::size_t bytes = 0;
        for (const auto& it : own) {
            bytes += announcementBytes(it);
            if (bytes > maxRepairBytes)
                break;
            range.last = it.upstream;
            message.announcements.push_back(it);
        }
        // All of them fitted: the range keeps its end, so that the peer adds what lies behind the last one.
        if (message.announcements.size() == own.size())
            range.last = slice.last;
        message.ranges.push_back(range);
    } else {
        auto first = slice.first;
        while (first <= slice.last && message.loads.size() < AnnouncementTable::sliceEntries / 4) {
            message.loads.push_back(m_table.sliceFrom(first, slice.last, AnnouncementTable::repairEntries));
            first.value = message.loads.back().last.value + 1;
        }
    }
    sink.post(Priority::Load, peer, std::move(message));
}

} // namespace ibisgw::membership
