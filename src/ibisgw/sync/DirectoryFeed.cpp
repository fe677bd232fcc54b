#include "ibisgw/sync/DirectoryFeed.h"

#include <algorithm>
#include <tuple>

namespace ibisgw::sync {

namespace {

// A subscriber asks several times a second; one that is silent has ended or is cut off.
constexpr core::Duration subscriberTimeout = std::chrono::seconds(5);

// Balancers start within this time after a loss of all machines.
constexpr core::Duration announcementTime = std::chrono::seconds(3);
constexpr core::Duration announcementInterval = std::chrono::milliseconds(50);

// Changes for balancers are collected for this time: in a large fleet some upstream changes at any moment.
constexpr core::Duration balancerInterval = std::chrono::milliseconds(60);

// Bound an update to a few datagrams: the loss of one costs the whole update, and a large fleet has thousands of
// upstreams.
constexpr std::size_t maxItems = 100;
constexpr std::size_t maxRenewals = 300;
constexpr std::size_t maxMarks = 300;

} // namespace

DirectoryFeed::DirectoryFeed(std::uint64_t feed, const upstream::InstanceDirectory& directory)
    : m_feed(feed)
    , m_directory(directory)
{
}

void DirectoryFeed::handle(
    core::NodeId from, const Subscription& subscription, const FeedHead& head, core::TimePoint now, SyncOutput& output)
{
    auto& subscriber = m_subscribers[from];
    if (subscriber.process != subscription.subscriber)
        subscriber = { subscription.subscriber };
    subscriber.isController = subscription.isController;
    subscriber.mode = subscription.mode;
    subscriber.heardAt = now;
    subscriber.heard = subscription.heard;
    if (subscription.feed == m_feed)
        noteAcknowledged(subscriber, subscription.acknowledged);
    if (subscription.digest != 0 && subscription.digest == m_directory.digest())
        subscriber.acknowledged = subscriber.holdsAllTo = m_directory.newestChange();
    auto update = subscription.mode == FollowMode::Heads ? makeHead(subscriber.acknowledged, head)
                                                         : makeUpdate(subscriber.acknowledged, subscriber, head, now);
    update.from = subscription.feed == m_feed ? subscription.acknowledged : 0;
    noteSent(subscriber, update);
    output.send(from, std::move(update));
}

void DirectoryFeed::noteAcknowledged(Subscriber& subscriber, std::uint64_t change)
{
    subscriber.acknowledged = std::max(subscriber.acknowledged, change);
    if (subscriber.completeTo > 0 && subscriber.acknowledged >= subscriber.completeTo)
        subscriber.holdsAllTo = std::max(subscriber.holdsAllTo, subscriber.completeTo);
}

void DirectoryFeed::noteSent(Subscriber& subscriber, const DirectoryUpdate& update)
{
    subscriber.sent = update.to;
    subscriber.isBehind = update.hasMore;
    if (!update.hasMore)
        subscriber.completeTo = update.to;
}

void DirectoryFeed::publish(const FeedHead& head, core::TimePoint now, SyncOutput& output)
{
    announce(head, now, output);
    publishTo(true, head, now, output);
    if (now < m_nextBalancerUpdate)
        return;
    m_nextBalancerUpdate = now + balancerInterval;
    publishHead(head, output);
    publishTo(false, head, now, output);
}

// Balancers that follow another controller learn of a new configuration and of the loss of contact at once, too.
void DirectoryFeed::publishHead(const FeedHead& head, SyncOutput& output)
{
    const bool isNews = head.version != m_publishedVersion[0] || head.isCurrent != m_publishedCurrent;
    m_publishedCurrent = head.isCurrent;
    if (!isNews)
        return;
    for (const auto& [node, subscriber] : m_subscribers) {
        if (subscriber.mode == FollowMode::Heads)
            output.send(node, makeHead(subscriber.acknowledged, head));
    }
}

void DirectoryFeed::publishTo(bool toControllers, const FeedHead& head, core::TimePoint now, SyncOutput& output)
{
    auto& publishedChange = m_publishedChange[toControllers ? 1 : 0];
    auto& publishedVersion = m_publishedVersion[toControllers ? 1 : 0];
    if (m_directory.newestRealChange() == publishedChange && head.version == publishedVersion)
        return;
    publishedChange = m_directory.newestRealChange();
    publishedVersion = head.version;
    std::erase_if(m_subscribers, [now](const auto& it) { return now - it.second.heardAt > subscriberTimeout; });
    // Balancers that hold the same changes get the same update, and so do controllers that hear the same others.
    using Key = std::tuple<std::uint64_t, std::uint64_t, std::vector<core::NodeId>>;
    std::map<Key, DirectoryUpdate> updates;
    for (auto& [node, subscriber] : m_subscribers) {
        // One that is behind asks for the rest itself, at its own pace.
        if (subscriber.isController != toControllers || subscriber.isBehind || subscriber.mode == FollowMode::Heads)
            continue;
        const auto [entry, isNew] = updates.try_emplace({ subscriber.sent, subscriber.holdsAllTo, subscriber.heard });
        if (isNew)
            entry->second = makeUpdate(subscriber.sent, subscriber, head, now);
        noteSent(subscriber, entry->second);
        output.send(node, entry->second);
    }
}

DirectoryUpdate DirectoryFeed::makeHead(std::uint64_t acknowledged, const FeedHead& head) const
{
    return { m_feed, acknowledged, acknowledged, {}, {}, head.version, head.controllers, head.membershipIndex,
        acknowledged < m_directory.newestRealChange(), {}, head.zone, head.isCurrent };
}

DirectoryUpdate DirectoryFeed::makeUpdate(
    std::uint64_t from, const Subscriber& subscriber, const FeedHead& head, core::TimePoint now) const
{
    auto update = makeHead(from, head);
    update.to = m_directory.newestChange();
    update.hasMore = false;
    const auto& index = subscriber.isController ? m_directory.byNews() : m_directory.byChange();
    for (auto it = index.upper_bound(from); it != index.end(); ++it) {
        const bool isFull = update.items.size() >= maxItems || update.marks.size() >= maxMarks
            || update.renewals.size() >= maxRenewals;
        if (isFull) {
            update.to = std::prev(it)->first;
            update.hasMore = true;
            break;
        }
        addNews(update, *m_directory.find(it->second), from, subscriber, now);
    }
    return update;
}

void DirectoryFeed::addNews(DirectoryUpdate& update, const upstream::InstanceRecord& record, std::uint64_t from,
    const Subscriber& subscriber, core::TimePoint now) const
{
    const auto& report = record.report;
    const auto age = now - record.renewedAt;
    const auto known = std::min(from, subscriber.holdsAllTo);
    if (record.lastReportChange > known)
        update.items.push_back({ report, age, record.isOverdue });
    else if (record.lastChange > known)
        update.marks.push_back({ report.id, report.incarnation, report.sequence, age, record.isOverdue });
    else if (std::ranges::find(subscriber.heard, record.source) == subscriber.heard.end())
        update.renewals.push_back({ report.id, report.incarnation, report.sequence });
}

std::size_t DirectoryFeed::confirmations(std::uint64_t change, std::span<const core::NodeId> controllers) const
{
    return static_cast<std::size_t>(std::ranges::count_if(controllers, [&](core::NodeId node) {
        const auto found = m_subscribers.find(node);
        return found != m_subscribers.end() && found->second.isController && found->second.acknowledged >= change;
    }));
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

void DirectoryFeed::remember(std::vector<core::NodeId> balancers, core::TimePoint now)
{
    m_awaited = std::move(balancers);
    m_awaitedUntil = now + announcementTime;
}

void DirectoryFeed::announce(const FeedHead& head, core::TimePoint now, SyncOutput& output)
{
    if (m_awaited.empty() || now < m_nextAnnouncement)
        return;
    m_nextAnnouncement = now + announcementInterval;
    std::erase_if(m_awaited, [this](core::NodeId it) { return m_subscribers.contains(it); });
    if (now >= m_awaitedUntil)
        m_awaited.clear();
    auto update = makeHead(0, head);
    update.hasMore = true;
    for (const auto& it : m_awaited)
        output.send(it, update);
}

} // namespace ibisgw::sync
