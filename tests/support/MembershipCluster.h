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

// Options of a cluster of membership nodes.
struct ClusterOptions {
    std::size_t zones { 3 };
    std::size_t daemonsPerZone { 3 };
    // One balancer group over all zones, or one for each zone.
    bool groupSpansZones { true };
    NetworkConditions network;
    std::uint64_t seed { 1 };
    ibisgw::membership::MembershipRules rules;
};

// Membership nodes over a MessageQueue, with the faults of processes and the bytes that each one sends.
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
    // Runs until the condition holds; the time that it took, or the limit when it never does.
    ibisgw::core::Duration runUntil(const std::function<bool()>&, ibisgw::core::Duration limit);

    void kill(std::size_t index);
    // A new process with an empty memory and a higher incarnation.
    void restart(std::size_t index);
    // The process does not run; messages wait in its socket.
    void pause(std::size_t index);
    void resume(std::size_t index);
    // Cuts a zone from all others.
    void cutZone(std::size_t zone);

    // Every running daemon has the newest entry of all running daemons in its scope, alive, and sees nobody else alive.
    bool isSettled() const;
    bool allSynchronized() const;
    // How many running daemons see the member in the state.
    std::size_t countSeeing(std::size_t index, ibisgw::membership::MemberState) const;
    bool allInForce(ibisgw::core::Revision) const;
    // Largest number of control bytes that a daemon sent in any window of one second.
    std::size_t worstSecond() const;
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

// One process of a cluster.
class MembershipCluster::Daemon final : public ibisgw::membership::GossipOutput,
                                        public ibisgw::membership::MembershipEvents {
public:
    Daemon(MembershipCluster&, std::size_t index);
    ~Daemon() override;

    void send(ibisgw::core::NodeId, const ibisgw::membership::GossipMessage&) override;
    void announcementLearned(const ibisgw::upstream::Announcement&) override;
    void flowRecordLearned(const ibisgw::membership::FlowRecordItem&) override;
    void revisionInForce(const ibisgw::configuration::AcceptedRevision&) override;
    void groupChanged() override;
    void pauseDetected(ibisgw::core::Duration) override;

    std::unique_ptr<ibisgw::core::PcgRandomSource> random;
    std::unique_ptr<ibisgw::membership::MembershipNode> node;
    // Changes with each start, so that timers and messages of an earlier process are ignored.
    std::uint64_t life { 0 };
    bool isRunning { false };
    bool isPaused { false };
    std::vector<std::pair<ibisgw::core::NodeId, ibisgw::membership::GossipMessage>> socketBuffer;

    // What the node reported.
    std::vector<ibisgw::upstream::Announcement> announcements;
    std::vector<ibisgw::membership::FlowRecordItem> flowRecords;
    std::vector<ibisgw::core::Revision> revisions;
    std::size_t pauses { 0 };
    std::size_t groupChanges { 0 };

    // Traffic.
    std::deque<std::pair<ibisgw::core::TimePoint, std::size_t>> lastSecond;
    std::size_t lastSecondBytes { 0 };
    std::size_t worstSecondBytes { 0 };
    std::uint64_t messages { 0 };
    std::uint64_t bytes { 0 };

private:
    MembershipCluster& m_cluster;
    std::size_t m_index;
};

// A document with the given number of service addresses, as compact JSON with sorted keys.
ibisgw::configuration::AcceptedRevision makeAddressRevision(ibisgw::core::Revision, std::size_t addresses);

// An announcement of one of many upstreams.
ibisgw::upstream::Announcement makeAnnouncement(std::size_t number, std::uint64_t sequence);

} // namespace support
