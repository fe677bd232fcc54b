#pragma once

#include "ibisgw/membership/AnnouncementExchange.h"
#include "ibisgw/membership/FailureDetector.h"
#include "ibisgw/membership/FlowRecordExchange.h"
#include "ibisgw/membership/GossipOutput.h"
#include "ibisgw/membership/JoinProcess.h"
#include "ibisgw/membership/MembershipEvents.h"
#include "ibisgw/membership/MembershipSettings.h"
#include "ibisgw/membership/Outbox.h"
#include "ibisgw/membership/RevisionExchange.h"
#include "ibisgw/membership/RumorQueue.h"
#include "ibisgw/membership/ZoneExchange.h"

#include <optional>

namespace ibisgw::membership {

// Membership and dissemination of one daemon. A pure state machine: the daemon delivers messages, calls
// tick() every tickInterval and sends what goes to the GossipOutput.
//
// A daemon probes the members of its zone and of its balancer group. At the design size a group is one
// zone; a small group that spans zones is one probing scope, so that its members know each other directly.
class MembershipNode {
public:
    MembershipNode(MembershipSettings, core::RandomSource&, MembershipEvents&);
    // The parts refer to each other.
    MembershipNode(const MembershipNode&) = delete;
    MembershipNode& operator=(const MembershipNode&) = delete;

    void handleMessage(core::NodeId from, const GossipMessage&, core::TimePoint now, GossipOutput&);
    void tick(core::TimePoint now, GossipOutput&);

    // An announcement that this daemon heard from the upstream. Goes out with the next tick.
    void publish(const upstream::Announcement&, core::TimePoint now);
    // A flow record of this daemon, in its own encoding.
    void publish(std::vector<std::uint8_t> flowRecord, core::TimePoint now);
    // An accepted revision from a controller or from the data folder. False when it is not newer.
    bool publishRevision(const configuration::AcceptedRevision&, core::TimePoint now, GossipOutput&);
    // Announces that this daemon takes no new work; the daemon goes on ticking until it stops.
    void leave(core::TimePoint now);
    // Counts control bytes that the daemon sends on other ways, such as streams.
    void noteSpent(std::size_t bytes, core::TimePoint now) { m_budget.noteSpent(bytes, now); }

    const Member& self() const { return m_settings.self; }
    const MemberTable& members() const { return m_members; }
    // Balancers of the own group that may be homes, this one included, ordered by identifier.
    const std::vector<core::NodeId>& groupBalancers() const { return m_groupBalancers; }
    // Contact with all peers is lost; the last view is kept, and no lease should expire.
    bool isIsolated() const { return m_isIsolated; }
    std::vector<ZoneSummary> zones() const { return m_zones.all(); }
    RevisionCount countInForce(core::Revision) const;
    const configuration::AcceptedRevision& revisionInForce() const { return m_revisions.applier().inForce(); }
    const AnnouncementTable& announcements() const { return m_announcements.table(); }
    const FlowRecordTable& flowRecords() const { return m_flowRecords.table(); }
    const ControlBudget& budget() const { return m_budget; }
    const Outbox& outbox() const { return m_outbox; }

private:
    // Adds the header to the messages of one call and carries out the decisions of the detector.
    class Context;
    // A probe on behalf of another member.
    struct RelayedProbe {
        core::NodeId requester;
        std::uint64_t number { 0 };
        core::TimePoint until;
    };

    void detectPause(core::TimePoint now);
    void updateIsolation(core::TimePoint now);
    void updateSynchronized(core::TimePoint now);
    void updateGroup();
    void changeSelf(core::TimePoint now);
    void learn(const Member&, core::TimePoint now);
    void refute(const Member&, core::TimePoint now);
    void greetSender(core::NodeId from, const GossipMessage&, core::TimePoint now, Context&);
    void handleByType(core::NodeId from, const GossipMessage&, core::TimePoint now, Context&);
    void answerJoin(core::NodeId from, const GossipMessage&, Context&);
    std::size_t rumorLimit() const;
    void spreadRumors(core::TimePoint now, Context&);
    void spreadRevision(bool isOrigin, Context&);

    MembershipSettings m_settings;
    core::RandomSource& m_random;
    MembershipEvents& m_events;
    MemberTable m_members;
    ControlBudget m_budget;
    Outbox m_outbox;
    FailureDetector m_detector;
    JoinProcess m_join;
    AnnouncementExchange m_announcements;
    FlowRecordExchange m_flowRecords;
    RevisionExchange m_revisions;
    ZoneExchange m_zones;
    RumorQueue<core::NodeId, Member> m_rumors;
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes;
    std::vector<core::NodeId> m_groupBalancers;
    bool m_isIsolated { false };
    std::optional<core::TimePoint> m_lastTickAt;
    core::TimePoint m_lastReceivedAt;
    core::TimePoint m_selfChangedAt;
    core::TimePoint m_nextRumorAt;
    core::TimePoint m_nextSummaryAt;
    core::TimePoint m_nextGreetingAt;
};

} // namespace ibisgw::membership
