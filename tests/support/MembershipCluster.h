#pragma once

#include "ibisgw/configuration/AcceptedRevision.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/membership/MembershipNode.h"
#include "support/MessageQueue.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace support {

struct ClusterOptions {
    std::size_t zones { 3 };
    std::size_t daemonsPerZone { 3 };
    // Whether one balancer group spans all zones; otherwise each zone has a group of its own.
    bool groupSpansZones { true };
    NetworkConditions network;
    std::uint64_t seed { 1 };
    ibisgw::membership::MembershipRules rules;
};

// Simulation of daemons that run the SWIM membership protocol (MembershipNode), in virtual time. Injects faults of
// processes and zones, and measures the control traffic of each daemon.
class MembershipCluster {
public:
    class Daemon;

    explicit MembershipCluster(ClusterOptions);
    ~MembershipCluster();

    MessageQueue& queue() { return m_queue; }
    ibisgw::core::TimePoint now() const { return m_queue.now(); }
    std::size_t size() const { return m_daemons.size(); }
    Daemon& daemon(std::size_t index) { return *m_daemons[index]; }
    ibisgw::membership::MembershipNode& node(std::size_t index);
    ibisgw::core::NodeId id(std::size_t index) const;
    std::size_t zoneOf(std::size_t index) const { return index / m_options.daemonsPerZone; }

    void runFor(ibisgw::core::Duration duration) { m_queue.runFor(duration); }
    // Runs until the condition holds, at most for the limit; returns the time that it took.
    ibisgw::core::Duration runUntil(const std::function<bool()>&, ibisgw::core::Duration limit);

    // Ends the process without notice.
    void kill(std::size_t index);
    // Starts a new process with an empty state and a higher incarnation.
    void restart(std::size_t index);
    // Suspends the process; messages that arrive meanwhile wait in its socket buffer until resume().
    void pause(std::size_t index);
    void resume(std::size_t index);
    // Cuts a zone off from all others, in both directions.
    void cutZone(std::size_t zone);

    // Whether the membership has converged: each running daemon lists exactly the other running daemons in its scope as
    // alive, with their current incarnations. The scope is the zone, or all zones if the group spans them.
    bool hasConverged() const;
    bool allSynchronized() const;
    // Number of running daemons whose member list holds the member in this state.
    std::size_t countSeeing(std::size_t index, ibisgw::membership::MemberState) const;
    // Whether this or a newer revision is in force on all running daemons.
    bool allInForce(ibisgw::core::Revision) const;
    // Largest number of control bytes that any daemon sent within one second (sliding window) since resetTraffic().
    std::size_t peakBytesPerSecond() const;
    // Mean rate of sent messages per daemon; `since` is the time since resetTraffic().
    double messagesPerSecond(ibisgw::core::Duration since) const;
    void resetTraffic();

private:
    friend class Daemon;

    void startProcess(std::size_t index);
    void scheduleTick(std::size_t index);

    ClusterOptions m_options;
    ibisgw::core::PcgRandomSource m_random;
    MessageQueue m_queue;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

// One daemon of the cluster, with its process, what its membership node has reported, and its traffic.
class MembershipCluster::Daemon final : public ibisgw::membership::GossipOutput,
                                        public ibisgw::membership::MembershipEvents {
public:
    Daemon(MembershipCluster&, std::size_t index);
    ~Daemon() override;

    void send(ibisgw::core::NodeId, const ibisgw::membership::GossipMessage&) override;
    void announcementReceived(const ibisgw::upstream::Announcement&) override;
    void flowRecordReceived(const ibisgw::membership::FlowRecordItem&) override;
    void revisionInForce(const ibisgw::configuration::AcceptedRevision&) override;
    void groupChanged() override;
    void pauseDetected(ibisgw::core::Duration) override;

    std::unique_ptr<ibisgw::core::PcgRandomSource> random;
    std::unique_ptr<ibisgw::membership::MembershipNode> node;
    // Number of starts and kills; a timer compares it so that timers of an earlier process have no effect.
    std::uint64_t processEpoch { 0 };
    bool isRunning { false };
    bool isPaused { false };
    std::vector<std::pair<ibisgw::core::NodeId, ibisgw::membership::GossipMessage>> socketBuffer;

    // Events that the node has reported.
    std::vector<ibisgw::upstream::Announcement> announcements;
    std::vector<ibisgw::membership::FlowRecordItem> flowRecords;
    std::vector<ibisgw::core::Revision> revisions;
    std::size_t pauses { 0 };
    std::size_t groupChanges { 0 };

    // Control traffic sent. `lastSecond` holds time and size of the messages within the last second.
    std::deque<std::pair<ibisgw::core::TimePoint, std::size_t>> lastSecond;
    std::size_t lastSecondBytes { 0 };
    std::size_t peakSecondBytes { 0 };
    std::uint64_t messages { 0 };
    std::uint64_t bytes { 0 };

private:
    MembershipCluster& m_cluster;
    std::size_t m_index;
};

// A document with the given number of service addresses, as compact JSON with sorted keys.
ibisgw::configuration::AcceptedRevision makeAddressRevision(ibisgw::core::Revision, std::size_t addresses);

// An announcement of the upstream with this number; its load varies with the sequence number.
ibisgw::upstream::Announcement makeAnnouncement(std::size_t number, std::uint64_t sequence);

} // namespace support
