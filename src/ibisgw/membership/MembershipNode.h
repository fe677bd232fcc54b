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

// Gossip protocol of one daemon: failure detection (SWIM), membership, and dissemination of announcements, flow records
// and revisions. A state machine without I/O: the daemon passes in received messages, calls tick() every tickInterval
// and sends the messages that are passed to the GossipOutput.
//
// A daemon holds and probes as members the daemons of its zone and of its balancer group. At the design size a group is
// one zone. A small group that spans zones is one scope, so that all its balancers are members of each other.
class MembershipNode {
public:
    MembershipNode(MembershipSettings, core::RandomSource&, MembershipEvents&);
    // Not copyable, since the parts hold references to each other.
    MembershipNode(const MembershipNode&) = delete;
    MembershipNode& operator=(const MembershipNode&) = delete;

    void handleMessage(core::NodeId from, const GossipMessage&, core::TimePoint now, GossipOutput&);
    void tick(core::TimePoint now, GossipOutput&);

    // Spreads an announcement that this daemon received from the upstream itself, from the next tick on.
    void publish(const upstream::Announcement&, core::TimePoint now);
    // Spreads an encoded flow record of this daemon, from the next tick on.
    void publish(std::vector<std::uint8_t> flowRecord, core::TimePoint now);
    // Brings an accepted revision from a controller or from the data folder into force and spreads it. False when it is
    // not newer than the revision in force.
    bool publishRevision(const configuration::AcceptedRevision&, core::TimePoint now, GossipOutput&);
    // Announces that this daemon accepts no new work. The daemon still calls tick() until it stops.
    void leave(core::TimePoint now);
    // Counts control bytes that the daemon sends outside of gossip, such as on streams.
    void chargeBytes(std::size_t bytes, core::TimePoint now) { m_budget.chargeBytes(bytes, now); }

    const Member& self() const { return m_settings.self; }
    const MemberTable& members() const { return m_members; }
    // Synchronized balancers of the group of this daemon, which can be homes of flows, ordered by identifier. Includes
    // this daemon if it is one.
    const std::vector<core::NodeId>& groupBalancers() const { return m_groupBalancers; }
    // No message has arrived from any peer for isolationLimit. The member table is kept as it is, and leases must not
    // expire.
    bool isIsolated() const { return m_isIsolated; }
    std::vector<ZoneSummary> zones() const { return m_zones.all(); }
    // Number of daemons that have at least this revision in force, in all zones.
    RevisionCount countInForce(core::Revision) const;
    const configuration::AcceptedRevision& revisionInForce() const { return m_revisions.applier().inForce(); }
    const AnnouncementTable& announcements() const { return m_announcements.table(); }
    const FlowRecordTable& flowRecords() const { return m_flowRecords.table(); }
    const ControlBudget& budget() const { return m_budget; }
    const Outbox& outbox() const { return m_outbox; }

private:
    // Adds the header to the messages that the parts post during one call, and implements the actions of the failure
    // detector.
    class Context;
    // A probe on behalf of another member, which has sent a ping request.
    struct RelayedProbe {
        core::NodeId requester;
        // Number of the probe at the requester.
        std::uint64_t number { 0 };
        // Time after which an ack is not forwarded.
        core::TimePoint until;
    };

    void detectPause(core::TimePoint now);
    void updateIsolation(core::TimePoint now);
    void updateSynchronized(core::TimePoint now);
    void updateGroup();
    void updateSelf(core::TimePoint now);
    void applyUpdate(const Member&, core::TimePoint now);
    void refute(const Member&, core::TimePoint now);
    void requestSenderEntry(core::NodeId from, const GossipMessage&, core::TimePoint now, Context&);
    void handleByType(core::NodeId from, const GossipMessage&, core::TimePoint now, Context&);
    void replyToJoin(core::NodeId from, const GossipMessage&, Context&);
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
    core::TimePoint m_nextEntryRequestAt;
};

} // namespace ibisgw::membership
