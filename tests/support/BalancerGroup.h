#pragma once

#include "ibisgw/balancer/Balancer.h"
#include "support/FakeUpstream.h"

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
    // Planned: the fabric and the peers are told, then the process ends after the given time.
    void stopBalancer(unsigned index, ibisgw::core::Duration grace);
    void startBalancer(unsigned index);

    unsigned balancerCount() const { return static_cast<unsigned>(m_slots.size()); }
    // Null while the balancer is not running.
    ibisgw::balancer::Balancer* balancer(unsigned index) { return m_slots[index]->balancer.get(); }
    std::vector<std::unique_ptr<FakeUpstream>>& upstreams() { return m_upstreams; }
    ExecutionLog& executions() { return m_executions; }
    MessageQueue& queue() { return m_queue; }

private:
    struct Output;
    struct Slot {
        unsigned index { 0 };
        ibisgw::core::NodeId node;
        std::unique_ptr<ibisgw::balancer::Balancer> balancer;
        bool inFabric { false };
    };

    static constexpr MessageQueue::Machine callersMachine = 1;

    void deliverToBalancer(unsigned index, const std::function<void(Slot&)>& deliver);
    void sendFromUpstream(const ibisgw::packet::Packet&);
    std::optional<unsigned> pickFabricTarget();
    void announce(FakeUpstream&);
    void schedulePeriodicWork();
    void tellPeers();

    BalancerGroupOptions m_options;
    std::shared_ptr<const ibisgw::configuration::Document> m_document;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    ExecutionLog m_executions;
    std::vector<std::unique_ptr<Slot>> m_slots;
    std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
    CallerHandler m_callerHandler;
};

} // namespace support
