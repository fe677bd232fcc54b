#pragma once

#include "ibisgw/sync/DepartureWriter.h"
#include "ibisgw/sync/SyncMessage.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace ibisgw::sync {

// A controller that has sent no update for this long counts as unreachable. Long enough for two lost subscriptions.
inline constexpr core::Duration contactLimit = std::chrono::seconds(2);

struct SubscriberOptions {
    core::NodeId self;
    // Random number that is chosen at each start of the process.
    std::uint64_t process { 0 };
    bool isController { false };
    // Controllers to contact first. Their updates name the voters of the controller group.
    std::vector<core::NodeId> seeds;
    // Time between two subscriptions to a controller whose changes are requested (FollowMode::Changes).
    core::Duration interval { std::chrono::milliseconds(500) };
    // Zone of this daemon; a balancer prefers to follow a controller of it.
    core::ZoneName zone;
};

// Whether a configuration and a set of evacuated zones are known to be the newest accepted ones.
enum class ConfigurationCheck : std::uint8_t {
    Isolated, // fewer than a majority of the voters are in contact, so that nothing can be known
    Unconfirmed, // a majority is in contact, and a newer version or set may have been accepted
    Confirmed, // a majority of the voters have logged neither a newer version nor a newer set
};

// Keeps a copy of the upstream directory up to date by subscriptions to the feeds of controllers. A controller
// subscribes to the changes of all other controllers, so that it holds every change that one of them has acknowledged.
// A balancer subscribes to the changes of one controller that is in contact with a majority of the group and so holds
// the same changes: each change reaches a balancer once, not once from each controller. A balancer requests only the
// status of the other controllers, and switches to one of them when the controller that it follows stops responding.
// Also requests configurations that are newer than the one held here.
class DirectorySubscriber {
public:
    // A controller passes a DepartureWriter, which stores departures before the update with them is acknowledged.
    // Balancers pass none.
    DirectorySubscriber(SubscriberOptions, upstream::InstanceDirectory&, DepartureWriter* = nullptr);

    // Merges an update into the directory. Acknowledges it at once where the sender waits for that, otherwise with the
    // next subscription.
    void handle(core::NodeId from, const DirectoryUpdate&, core::TimePoint now, SyncOutput&);
    // Requests the newest configuration if a controller has reported one above the version held here. Requests go to
    // one controller at a time; the next controller is tried when no transfer arrives.
    void fetchConfiguration(direct::ConfigurationVersion held, core::TimePoint now, SyncOutput&);
    // Each accepted version, and each committed set of evacuated zones, is in the logs of a quorum of the voters. A
    // majority of voters that have their disks has one of these in common with every quorum (RaftNode::isQuorum()).
    ConfigurationCheck checkConfiguration(
        direct::ConfigurationVersion heldVersion, std::uint64_t heldEvacuationRevision, core::TimePoint now) const;
    // Sends the subscriptions that are due.
    void tick(core::TimePoint now, SyncOutput&);
    // Makes all subscriptions due, because updates may have been missed.
    void requestUpdates(core::TimePoint now);
    void setSeeds(std::vector<core::NodeId> seeds) { m_options.seeds = std::move(seeds); }
    // Sets the voters of the group, unless they are known from an entry with a higher index.
    void adoptVoters(const std::vector<core::NodeId>&, std::uint64_t membershipIndex);
    // Adds a controller that has sent a message without being a seed or a known member of the group.
    void addController(core::NodeId);

    // The committed set of evacuated zones with the highest revision received from any controller.
    const upstream::ZoneEvacuations& evacuations() const { return m_evacuations; }
    // True when all changes of at least one controller were received.
    bool hasCompleteDirectory() const;
    // Number of controllers that have sent an update within contactLimit.
    std::size_t reachableControllers(core::TimePoint now) const;
    // Number of the given controllers that have done so.
    std::size_t reachableAmong(std::span<const core::NodeId>, core::TimePoint now) const;
    // Controllers of a zone that answer subscriptions and report isCurrent, so that upstreams can report to them.
    std::vector<core::NodeId> currentControllersIn(const core::ZoneName&, core::TimePoint now) const;
    // The controller that a balancer follows; invalid until one has answered.
    core::NodeId followedController() const { return m_followedController; }

private:
    // State of the subscription to one controller.
    struct Feed {
        // Random number of the controller's process; 0 before its first update.
        std::uint64_t feedId { 0 };
        // Newest change of the feed up to which all changes were received, and on a controller stored.
        std::uint64_t acknowledged { 0 };
        // The last update left no changes for a later one.
        bool isComplete { false };
        // Status of the controller, from its last update.
        direct::ConfigurationVersion version { 0 };
        direct::ConfigurationVersion loggedVersion { 0 };
        std::uint64_t loggedEvacuationRevision { 0 };
        core::ZoneName zone;
        bool isCurrent { false };
        bool isVoter { false };
        // The controller has learned of upstreams; one that has just started with an empty disk has not.
        bool hasUpstreams { false };
        // Time of the last update; empty before the first one.
        std::optional<core::TimePoint> lastUpdateAt;
        // Time of the first subscription since the last update; empty when none was sent since.
        std::optional<core::TimePoint> unansweredSince;
        // Time since which the controller has had changes that were not received here; empty when it has none.
        std::optional<core::TimePoint> missingChangesSince;
        core::TimePoint nextSubscription;
    };

    void subscribe(core::NodeId, Feed&, core::TimePoint now, SyncOutput&);
    core::Duration intervalOf(core::NodeId, const Feed&, core::TimePoint now);
    FollowMode modeOf(core::NodeId, const Feed&, core::TimePoint now) const;
    void chooseFollowed(core::TimePoint now);
    bool isResponding(const Feed&, core::TimePoint now) const;
    void adoptEvacuations(const DirectoryUpdate&);
    static void noteStatus(Feed&, const DirectoryUpdate&, core::TimePoint now);
    bool needsImmediateSubscription(core::NodeId, const Feed&, const DirectoryUpdate&, bool isNew, core::TimePoint now);
    bool noteFillProgress(core::NodeId, bool hasMore, core::TimePoint now);
    void resumeFilling(core::TimePoint now);
    bool keepDepartures(const DirectoryUpdate&, core::TimePoint now);
    void merge(core::NodeId from, const DirectoryUpdate&, core::TimePoint now);
    static bool isInContact(const Feed&, core::TimePoint now, core::Duration limit);
    std::vector<core::NodeId> controllersInContact(core::TimePoint now, core::Duration limit) const;
    void dropUnknownFeeds();

    SubscriberOptions m_options;
    upstream::InstanceDirectory& m_directory;
    DepartureWriter* m_departures;
    std::map<core::NodeId, Feed> m_feeds;
    // Voters of the controller group, from the update with the highest membership index.
    std::vector<core::NodeId> m_voters;
    // Controllers of addController(), the oldest first.
    std::vector<core::NodeId> m_contacts;
    std::uint64_t m_membershipIndex { 0 };
    upstream::ZoneEvacuations m_evacuations;
    std::optional<core::TimePoint> m_startedAt;
    // Earliest time of the next configuration request, and the controller that received the last one.
    core::TimePoint m_nextConfigurationRequest {};
    core::NodeId m_lastRequested;
    core::NodeId m_followedController;
    // The controller whose directory a balancer is receiving in several updates, and the time of the last of them.
    // Invalid when no such transfer is under way.
    core::NodeId m_fillSource;
    core::TimePoint m_lastFillAt {};
};

} // namespace ibisgw::sync
