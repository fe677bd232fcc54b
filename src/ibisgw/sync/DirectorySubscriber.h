#pragma once

#include "ibisgw/sync/DepartureKeeper.h"
#include "ibisgw/sync/SyncMessage.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <map>
#include <optional>
#include <vector>

namespace ibisgw::sync {

// A controller that has not answered for this long is not in contact; two subscriptions may be lost.
inline constexpr core::Duration contactLimit = std::chrono::seconds(2);

struct SubscriberOptions {
    core::NodeId self;
    // Random number that is new with each start.
    std::uint64_t process { 0 };
    bool isController { false };
    // The first contacts; the others are learned from their updates.
    std::vector<core::NodeId> seeds;
    // Between subscriptions to a controller whose changes are followed.
    core::Duration interval { std::chrono::milliseconds(500) };
    core::ZoneName zone;
};

// Keeps a directory up to date. A controller follows all others, so that it holds what any of them has acknowledged.
// A balancer follows one that hears most of the others and so holds the same: each change reaches a balancer once, not
// once from each controller. It asks the others only for their heads and follows one of them when its own falls silent.
// Also fetches newer configurations.
class DirectorySubscriber {
public:
    // A controller keeps departures before it acknowledges them.
    DirectorySubscriber(SubscriberOptions, upstream::InstanceDirectory&, DepartureKeeper* = nullptr);

    void handle(core::NodeId from, const DirectoryUpdate&, core::TimePoint now, SyncOutput&);
    // Asks for the configurations that the controllers hold beyond the given version, one controller at a time.
    void fetchConfiguration(direct::ConfigurationVersion held, core::TimePoint now, SyncOutput&);
    void tick(core::TimePoint now, SyncOutput&);
    void setSeeds(std::vector<core::NodeId> seeds) { m_options.seeds = std::move(seeds); }
    // A controller that has made contact itself.
    void addController(core::NodeId);

    // Whether some controller has sent everything that it knows.
    bool isFilled() const;
    // Controllers that are in contact.
    std::size_t reachableControllers(core::TimePoint now) const;
    // Controllers of a zone that answer and say that they hold what the others know.
    std::vector<core::NodeId> currentControllersIn(const core::ZoneName&, core::TimePoint now) const;
    // The controller that a balancer follows; invalid when it has heard of none.
    core::NodeId followed() const { return m_followed; }

private:
    struct Feed {
        std::uint64_t feed { 0 };
        std::uint64_t acknowledged { 0 };
        // Everything that the controller knew when it sent its last update was in it.
        bool isComplete { false };
        direct::ConfigurationVersion version { 0 };
        core::ZoneName zone;
        bool isCurrent { false };
        std::optional<core::TimePoint> heardAt;
        // First subscription since then that has not been answered.
        std::optional<core::TimePoint> unansweredSince;
        // Since when it has had changes that are not known here.
        std::optional<core::TimePoint> aheadSince;
        core::TimePoint nextSubscription;
    };

    void subscribe(core::NodeId, Feed&, core::TimePoint now, SyncOutput&);
    core::Duration intervalOf(core::NodeId, const Feed&, core::TimePoint now);
    FollowMode modeOf(core::NodeId, const Feed&, core::TimePoint now) const;
    void chooseFollowed(core::TimePoint now);
    bool answers(const Feed&, core::TimePoint now) const;
    static void noteHead(Feed&, const DirectoryUpdate&, core::TimePoint now);
    bool needsSubscription(core::NodeId, const Feed&, const DirectoryUpdate&, bool isNew, core::TimePoint now);
    bool fillsFrom(core::NodeId, bool hasMore, core::TimePoint now);
    void resumeFilling(core::TimePoint now);
    bool keepDepartures(const DirectoryUpdate&, core::TimePoint now);
    void merge(core::NodeId from, const DirectoryUpdate&, core::TimePoint now);
    std::vector<core::NodeId> heardControllers(core::TimePoint now, core::Duration limit) const;
    void adoptControllers(const DirectoryUpdate&);
    void dropUnknownFeeds();

    SubscriberOptions m_options;
    upstream::InstanceDirectory& m_directory;
    DepartureKeeper* m_departures;
    std::map<core::NodeId, Feed> m_feeds;
    std::vector<core::NodeId> m_members;
    std::vector<core::NodeId> m_contacts;
    std::uint64_t m_membershipIndex { 0 };
    std::optional<core::TimePoint> m_startedAt;
    core::TimePoint m_nextRequest {};
    core::NodeId m_lastAsked;
    core::NodeId m_followed;
    // The feed that is followed part by part, and when its last part came.
    core::NodeId m_filling;
    core::TimePoint m_filledAt {};
};

} // namespace ibisgw::sync
