#pragma once

#include "ibisgw/balancer/BalancerCounters.h"
#include "ibisgw/balancer/BalancerOutput.h"
#include "ibisgw/balancer/FlowHomes.h"
#include "ibisgw/balancer/OpenAdmission.h"
#include "ibisgw/balancer/PreviousHomeQueries.h"
#include "ibisgw/balancer/RequestHedging.h"
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
    // A flow without a packet for this long is removed from the flow table.
    core::Duration idleLimit { std::chrono::minutes(30) };
    // The same limit for flows that carry short requests. It is short because most balancers never receive the close of
    // such a flow.
    core::Duration requestIdleLimit { std::chrono::seconds(60) };
    // Sequence of the first flow record. Must be larger after each restart of the balancer; the daemon passes the wall
    // clock in microseconds.
    std::uint64_t firstRecordSequence { 1 };
    // Limit of packets relayed to other balancers. Enough for twice the 2,000 new flows a second of the largest user,
    // with several packets each.
    double relaysPerSecond { 20'000 };
    // Creates the selector of upstreams for requests; least in flight when empty.
    SelectorFactory makeSelector;
    SafetyRules rules;
};

// Upstream of a flow, as shown to an operator.
struct FlowLocation {
    core::ServiceName service;
    core::UpstreamId upstream;
    // Where the upstream was found: "table" (flow table) or "record" (flow record).
    std::string source;
};

// State machine of one balancer: selects the upstream of each new flow and forwards the packets of existing flows to
// the upstream that they already have. Time and output are passed in, so tests can run it without sockets.
class Balancer : private FlowPlacer {
public:
    Balancer(BalancerOptions, flow::FlowTokenCodec, core::RandomSource&);
    ~Balancer() override;
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    void applyDocument(std::shared_ptr<const configuration::Document>, core::TimePoint now);
    // Sets the synchronized balancers of the group, all of them in this balancer's zone.
    void setPeers(const std::vector<core::NodeId>& balancers, core::TimePoint now);
    // Sets the running balancers of the group, including this one. A leaving balancer is the home of no flow.
    void setPeers(std::vector<flow::RingMember>, core::TimePoint now);
    void handleAnnouncement(const upstream::Announcement&, core::TimePoint now);
    // True while the daemon can't reach the controllers.
    void setPartitioned(bool partitioned, core::TimePoint now);

    void handleCallerPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleRelayedPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleUpstreamPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void tick(core::TimePoint now, BalancerOutput&);

    void applyFlowRecord(const flow::FlowRecord&, core::TimePoint now);
    // Flow records to publish to the group, oldest first.
    std::vector<flow::FlowRecord> takeFlowRecords(std::size_t maxCount);
    // Read to retransmit missing records, and to send all records to a joining balancer before it becomes a home.
    const flow::FlowRecordLog& flowRecords() const { return m_records; }
    // Stores the records of the group that a joining balancer has received, with the newest sequence of each origin.
    void adoptFlowRecords(const std::vector<flow::FlowRecord>&, const std::map<core::NodeId, std::uint64_t>& heads);
    // To be called when this balancer starts to leave, after a setPeers() in which it is leaving. Queues the flows
    // whose upstream their new homes can't derive by default placement.
    void handOver(core::TimePoint now);
    // Removes and returns queued flows to send to their new homes. Flows are queued by handOver() and when a joining
    // balancer becomes their home.
    std::vector<flow::FlowHandOver> takeHandOvers(std::size_t maxCount);
    // A leaving balancer stops only when this is 0.
    std::size_t pendingHandOvers() const { return m_handOvers.size(); }
    // Stores a flow that its previous home has handed over.
    void adoptFlow(const flow::FlowHandOver&, core::TimePoint now);

    const BalancerCounters& counters() const { return m_counters; }
    const upstream::UpstreamRegistry& upstreams() const { return m_upstreams; }
    std::size_t flowCount() const { return m_flows.size(); }
    // Flows in the flow table by service and upstream. Scans the whole table, so it is only for requests of operators.
    std::map<std::pair<core::ServiceName, core::UpstreamId>, std::uint64_t> flowCounts() const;
    // Upstream to which a packet of the flow would go without a token. Empty when this balancer has neither an entry
    // nor a record of the flow.
    std::optional<FlowLocation> locate(const core::FlowKey&, core::TimePoint now);
    const OpenAdmission& admission() const { return m_admission; }
    const RequestHedging& hedging() const { return m_hedging; }

private:
    // Limit of flow records as a share of the open flows. Beyond it the oldest records are evicted.
    static constexpr double maxRecordShare = 0.04;

