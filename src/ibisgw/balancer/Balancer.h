#pragma once

#include "ibisgw/balancer/BalancerCounters.h"
#include "ibisgw/balancer/BalancerOutput.h"
#include "ibisgw/balancer/FlowHomes.h"
#include "ibisgw/balancer/HomeHandover.h"
#include "ibisgw/balancer/OpenAdmission.h"
#include "ibisgw/balancer/ServicePlacement.h"
#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/RandomSource.h"
#include "ibisgw/flow/FlowHandOver.h"
#include "ibisgw/flow/FlowRecordLog.h"
#include "ibisgw/flow/FlowTable.h"
#include "ibisgw/flow/FlowTokenCodec.h"
#include "ibisgw/upstream/UpstreamRegistry.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace ibisgw::balancer {

struct BalancerOptions {
    core::NodeId self;
    core::ZoneName zone;
    std::size_t flowCapacity { 400'000 };
    // Flows without a packet for this long are forgotten.
    core::Duration idleLimit { std::chrono::minutes(30) };
    // The same for flows that carry short requests: most balancers never see such a flow close.
    core::Duration requestIdleLimit { std::chrono::seconds(60) };
    // Must be larger after each restart of the balancer; the daemon gives wall-clock microseconds.
    std::uint64_t firstRecordSequence { 1 };
    // Twice the 2,000 new flows a second of the largest user, several packets each.
    double relaysPerSecond { 20'000 };
    // Way of selecting the upstream for requests; least in flight when empty.
    SelectorFactory makeSelector;
    SafetyRules rules;
};

// Answer to an operator's question about a flow.
struct FlowLocation {
    core::ServiceName service;
    core::UpstreamId upstream;
    // "table" or "record".
    std::string source;
};

// State machine of one balancer: selects the upstream of each new flow and forwards the packets of
// existing flows to the upstream that they already have.
class Balancer : private FlowPlacer {
public:
    Balancer(BalancerOptions, flow::FlowTokenCodec, core::RandomSource&);
    ~Balancer() override;
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    void applyDocument(std::shared_ptr<const configuration::Document>, core::TimePoint now);
    // Synchronized balancers of the group, all taken to be in this balancer's zone.
    void setPeers(const std::vector<core::NodeId>& balancers, core::TimePoint now);
    // Running balancers of the group, this one included; those that leave are no homes.
    void setPeers(std::vector<flow::RingMember>, core::TimePoint now);
    void handleAnnouncement(const upstream::Announcement&, core::TimePoint now);
    // Whether the daemon has lost the controllers.
    void setPartitioned(bool partitioned, core::TimePoint now);

    void handleCallerPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleRelayedPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleUpstreamPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void tick(core::TimePoint now, BalancerOutput&);

    void applyFlowRecord(const flow::FlowRecord&, core::TimePoint now);
    // Flow records to publish to the group, oldest first.
    std::vector<flow::FlowRecord> takeFlowRecords(std::size_t maxCount);
    // For gap repair, and for a joining balancer, which takes over all records before it becomes a home.
    const flow::FlowRecordLog& flowRecords() const { return m_records; }
    void adoptFlowRecords(const std::vector<flow::FlowRecord>&, const std::map<core::NodeId, std::uint64_t>& heads);
    // Called when this balancer starts to leave, after setPeers() that says so: queues the flows that
    // their new homes cannot derive.
    void handOver(core::TimePoint now);
    // Flows to send to their new homes, after handOver() and after other balancers have joined.
    std::vector<flow::FlowHandOver> takeHandOvers(std::size_t maxCount);
    // A leaving balancer stops only when none are left.
    std::size_t pendingHandOvers() const { return m_handOvers.size(); }
    void adoptFlow(const flow::FlowHandOver&, core::TimePoint now);

    const BalancerCounters& counters() const { return m_counters; }
    const upstream::UpstreamRegistry& upstreams() const { return m_upstreams; }
    std::size_t flowCount() const { return m_flows.size(); }
    // Flows in the flow table by service and upstream. Walks the whole table: for operators, not for packets.
    std::map<std::pair<core::ServiceName, core::UpstreamId>, std::uint64_t> flowCounts() const;
    // Where a packet of the flow would go without a token; empty when only another balancer may know.
    std::optional<FlowLocation> locate(const core::FlowKey&, core::TimePoint now);
    const OpenAdmission& admission() const { return m_admission; }

private:
    core::UpstreamId upstreamOf(const core::FlowKey&, core::TimePoint now) override;
    core::UpstreamId placeFlow(const packet::Packet& open, const configuration::Service&,
        const std::vector<core::UpstreamId>& excluded, core::TimePoint now) override;
    void restoreFlow(
        const packet::Packet& open, core::UpstreamId, const configuration::Service&, core::TimePoint now) override;
    bool isEjected(core::UpstreamId, const configuration::Service&, core::TimePoint now) override;
    void dropFlow(const core::FlowKey&, core::TimePoint now) override;
    void releaseFlow(const core::FlowKey&, core::TimePoint now) override;

    void handlePacketOfCaller(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleOpen(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Upstream of a flow whose open has arrived again.
    std::optional<core::UpstreamId> resolveOpen(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    void placeOpen(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    void placeAdmitted(core::TimePoint now, BalancerOutput&);
    bool askPreviousHomes(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    std::optional<core::UpstreamId> resolveFlow(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    std::optional<core::UpstreamId> resolveByToken(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    std::optional<core::UpstreamId> resolveByRecord(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    std::optional<core::UpstreamId> resolveByDefault(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    void closeFlow(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Zone whose balancers are the homes of the flow; null when it is not known.
    const core::ZoneName* zoneOf(const core::FlowKey&);
    // A packet of an upstream that the admission does not object to.
    void passToCaller(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Forgets the entry of an earlier flow of the caller when a later one is established elsewhere.
    void dropLeftOver(const packet::Packet&, core::TimePoint now);
    flow::FlowEntry* learn(const packet::Packet&, core::UpstreamId, const configuration::Service&, core::TimePoint now);
    void forwardKnown(
        const packet::Packet&, core::UpstreamId, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    void noteAnswer(const packet::Packet&, flow::FlowEntry*, const configuration::Service&, core::TimePoint now);
    ServicePlacement& placementOf(const configuration::Service&);
    // The home of a flow counts it, for the bounded-load rule or as a request in flight.
    void setCounted(flow::FlowEntry&, bool);
    void dropRecord(const flow::FlowEntry&);
    // Incremental work on the flow table: idle flows, counts and records after changes.
    flow::FlowTable::Visit maintainFlow(flow::FlowEntry&, core::TimePoint now);
    bool hasRoomForBalance(ServicePlacement&) const;
    void recordIfNeeded(const flow::FlowEntry&, ServicePlacement&, bool isHome, core::TimePoint now);
    void handOverIfNeeded(const flow::FlowEntry&, const configuration::Service&);
    bool isLost(const flow::FlowEntry&, const configuration::Service&, core::TimePoint now) const;
    core::Duration idleLimitOf(const flow::FlowEntry&, const configuration::Service&) const;
    void forward(const packet::Packet&, core::UpstreamId, BalancerOutput&);
    void refuse(const packet::Packet&, packet::RefusalKind, BalancerOutput&);
    void reset(const packet::Packet&, BalancerOutput&);
    void rejectUnresolved(const packet::Packet&, BalancerOutput&);
    bool serves(core::UpstreamId, const configuration::Service&) const;
    // False also for an upstream whose drain has exceeded the limit of the service.
    bool keepsFlows(core::UpstreamId, const configuration::Service&, core::TimePoint now) const;

    BalancerOptions m_options;
    flow::FlowTokenCodec m_tokens;
    core::RandomSource& m_random;
    BalancerCounters m_counters;
    std::shared_ptr<const configuration::Document> m_document;
    flow::FlowTable m_flows;
    upstream::UpstreamRegistry m_upstreams;
    flow::FlowRecordLog m_records;
    std::deque<flow::FlowHandOver> m_handOvers;
    std::unordered_map<core::ServiceName, std::unique_ptr<ServicePlacement>> m_placements;
    FlowHomes m_homes;
    PeerRelay m_relay;
    HomeHandover m_homeQuestions;
    OpenAdmission m_admission;
};

} // namespace ibisgw::balancer
