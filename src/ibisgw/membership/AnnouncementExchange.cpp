#include "ibisgw/membership/AnnouncementExchange.h"

#include "ibisgw/membership/PeerSelection.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

constexpr core::Duration spreadInterval = std::chrono::milliseconds(100);
constexpr std::size_t spreadFanout = 3;
constexpr std::size_t maxChangesPerMessage = 12;
constexpr std::size_t minRepairRoom = 400;
// When more upstreams than this are added at once, as at the start of a zone, the announcement of a new upstream is
// spread only by the daemon that received it from the upstream, and slices repair the rest: 683 announcements of 55
// bytes sent eight times would take 100 s of the budget.
constexpr std::size_t maxAddedRumors = 32;
// Copies of a new upstream's announcement that a daemon sends then.
constexpr std::size_t sendLimitWhenMany = 2;

constexpr core::Duration loadInterval = std::chrono::milliseconds(400);
// Bytes for the message header and the fields of a slice besides its loads.
constexpr std::size_t loadHeaderBytes = 60;
constexpr std::size_t sliceBytes = 2 * AnnouncementTable::sliceEntries + 32;
// A message with loads is sent once the budget has room for this size, or for all upstreams if they take less. Two
// messages of 870 bytes a second fit into the budget beside probes. They carry more loads than one of 1,250 bytes, or
// than four of 400 bytes, where headers take too large a share.
constexpr std::size_t maxLoadMessageBytes = 870;
// Slices that differ renew no lease. For this time after one was received, messages with loads are limited to the
// smaller size, which leaves the budget to announcements.
constexpr core::Duration differenceDuration = std::chrono::seconds(1);
constexpr std::size_t maxLoadBytesWhenDifferent = 300;

// Shortest time between two repairs. Most differences occur right after a change and are resolved by its rumor, so that
// frequent repairs would be wasted.
constexpr core::Duration repairInterval = std::chrono::milliseconds(150);
constexpr std::size_t maxRepairBytes = 1000;
constexpr std::size_t repairSliceBytes = 2 * AnnouncementTable::repairEntries + 28;
constexpr std::size_t rangeBytes = 20;

std::size_t announcementBytes(const upstream::Announcement& announcement)
{
    // Besides the two strings: numbers of 9, 9, 5, 1, 2, 2 and 5 bytes at most, with their CBOR heads, and the heads of
    // the array and the strings.
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
        m_added.add(announcement.upstream, announcement);
    if (change == AnnouncementTable::Change::Changed) {
        m_changes.add(announcement.upstream, announcement);
        m_nextSpreadAt = now;
    }
}

void AnnouncementExchange::handle(core::NodeId from, const GossipMessage& message, std::size_t loadRoom,
    core::TimePoint now, MessageSink& sink, MembershipEvents& events)
{
    for (const auto& it : message.announcements)
        applyAnnouncement(it, now, events);
    std::vector<LoadSlice> different;
    for (const auto& slice : message.loads) {
        std::vector<upstream::Announcement> renewed;
        if (!m_table.applySlice(slice, now, renewed))
            different.push_back(slice);
        for (const auto& it : renewed)
            events.announcementReceived(it);
    }
    if (different.empty())
        return;
    m_lastDifferenceAt = now;
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
    if (now >= m_nextSpreadAt && !(m_changes.isEmpty() && m_added.isEmpty())) {
        m_nextSpreadAt = now + spreadInterval;
        spreadRumors(peers, loadRoom, sink);
    }
    const auto wantedBytes = now - m_lastDifferenceAt < differenceDuration
        ? maxLoadBytesWhenDifferent
        : std::min(
            maxLoadMessageBytes, loadHeaderBytes + (m_table.size() / AnnouncementTable::sliceEntries + 1) * sliceBytes);
    if (now >= m_nextLoadAt && loadRoom >= wantedBytes) {
        m_nextLoadAt = now + loadInterval;
        sendLoads(peers, wantedBytes, sink);
    }
}

void AnnouncementExchange::applyAnnouncement(
    const upstream::Announcement& announcement, core::TimePoint now, MembershipEvents& events)
{
    const auto change = m_table.apply(announcement, now);
    if (change == AnnouncementTable::Change::None)
        return;
    if (change == AnnouncementTable::Change::Changed)
        m_changes.add(announcement.upstream, announcement);
    else if (change == AnnouncementTable::Change::Added && m_added.size() < maxAddedRumors)
        m_added.add(announcement.upstream, announcement);
    events.announcementReceived(announcement);
}

void AnnouncementExchange::spreadRumors(const std::vector<core::NodeId>& peers, std::size_t loadRoom, MessageSink& sink)
{
    const auto targets = choosePeers(peers, spreadFanout, m_random);
    const auto sendLimit = rumorSendLimit(peers.size());
    if (!m_changes.isEmpty()) {
        GossipMessage message;
        message.announcements = m_changes.take(maxChangesPerMessage, targets.size(), sendLimit);
        for (const auto& it : targets)
            sink.post(Priority::Configuration, it, message);
    }
    if (m_added.isEmpty() || loadRoom < minRepairRoom)
        return;
    const auto isLimited = m_added.size() >= maxAddedRumors;
    GossipMessage message;
    message.announcements = m_added.take(maxChangesPerMessage, 1, isLimited ? sendLimitWhenMany : sendLimit);
    sink.post(Priority::Load, targets.front(), std::move(message));
}

void AnnouncementExchange::sendLoads(const std::vector<core::NodeId>& peers, std::size_t room, MessageSink& sink)
{
    GossipMessage message;
    const auto maxSlices = (room - loadHeaderBytes) / sliceBytes;
    const auto start = m_nextSliceStart;
    for (std::size_t n = 0; n < maxSlices; ++n) {
        auto slice = m_table.sliceFrom(m_nextSliceStart, AnnouncementTable::maxId(), AnnouncementTable::sliceEntries);
        m_nextSliceStart.value = slice.last == AnnouncementTable::maxId() ? 0 : slice.last.value + 1;
        message.loads.push_back(std::move(slice));
        if (m_nextSliceStart == start)
            break;
    }
    sink.post(Priority::Load, choosePeers(peers, 1, m_random).front(), std::move(message));
}

// Replies to slices that differ. A range with few upstreams on either side is answered with the announcements held here
// and a request for those of the peer; a larger range is split into smaller slices, which locate the difference.
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
