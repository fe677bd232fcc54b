#include "ibisgw/membership/AnnouncementExchange.h"

#include "ibisgw/membership/PeerSelection.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

constexpr core::Duration spreadInterval = std::chrono::milliseconds(100);
constexpr std::size_t spreadFanout = 3;
constexpr std::size_t maxChangesPerMessage = 12;
constexpr std::size_t minRepairRoom = 400;
// When more upstreams appear at once, as when a zone starts, only the daemon that heard one passes it on, and
// the slices find what is missing: 683 announcements of 55 bytes sent eight times would take 100 s of the budget.
constexpr std::size_t maxArrivals = 32;
constexpr std::size_t sendLimitWhenMany = 2;

constexpr core::Duration loadInterval = std::chrono::milliseconds(400);
// Room for the message header and the fields of a slice beside its loads.
constexpr std::size_t loadHeaderBytes = 60;
constexpr std::size_t sliceBytes = 2 * AnnouncementTable::sliceEntries + 32;
// Messages wait until the budget has room for this, or for all upstreams: two of 870 bytes a second fit beside
// probes and carry more than one of 1,250 or four of 400, which the headers eat up.
constexpr std::size_t maxLoadMessageBytes = 870;
constexpr core::Duration differenceDuration = std::chrono::seconds(1);
constexpr std::size_t maxLoadBytesWhenDifferent = 300;

// Differences right after a change are resolved by its rumor; one repair at a time keeps their cost low.
constexpr core::Duration repairInterval = std::chrono::milliseconds(150);
constexpr std::size_t maxRepairBytes = 1000;
constexpr std::size_t repairSliceBytes = 2 * AnnouncementTable::repairEntries + 28;
constexpr std::size_t rangeBytes = 20;

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
    const auto change = m_table.apply(announcement, now);
    if (change == AnnouncementTable::Change::Added)
        m_arrivals.add(announcement.upstream, announcement);
    if (change == AnnouncementTable::Change::Changed) {
        m_changes.add(announcement.upstream, announcement);
        m_nextSpreadAt = now;
    }
}

void AnnouncementExchange::handle(core::NodeId from, const GossipMessage& message, std::size_t loadRoom,
    core::TimePoint now, MessageSink& sink, MembershipEvents& events)
{
    for (const auto& it : message.announcements)
        learn(it, now, events);
    std::vector<LoadSlice> different;
    for (const auto& slice : message.loads) {
        std::vector<upstream::Announcement> renewed;
        if (!m_table.applySlice(slice, now, renewed))
            different.push_back(slice);
        for (const auto& it : renewed)
            events.announcementLearned(it);
    }
    if (different.empty())
        return;
    m_differedAt = now;
    if (now >= m_nextRepairAt && loadRoom >= minRepairRoom) {
        m_nextRepairAt = now + repairInterval;
        repair(from, different, std::min(maxRepairBytes, loadRoom - loadHeaderBytes), sink);
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
    if (now >= m_nextSpreadAt && !(m_changes.isEmpty() && m_arrivals.isEmpty())) {
        m_nextSpreadAt = now + spreadInterval;
        spread(peers, loadRoom, sink);
    }
    // Slices that differ renew nothing; the budget then goes to announcements.
    const auto wantedBytes = now - m_differedAt < differenceDuration
        ? maxLoadBytesWhenDifferent
        : std::min(
            maxLoadMessageBytes, loadHeaderBytes + (m_table.size() / AnnouncementTable::sliceEntries + 1) * sliceBytes);
    if (now >= m_nextLoadAt && loadRoom >= wantedBytes) {
        m_nextLoadAt = now + loadInterval;
        sendLoads(peers, wantedBytes, sink);
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
    else if (change == AnnouncementTable::Change::Added && m_arrivals.size() < maxArrivals)
        m_arrivals.add(announcement.upstream, announcement);
    events.announcementLearned(announcement);
}

void AnnouncementExchange::spread(const std::vector<core::NodeId>& peers, std::size_t loadRoom, MessageSink& sink)
{
    const auto targets = choosePeers(peers, spreadFanout, m_random);
    const auto sendLimit = rumorSendLimit(peers.size());
    if (!m_changes.isEmpty()) {
        GossipMessage message;
        message.announcements = m_changes.take(maxChangesPerMessage, targets.size(), sendLimit);
        for (const auto& it : targets)
            sink.post(Priority::Configuration, it, message);
    }
    if (m_arrivals.isEmpty() || loadRoom < minRepairRoom)
        return;
    const auto isMany = m_arrivals.size() >= maxArrivals;
    GossipMessage message;
    message.announcements = m_arrivals.take(maxChangesPerMessage, 1, isMany ? sendLimitWhenMany : sendLimit);
    sink.post(Priority::Load, targets.front(), std::move(message));
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

void AnnouncementExchange::repair(
    core::NodeId peer, const std::vector<LoadSlice>& different, std::size_t maxBytes, MessageSink& sink)
{
    GossipMessage message;
    std::size_t bytes = 0;
    for (const auto& slice : different) {
        if (bytes > maxBytes)
            break;
        const auto own = m_table.inRange(slice.first, slice.last);
        if (std::min(own.size(), slice.loads.size() / 2) > AnnouncementTable::repairEntries) {
            for (auto first = slice.first; first <= slice.last && bytes <= maxBytes;) {
                message.loads.push_back(m_table.sliceFrom(first, slice.last, AnnouncementTable::repairEntries));
                bytes += repairSliceBytes;
                first.value = message.loads.back().last.value + 1;
            }
            continue;
        }
        AnnouncementRange range { slice.first, slice.last, true };
        for (const auto& it : own) {
            bytes += announcementBytes(it);
            if (bytes > maxBytes) {
                range.last.value = it.upstream.value - 1;
                break;
            }
            message.announcements.push_back(it);
        }
        bytes += rangeBytes;
        if (range.first <= range.last)
            message.ranges.push_back(range);
    }
    sink.post(Priority::Load, peer, std::move(message));
}

} // namespace ibisgw::membership
