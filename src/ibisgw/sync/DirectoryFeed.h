#pragma once

#include "ibisgw/sync/SyncMessage.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <map>
#include <span>

namespace ibisgw::sync {

// What a controller says about itself in each update.
struct FeedHead {
    direct::ConfigurationVersion version { 0 };
    std::vector<core::NodeId> controllers;
    std::uint64_t membershipIndex { 0 };
    core::ZoneName zone;
    // The controller hears most of the others and holds what they know.
    bool isCurrent { false };
};

// Spreads the directory of one controller to the balancers that follow it and to the other controllers. A change is
// sent at once and again with each subscription until it is acknowledged.
class DirectoryFeed {
public:
    // `feed` is a random number that is new with each start.
    DirectoryFeed(std::uint64_t feed, const upstream::InstanceDirectory&);

    void handle(core::NodeId from, const Subscription&, const FeedHead&, core::TimePoint now, SyncOutput&);
    // Sends what has changed since the last call to all subscribers.
    void publish(const FeedHead&, core::TimePoint now, SyncOutput&);

    // Balancers that followed this controller before its start. They are told that it is back until they subscribe,
    // since their seeds may start later than this controller.
    void remember(std::vector<core::NodeId> balancers, core::TimePoint now);
    // Balancers that have subscribed lately.
    std::vector<core::NodeId> subscribedBalancers() const;

    // How many of the given controllers hold the change; the caller counts itself.
    std::size_t confirmations(std::uint64_t change, std::span<const core::NodeId> controllers) const;
    std::size_t subscriberCount() const { return m_subscribers.size(); }

private:
    struct Subscriber {
        std::uint64_t process { 0 };
        bool isController { false };
        FollowMode mode { FollowMode::Changes };
        std::uint64_t acknowledged { 0 };
        // Up to here changes were sent. A subscription starts again from what it acknowledges.
        std::uint64_t sent { 0 };
        // The last change of the newest update that held all that there was, and of the newest such one that is
        // acknowledged. Reports that are not newer than the latter are known to the subscriber; before, a report may
        // have been left out of all parts because its mark was newer.
        std::uint64_t completeTo { 0 };
        std::uint64_t holdsAllTo { 0 };
        // The last update did not hold all changes.
        bool isBehind { false };
        // Controllers that it hears itself.
        std::vector<core::NodeId> heard;
        core::TimePoint heardAt;
    };
    void announce(const FeedHead&, core::TimePoint now, SyncOutput&);
    static void noteAcknowledged(Subscriber&, std::uint64_t change);
    static void noteSent(Subscriber&, const DirectoryUpdate&);
    DirectoryUpdate makeHead(std::uint64_t acknowledged, const FeedHead&) const;
    // What a subscriber is to learn after the change `from`.
    DirectoryUpdate makeUpdate(std::uint64_t from, const Subscriber&, const FeedHead&, core::TimePoint now) const;
    void addNews(DirectoryUpdate&, const upstream::InstanceRecord&, std::uint64_t from, const Subscriber&,
        core::TimePoint) const;
    void publishTo(bool toControllers, const FeedHead&, core::TimePoint now, SyncOutput&);
    void publishHead(const FeedHead&, SyncOutput&);

    std::uint64_t m_feed;
    const upstream::InstanceDirectory& m_directory;
    std::map<core::NodeId, Subscriber> m_subscribers;
    // By kind of subscriber, balancers first.
    std::uint64_t m_publishedChange[2] {};
    direct::ConfigurationVersion m_publishedVersion[2] {};
    bool m_publishedCurrent { false };
    core::TimePoint m_nextBalancerUpdate {};
    std::vector<core::NodeId> m_awaited;
    core::TimePoint m_awaitedUntil {};
    core::TimePoint m_nextAnnouncement {};
};

} // namespace ibisgw::sync
