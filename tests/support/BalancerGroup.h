#pragma once

#include "support/FakeUpstream.h"
#include "support/GroupMember.h"

#include <memory>
#include <vector>

namespace support {

struct BalancerGroupOptions {
    unsigned balancers { 9 };
    // Zones of the balancers, in turn.
    std::vector<ibisgw::core::ZoneName> zones { "a" };
    std::size_t flowCapacity { 400'000 };
    // Until the other balancers and the fabric notice that a balancer is dead.
    ibisgw::core::Duration detectionDelay { std::chrono::seconds(3) };
    ibisgw::core::Duration fabricDetectionDelay { std::chrono::seconds(1) };
    ibisgw::core::Duration announcementPeriod { std::chrono::seconds(1) };
    // A started balancer listens this long before the fabric and its peers use it.
    ibisgw::core::Duration joinDelay { std::chrono::milliseconds(1500) };
    // Flow records are sent to the peers; false shows what breaks without them.
    bool tellFlowRecords { true };
    // Way of selecting upstreams for requests; the default of the balancers when empty.
    ibisgw::balancer::SelectorFactory makeSelector;
    // Creates the balancers; those of ibisgw when empty.
    GroupMemberFactory makeMember;
    ibisgw::balancer::SafetyRules rules;
};

// A group of balancers behind a fabric, with fake upstreams, in virtual time. Membership and gossip
// are replaced by delays: a change of members or an announcement reaches each balancer on its own time.
class BalancerGroup {
public:
    using CallerHandler = std::function<void(const ibisgw::packet::Packet&)>;

    BalancerGroup(BalancerGroupOptions, std::shared_ptr<const ibisgw::configuration::Document>, MessageQueue&,
        ibisgw::core::RandomSource&);
    ~BalancerGroup();

    FakeUpstream& addUpstream(FakeUpstreamOptions);
    // Delivers the packet to a random balancer, as the fabric does.
    void sendFromCaller(const ibisgw::packet::Packet&);
    void onCallerPacket(CallerHandler handler) { m_callerHandler = std::move(handler); }

    void killBalancer(unsigned index);
    // Planned: the fabric and the peers are told, then the process ends after the given time, once it
    // has handed over its flows.
    void stopBalancer(unsigned index, ibisgw::core::Duration grace);
    // Joins once an earlier process has stopped: the fabric and the peers use it after the join delay and
    // the pull of flow records.
    void startBalancer(unsigned index);

    // Cuts the balancers and upstreams of each zone off from those of the others; callers reach all.
    void cutZones();
    void healZones();

    unsigned balancerCount() const { return static_cast<unsigned>(m_slots.size()); }
    // Null while the balancer is not running.
    ibisgw::balancer::Balancer* balancer(unsigned index);
    std::vector<std::unique_ptr<FakeUpstream>>& upstreams() { return m_upstreams; }
    ExecutionLog& executions() { return m_executions; }
    // Bytes of flow records that the balancer sent or received in its worst second.
    std::uint64_t worstFlowRecordBytesPerSecond() const { return m_worstRecordBytes; }
    MessageQueue& queue() { return m_queue; }

private:
    struct Output;
    struct Slot {
        unsigned index { 0 };
        ibisgw::core::NodeId node;
        std::unique_ptr<GroupMember> member;
        // Grows with each start, so that timers of an earlier process do not act on a later one.
        unsigned starts { 0 };
        bool inFabric { false };
        bool isLeaving { false };
        std::uint64_t recordBytes { 0 };
    };

    static constexpr MessageQueue::Machine callersMachine = 1;

    using RecordList = std::vector<ibisgw::flow::FlowRecord>;
    void publishFlowRecords(Slot&);
    void startNextSecond();
    void repairGap(Slot& from, Slot& to, std::uint64_t head);
    void sendFlowRecords(Slot& from, Slot& to, const RecordList&);
    void publishHandOvers(Slot&);
    void continueJoin(unsigned index, unsigned starts, const RecordList&, std::size_t adopted);

    void deliverToBalancer(unsigned index, const std::function<void(Slot&)>& deliver);
    void sendFromUpstream(const ibisgw::packet::Packet&);
    std::optional<unsigned> pickFabricTarget(MessageQueue::Machine sender);
    void announce(FakeUpstream&);
    void schedulePeriodicWork();
    void tellPeers();
    void finishStop(unsigned index, unsigned starts);
    void createMember(Slot&);
    ibisgw::core::ZoneName zoneOf(const Slot&) const;

    BalancerGroupOptions m_options;
    std::shared_ptr<const ibisgw::configuration::Document> m_document;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    ExecutionLog m_executions;
    std::vector<std::unique_ptr<Slot>> m_slots;
    std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
    CallerHandler m_callerHandler;
    bool m_zonesAreCut { false };
    std::uint64_t m_worstRecordBytes { 0 };
};

} // namespace support
