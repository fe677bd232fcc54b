#pragma once

#include "support/FakeUpstream.h"
#include "support/GroupMember.h"

#include <map>
#include <memory>
#include <vector>

namespace support {

struct BalancerGroupOptions {
    unsigned balancers { 9 };
    // Zones of the balancers, assigned round robin.
    std::vector<ibisgw::core::ZoneName> zones { "a" };
    std::size_t flowCapacity { 400'000 };
    // Time from the death of a balancer until the other balancers detect it, and until the fabric detects it.
    ibisgw::core::Duration detectionDelay { std::chrono::seconds(3) };
    ibisgw::core::Duration fabricDetectionDelay { std::chrono::seconds(1) };
    ibisgw::core::Duration announcementPeriod { std::chrono::seconds(1) };
    // Time from the start of a balancer until it pulls flow records, which it does before the fabric and its peers use
    // it. It already receives announcements meanwhile.
    ibisgw::core::Duration joinDelay { std::chrono::milliseconds(1500) };
    // Whether balancers send flow records and hand-overs to their peers. With false, tests show which flows break
    // without them.
    bool sendsFlowRecords { true };
    // Creates the selector of upstreams for requests; empty means the default of the balancers.
    ibisgw::balancer::SelectorFactory makeSelector;
    // Creates the balancers; empty means BalancerMember, the production balancer.
    GroupMemberFactory makeMember;
    ibisgw::balancer::SafetyRules rules;
};

// Simulation of a group of balancers behind a network fabric, with fake upstreams, in virtual time. Membership and
// gossip are not simulated: changes of members take effect after a fixed detection delay, and each announcement reaches
// each balancer after a network delay of its own.
class BalancerGroup {
public:
    using CallerHandler = std::function<void(const ibisgw::packet::Packet&)>;

    BalancerGroup(BalancerGroupOptions, std::shared_ptr<const ibisgw::configuration::Document>, MessageQueue&,
        ibisgw::core::RandomSource&);
    ~BalancerGroup();

    FakeUpstream& addUpstream(FakeUpstreamOptions);
    // Sends the packet to a random balancer, as the fabric does.
    void sendFromCaller(const ibisgw::packet::Packet&);
    void onCallerPacket(CallerHandler handler) { m_callerHandler = std::move(handler); }

    // Ends the process without notice; the fabric and the peers detect it after their delays.
    void killBalancer(unsigned index);
    // Planned stop: the fabric and the peers are notified at once. The process ends after the grace period, and not
    // before it has handed over its flows.
    void stopBalancer(unsigned index, ibisgw::core::Duration grace);
    // Starts a new process, after a planned stop of the earlier process has finished. The fabric and the peers use it
    // after the join delay and after it has pulled the flow records of a peer.
    void startBalancer(unsigned index);

    // Cuts the balancers and upstreams of each zone off from those of the other zones. Callers reach all zones.
    void cutZones();
    void healZones();

    // Brings a document into force at each balancer after a random delay of up to `maxDelay`.
    void applyDocument(std::shared_ptr<const ibisgw::configuration::Document>, ibisgw::core::Duration maxDelay);

    unsigned balancerCount() const { return static_cast<unsigned>(m_slots.size()); }
    // Null while the balancer is not running.
    ibisgw::balancer::Balancer* balancer(unsigned index);
    std::vector<std::unique_ptr<FakeUpstream>>& upstreams() { return m_upstreams; }
    // Extra attempts by request, counted over all balancers and restarts.
    const std::map<ExecutionLog::RequestKey, unsigned>& extraAttempts() const { return m_extraAttempts; }
    // Extra attempts at the upstream of the flow itself.
    unsigned wrongExtraAttempts() const { return m_wrongExtraAttempts; }
    ExecutionLog& executions() { return m_executions; }
    // Largest number of bytes of flow records that any balancer sent and received in one second.
    std::uint64_t worstFlowRecordBytesPerSecond() const { return m_maxRecordBytesPerSecond; }
    MessageQueue& queue() { return m_queue; }

private:
    struct Output;
    struct Slot {
        unsigned index { 0 };
        ibisgw::core::NodeId node;
        std::unique_ptr<GroupMember> member;
        // Number of starts; a timer compares it so that timers of an earlier process have no effect.
        unsigned startCount { 0 };
        // Whether the fabric sends packets to the balancer.
        bool isInFabric { false };
        // Whether a planned stop is in progress.
        bool isLeaving { false };
        // Bytes of flow records sent and received in the current second.
        std::uint64_t recordBytes { 0 };
    };

    static constexpr MessageQueue::Machine callersMachine = 1;

    using RecordList = std::vector<ibisgw::flow::FlowRecord>;
    void publishFlowRecords(Slot&);
    void startNextSecond();
    // Finds the records up to the sender's sequence number `head` that the receiver has missed, and sends the first of
    // them again.
    void repairGap(Slot& from, Slot& to, std::uint64_t head);
    void sendFlowRecords(Slot& from, Slot& to, const RecordList&);
    void publishHandOvers(Slot&);
    // Adopts the next part of the pulled records; the balancer joins the fabric once all are adopted.
    void continueJoin(unsigned index, unsigned startCount, const RecordList&, std::size_t adopted);

    void deliverToBalancer(unsigned index, const std::function<void(Slot&)>& deliver);
    void sendFromUpstream(const ibisgw::packet::Packet&);
    std::optional<unsigned> pickFabricTarget(MessageQueue::Machine sender);
    void announce(FakeUpstream&);
    void schedulePeriodicWork();
    // Gives each balancer the members of the group that it can reach.
    void updatePeers();
    void finishStop(unsigned index, unsigned startCount);
    void createMember(Slot&);
    ibisgw::core::ZoneName zoneOf(const Slot&) const;

    BalancerGroupOptions m_options;
    std::shared_ptr<const ibisgw::configuration::Document> m_document;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    ExecutionLog m_executions;
    std::map<ExecutionLog::RequestKey, unsigned> m_extraAttempts;
    unsigned m_wrongExtraAttempts { 0 };
    std::vector<std::unique_ptr<Slot>> m_slots;
    std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
    CallerHandler m_callerHandler;
    bool m_zonesAreCut { false };
    std::uint64_t m_maxRecordBytesPerSecond { 0 };
};

} // namespace support
