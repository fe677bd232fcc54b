#include "ibisgw/sync/DirectoryFeed.h"

#include <algorithm>
#include <tuple>

namespace ibisgw::sync {

namespace {

// Subscribers renew their subscription at least every 1.5 s. One that has sent none for this long has stopped or is
// unreachable, and receives no further updates.
constexpr core::Duration subscriberTimeout = std::chrono::seconds(5);

// After a loss of all machines the balancers start within this time of the controller.
constexpr core::Duration announcementPeriod = std::chrono::seconds(3);
constexpr core::Duration announcementInterval = std::chrono::milliseconds(50);

// Shortest time between two updates to balancers, which collects changes into one update: in a large fleet some
// upstream changes at any moment.
constexpr core::Duration minBalancerUpdateInterval = std::chrono::milliseconds(60);

// These limits keep an update within a few datagrams: the loss of one datagram loses the whole update, and a large
// fleet has thousands of upstreams.
constexpr std::size_t maxItems = 100;
constexpr std::size_t maxItemTextBytes = 8192;
constexpr std::size_t maxRenewals = 300;
constexpr std::size_t maxMarks = 300;

std::size_t textBytes(const upstream::InstanceReport& report)
{
    return report.service.size() + report.zone.size();
}

} // namespace

DirectoryFeed::DirectoryFeed(std::uint64_t feed, const upstream::InstanceDirectory& directory)
    : m_feed(feed)
    , m_directory(directory)
{
}

void DirectoryFeed::handle(core::NodeId from, const Subscription& subscription, const FeedStatus& status,
    core::TimePoint now, SyncOutput& output)
{
    auto& subscriber = m_subscribers[from];
    if (subscriber.process != subscription.subscriber)
        subscriber = { subscription.subscriber };
    subscriber.isController = subscription.isController;
    subscriber.mode = subscription.mode;
    subscriber.lastSubscriptionAt = now;
    subscriber.directPeers = subscription.directPeers;
    if (subscription.feed == m_feed)
        noteAcknowledged(subscriber, subscription.acknowledged);
    if (subscription.digest != 0 && subscription.digest == m_directory.digest())
        subscriber.acknowledged = subscriber.completeAcknowledgedTo = m_directory.newestUpdate();
    auto update = subscription.mode == FollowMode::StatusOnly
        ? makeStatusUpdate(subscriber.acknowledged, status)
        : makeUpdate(subscriber.acknowledged, subscriber, status, now);
    update.from = subscription.feed == m_feed ? subscription.acknowledged : 0;
    noteSent(subscriber, update);
    output.send(from, std::move(update));
}

void DirectoryFeed::noteAcknowledged(Subscriber& subscriber, std::uint64_t change)
{
    subscriber.acknowledged = std::max(subscriber.acknowledged, change);
    if (subscriber.completeSentTo > 0 && subscriber.acknowledged >= subscriber.completeSentTo)
        subscriber.completeAcknowledgedTo = std::max(subscriber.completeAcknowledgedTo, subscriber.completeSentTo);
}

void DirectoryFeed::noteSent(Subscriber& subscriber, const DirectoryUpdate& update)
{
    subscriber.sent = update.to;
    subscriber.hasUnsentChanges = update.hasMore;
    if (!update.hasMore)
        subscriber.completeSentTo = update.to;
}

void DirectoryFeed::publish(const FeedStatus& status, core::TimePoint now, SyncOutput& output)
{
    sendAnnouncements(status, now, output);
    publishTo(true, status, now, output);
    const bool isEvacuationChanged = status.evacuations.revision != m_publishedEvacuationRevision[0];
    if (now < m_nextBalancerUpdate && !isEvacuationChanged)
        return;
    m_nextBalancerUpdate = now + minBalancerUpdateInterval;
    publishStatus(status, output);
    publishTo(false, status, now, output);
}

// Pushes a new configuration version, a new set of evacuated zones, and a change of isCurrent or isVoter, also to the
// balancers that follow another controller.
void DirectoryFeed::publishStatus(const FeedStatus& status, SyncOutput& output)
{
    const bool isChanged = status.version != m_publishedVersion[0] || status.isCurrent != m_publishedIsCurrent
        || status.isVoter != m_publishedIsVoter || status.evacuations.revision != m_publishedEvacuationRevision[0];
    m_publishedIsCurrent = status.isCurrent;
    m_publishedIsVoter = status.isVoter;
    if (!isChanged)
        return;
    for (const auto& [node, subscriber] : m_subscribers) {
        if (subscriber.mode == FollowMode::StatusOnly)
            output.send(node, makeStatusUpdate(subscriber.acknowledged, status));
    }
}

void DirectoryFeed::publishTo(bool toControllers, const FeedStatus& status, core::TimePoint now, SyncOutput& output)
{
    auto& publishedChange = m_publishedChange[toControllers ? 1 : 0];
    auto& publishedVersion = m_publishedVersion[toControllers ? 1 : 0];
    auto& publishedEvacuationRevision = m_publishedEvacuationRevision[toControllers ? 1 : 0];
    if (m_directory.newestChange() == publishedChange && status.version == publishedVersion
        && status.evacuations.revision == publishedEvacuationRevision)
        return;
    publishedChange = m_directory.newestChange();
    publishedVersion = status.version;
    publishedEvacuationRevision = status.evacuations.revision;
    std::erase_if(
        m_subscribers, [now](const auto& it) { return now - it.second.lastSubscriptionAt > subscriberTimeout; });
    // Balancers that hold the same changes receive the same update, which is built once. So do controllers that hold
    // the same changes and receive updates from the same other controllers.
    using Key = std::tuple<std::uint64_t, std::uint64_t, std::vector<core::NodeId>>;
    std::map<Key, DirectoryUpdate> updates;
    for (auto& [node, subscriber] : m_subscribers) {
        // A subscriber with unsent changes requests the rest in its next subscription.
        if (subscriber.isController != toControllers || subscriber.hasUnsentChanges
            || subscriber.mode == FollowMode::StatusOnly)
            continue;
        const auto [entry, isNew]
            = updates.try_emplace({ subscriber.sent, subscriber.completeAcknowledgedTo, subscriber.directPeers });
        if (isNew)
            entry->second = makeUpdate(subscriber.sent, subscriber, status, now);
        noteSent(subscriber, entry->second);
        output.send(node, entry->second);
    }
}

DirectoryUpdate DirectoryFeed::makeStatusUpdate(std::uint64_t acknowledged, const FeedStatus& status) const
{
    return { m_feed, acknowledged, acknowledged, {}, {}, status.version, status.controllers, status.membershipIndex,
        acknowledged < m_directory.newestChange(), {}, status.zone, status.isCurrent, status.loggedVersion,
        status.isVoter, status.evacuations, status.loggedEvacuationRevision };
}

DirectoryUpdate DirectoryFeed::makeUpdate(
    std::uint64_t from, const Subscriber& subscriber, const FeedStatus& status, core::TimePoint now) const
{
    auto update = makeStatusUpdate(from, status);
    update.to = m_directory.newestUpdate();
    update.hasMore = false;
    std::size_t itemTextBytes = 0;
    const auto& index = subscriber.isController ? m_directory.byUpdate() : m_directory.byChange();
    for (auto it = index.upper_bound(from); it != index.end(); ++it) {
        const bool isFull = update.items.size() >= maxItems || update.marks.size() >= maxMarks
            || update.renewals.size() >= maxRenewals || itemTextBytes >= maxItemTextBytes;
        if (isFull) {
            update.to = std::prev(it)->first;
            update.hasMore = true;
            break;
        }
        const auto itemCount = update.items.size();
        addRecord(update, *m_directory.find(it->second), from, subscriber, now);
        if (update.items.size() > itemCount)
            itemTextBytes += textBytes(update.items.back().report);
    }
    return update;
}

void DirectoryFeed::addRecord(DirectoryUpdate& update, const upstream::InstanceRecord& record, std::uint64_t from,
    const Subscriber& subscriber, core::TimePoint now) const
{
    const auto& report = record.report;
    const auto age = now - record.renewedAt;
    const auto heldTo = std::min(from, subscriber.completeAcknowledgedTo);
    if (record.lastReportChange > heldTo)
        update.items.push_back({ report, age, record.isOverdue });
    else if (record.lastChange > heldTo)
        update.marks.push_back({ report.id, report.incarnation, report.sequence, age, record.isOverdue });
    else if (std::ranges::find(subscriber.directPeers, record.source) == subscriber.directPeers.end())
        update.renewals.push_back({ report.id, report.incarnation, report.sequence });
}

std::size_t DirectoryFeed::confirmations(std::uint64_t change, std::span<const core::NodeId> controllers) const
{
    return static_cast<std::size_t>(std::ranges::count_if(controllers, [&](core::NodeId node) {
        const auto found = m_subscribers.find(node);
        return found != m_subscribers.end() && found->second.isController && found->second.acknowledged >= change;
    }));
}

std::vector<core::NodeId> DirectoryFeed::followers() const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, subscriber] : m_subscribers) {
        if (!subscriber.isController && subscriber.mode == FollowMode::Changes)
            nodes.push_back(node);
    }
    return nodes;
}

std::vector<core::NodeId> DirectoryFeed::subscribedBalancers() const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, subscriber] : m_subscribers) {
        if (!subscriber.isController)
            nodes.push_back(node);
    }
    return nodes;
}

void DirectoryFeed::setFormerBalancers(std::vector<core::NodeId> balancers, core::TimePoint now)
{
    m_rememberedBalancers = std::move(balancers);
    m_announceUntil = now + announcementPeriod;
}

void DirectoryFeed::sendAnnouncements(const FeedStatus& status, core::TimePoint now, SyncOutput& output)
{
    if (m_rememberedBalancers.empty() || now < m_nextAnnouncement)
        return;
    m_nextAnnouncement = now + announcementInterval;
    std::erase_if(m_rememberedBalancers, [this](core::NodeId it) { return m_subscribers.contains(it); });
    if (now >= m_announceUntil)
        m_rememberedBalancers.clear();
    auto update = makeStatusUpdate(0, status);
    update.hasMore = true;
    for (const auto& it : m_rememberedBalancers)
        output.send(it, update);
}

} // namespace ibisgw::sync