    core::UpstreamId upstreamOf(const core::FlowKey&, core::TimePoint now) override;
    core::UpstreamId placeFlow(const packet::Packet& open, const configuration::Service&,
        const std::vector<core::UpstreamId>& excluded, core::TimePoint now) override;
    void restoreFlow(
        const packet::Packet& open, core::UpstreamId, const configuration::Service&, core::TimePoint now) override;
    bool isEjected(core::UpstreamId, const configuration::Service&, core::TimePoint now) override;
    bool isEvacuated(const core::ServiceName&) const override;
    void dropFlow(const core::FlowKey&, core::TimePoint now) override;
    void releaseFlow(const core::FlowKey&, core::TimePoint now) override;
    core::UpstreamId selectSecond(
        const core::FlowKey&, const configuration::Service&, core::UpstreamId first, core::TimePoint now) override;
    void noteSecondStarted(core::UpstreamId, const configuration::Service&, core::TimePoint now) override;
    void noteSecondFinished(core::UpstreamId, const core::ServiceName&) override;
    bool holdsRefusal(packet::Packet& refusal, core::TimePoint now, BalancerOutput&) override;

    // Handles what another balancer reports about a request that may have an extra attempt.
    void handleReport(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void startDueAttempts(core::TimePoint now, BalancerOutput&);
    void dispatchCallerPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleOpen(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Upstream in the flow table for a repeated open. Empty when there is no entry, or when the entry is stale: it then
    // is removed.
    std::optional<core::UpstreamId> resolveOpen(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    void placeOpen(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Places the queued opens for which there is capacity.
    void placeAdmitted(core::TimePoint now, BalancerOutput&);
    bool queryPreviousHomes(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    std::optional<core::UpstreamId> resolveFlow(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    std::optional<core::UpstreamId> resolveByToken(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    std::optional<core::UpstreamId> resolveByRecord(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    std::optional<core::UpstreamId> resolveByDefault(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    void closeFlow(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Zone whose balancers are the homes of the flow; null when it is unknown.
    const core::ZoneName* zoneOf(const core::FlowKey&);
    // Forwards a packet from an upstream that admission control has accepted, and updates the flow's entry.
    void forwardToCaller(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Removes the entry of an earlier flow with the same key when `opened` establishes a new one at another upstream.
    void dropStaleEntry(const packet::Packet&, core::TimePoint now);
    // Enters the flow in the flow table or replaces its upstream, without counting it; null when the table is full.
    flow::FlowEntry* insertFlow(
        const packet::Packet&, core::UpstreamId, const configuration::Service&, core::TimePoint now);
    void forwardKnown(
        const packet::Packet&, core::UpstreamId, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    void noteAnswer(const packet::Packet&, flow::FlowEntry*, const configuration::Service&, core::TimePoint now);
    ServicePlacement& placementOf(const configuration::Service&);
    // Adds the flow to the counts of its upstream or removes it. The home of a flow counts it: a stream for the
    // bounded-load rule, another flow as in flight.
    void setCounted(flow::FlowEntry&, bool);
    void dropRecord(const flow::FlowEntry&);
    // Visits one entry in the incremental scan of the flow table. Removes it if it is idle or its upstream is lost,
    // and updates its count and its record after a change of homes or upstreams.
    flow::FlowTable::Visit maintainFlow(flow::FlowEntry&, core::TimePoint now);
    // True while streams may be placed away from their default upstream for balance, which takes a flow record each.
    bool hasRoomForBalance(ServicePlacement&) const;
    // Publishes a record of a stream that isn't on its default upstream, or removes a record that isn't needed any
    // more.
    void recordIfNeeded(const flow::FlowEntry&, ServicePlacement&, bool isHome, core::TimePoint now);
    // Queues the flow for its new home if that can't derive the upstream.
    void handOverIfNeeded(const flow::FlowEntry&, const configuration::Service&);
    // True when the upstream is no longer registered for the service, or has restarted since the flow's last packet.
    bool isUpstreamLost(const flow::FlowEntry&, const configuration::Service&, core::TimePoint now) const;
    core::Duration idleLimitOf(const flow::FlowEntry&, const configuration::Service&) const;
    void forward(const packet::Packet&, core::UpstreamId, BalancerOutput&);
    void refuse(const packet::Packet&, packet::RefusalKind, BalancerOutput&);
    void reset(const packet::Packet&, BalancerOutput&);
    // Refuses a request or resets a stream whose upstream could not be determined.
    void rejectUnresolved(const packet::Packet&, BalancerOutput&);
    bool serves(core::UpstreamId, const configuration::Service&) const;
    // True when an open without an open record can only be the open of a new flow on a reused port, which must not go
    // to the entry's upstream because that is ejected or its zone is evacuated.
    bool mustReplaceEntry(const flow::FlowEntry&, const configuration::Service&, core::TimePoint now);
    // True when the upstream belongs to the service and may keep its flows, which ends with the service's drain limit.
    bool mayKeepFlows(core::UpstreamId, const configuration::Service&, core::TimePoint now) const;

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
    PreviousHomeQueries m_previousHomeQueries;
    OpenAdmission m_admission;
    RequestHedging m_hedging;
    // Changes of the upstream registry that m_hedging knows.
    std::uint64_t m_knownUpstreamChanges { 0 };
};

} // namespace ibisgw::balancer
