#pragma once

#include "ibisgw/sync/SyncMessage.h"
#include "ibisgw/upstream/InstanceDirectory.h"
#include "ibisgw/upstream/ZoneEvacuations.h"

#include <map>
#include <span>

namespace ibisgw::sync {

// Status of a controller, which is part of each update that it sends.
struct FeedStatus {
    // Newest accepted configuration that the controller has received.
    direct::ConfigurationVersion version { 0 };
    // Voters of the controller group, and the index of the log entry that set them.
    std::vector<core::NodeId> controllers;
    std::uint64_t membershipIndex { 0 };
    core::ZoneName zone;
    // The controller receives updates from a majority of the voters and holds all changes of those members.
    bool isCurrent { false };
    // See DirectoryUpdate.
    direct::ConfigurationVersion loggedVersion { 0 };
    bool isVoter { true };
    // Committed set of evacuated zones.
    upstream::ZoneEvacuations evacuations;
    // Highest revision of evacuated zones in the log of the controller, committed or not.
    std::uint64_t loggedEvacuationRevision { 0 };
};

// Sends the upstream directory of one controller to its subscribers: the balancers that follow the controller, and the
// other controllers. A change is pushed at the next publish() and repeated in the reply to each subscription until the
// subscriber acknowledges it. Updates hold only what the subscriber lacks.
class DirectoryFeed {
public:
    // `feed` is a random number that is chosen at each start of the process.
    DirectoryFeed(std::uint64_t feed, const upstream::InstanceDirectory&);

    // Registers or refreshes a subscriber and replies with the next update.
    void handle(core::NodeId from, const Subscription&, const FeedStatus&, core::TimePoint now, SyncOutput&);
    // Sends the changes since the last call to the subscribers. To be called in each iteration of the event loop; a
    // call without changes sends nothing. A change of the evacuated zones goes to all subscribers at once, other
    // changes for balancers are collected for a short time.
    void publish(const FeedStatus&, core::TimePoint now, SyncOutput&);

    // Sets the balancers that followed this controller before its restart. publish() sends them its status for a few
    // seconds or until they subscribe, since the seeds of a balancer may start later than this controller.
    void setFormerBalancers(std::vector<core::NodeId> balancers, core::TimePoint now);
    // Balancers that receive the changes of the directory from this controller.
    std::vector<core::NodeId> followers() const;
    // Balancers whose subscriptions have not expired.
    std::vector<core::NodeId> subscribedBalancers() const;

    // Number of the given controllers that have acknowledged the change. This controller has no subscription to
    // itself, so callers add it to the result.
    std::size_t confirmations(std::uint64_t change, std::span<const core::NodeId> controllers) const;
    std::size_t subscriberCount() const { return m_subscribers.size(); }

private:
    struct Subscriber {
        // Random number of the subscriber's process; another number means that it has restarted.
        std::uint64_t process { 0 };
        bool isController { false };
        FollowMode mode { FollowMode::Changes };
        // Newest change that the subscriber has acknowledged.
        std::uint64_t acknowledged { 0 };
        // Newest change that was sent. The reply to a subscription resets this to the acknowledged change, so that
        // lost updates are repeated.
        std::uint64_t sent { 0 };
        // Last change of the newest update that left no changes for a later one.
        std::uint64_t completeSentTo { 0 };
        // Last change of the newest such update that the subscriber has acknowledged. The subscriber holds all reports
        // up to this change, but may lack one up to `acknowledged`: an overdue mark gives an upstream a newer change
        // number, so that a directory sent in several updates may hold the mark without the report.
        std::uint64_t completeAcknowledgedTo { 0 };
        // The last update left changes for a later one.
        bool hasUnsentChanges { false };
        // Controllers that the subscriber receives updates from itself; see Subscription.
        std::vector<core::NodeId> directPeers;
        core::TimePoint lastSubscriptionAt;
    };

    void sendAnnouncements(const FeedStatus&, core::TimePoint now, SyncOutput&);
    static void noteAcknowledged(Subscriber&, std::uint64_t change);
    static void noteSent(Subscriber&, const DirectoryUpdate&);
    DirectoryUpdate makeStatusUpdate(std::uint64_t acknowledged, const FeedStatus&) const;
    // The changes after `from` that the subscriber lacks, up to the size limits of one update.
    DirectoryUpdate makeUpdate(std::uint64_t from, const Subscriber&, const FeedStatus&, core::TimePoint now) const;
    // Adds what the subscriber lacks of one upstream: its whole report, only an overdue mark, or only a renewal. Adds
    // nothing when the subscriber receives the renewals of the upstream from another controller itself.
    void addRecord(DirectoryUpdate&, const upstream::InstanceRecord&, std::uint64_t from, const Subscriber&,
        core::TimePoint) const;
    void publishTo(bool toControllers, const FeedStatus&, core::TimePoint now, SyncOutput&);
    void publishStatus(const FeedStatus&, SyncOutput&);

    std::uint64_t m_feed;
    const upstream::InstanceDirectory& m_directory;
    std::map<core::NodeId, Subscriber> m_subscribers;
    // What publish() sent last: [0] to balancers, [1] to controllers.
    std::uint64_t m_publishedChange[2] {};
    direct::ConfigurationVersion m_publishedVersion[2] {};
    std::uint64_t m_publishedEvacuationRevision[2] {};
    bool m_publishedIsCurrent { false };
    bool m_publishedIsVoter { false };
    core::TimePoint m_nextBalancerUpdate {};
    // Balancers of setFormerBalancers() that have not subscribed yet, and the time until which they receive
    // announcements.
    std::vector<core::NodeId> m_rememberedBalancers;
    core::TimePoint m_announceUntil {};
    core::TimePoint m_nextAnnouncement {};
};

} // namespace ibisgw::sync
