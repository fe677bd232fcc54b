#include "ibisgw/sync/DirectoryFeed.h"

#include <algorithm>

namespace ibisgw::sync {

namespace {

// A subscriber asks several times a second; one that is silent has ended or is cut off.
constexpr core::Duration subscriberTimeout = std::chrono::seconds(5);

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
    subscriber.heardAt = now;
    if (subscription.feed == m_feed)
        subscriber.acknowledged = std::max(subscriber.acknowledged, subscription.acknowledged);
    sendUpdate(from, subscriber, head, now, output);
}

void DirectoryFeed::publish(const FeedHead& head, core::TimePoint now, SyncOutput& output)
{
    if (m_directory.newestRealChange() == m_publishedChange && head.version == m_publishedVersion)
        return;
    m_publishedChange = m_directory.newestRealChange();
    m_publishedVersion = head.version;
    std::erase_if(m_subscribers, [now](const auto& it) { return now - it.second.heardAt > subscriberTimeout; });
    for (const auto& [node, subscriber] : m_subscribers)
        sendUpdate(node, subscriber, head, now, output);
}

void DirectoryFeed::sendUpdate(core::NodeId node, const Subscriber& subscriber, const FeedHead& head,
    core::TimePoint now, SyncOutput& output) const
{
    DirectoryUpdate update { m_feed, subscriber.acknowledged, m_directory.newestChange(), {}, {}, head.version,
        head.controllers, head.membershipIndex };
    for (const auto& [id, record] : m_directory.records()) {
        if (record.lastChange > subscriber.acknowledged)
            update.items.push_back({ record.report, now - record.renewedAt, record.isOverdue });
        else if (subscriber.isController && record.lastRenewal > subscriber.acknowledged)
            update.renewals.push_back({ id, record.report.incarnation, record.report.sequence });
    }
    output.send(node, std::move(update));
}

std::size_t DirectoryFeed::confirmations(std::uint64_t change, std::span<const core::NodeId> controllers) const
{
    return static_cast<std::size_t>(std::ranges::count_if(controllers, [&](core::NodeId node) {
        const auto found = m_subscribers.find(node);
        return found != m_subscribers.end() && found->second.isController && found->second.acknowledged >= change;
    }));
}

std::vector<core::NodeId> DirectoryFeed::subscribedControllers() const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, subscriber] : m_subscribers) {
        if (subscriber.isController)
            nodes.push_back(node);
    }
    return nodes;
}

} // namespace ibisgw::sync
