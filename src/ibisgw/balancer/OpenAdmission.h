#pragma once

#include "ibisgw/balancer/FlowPlacer.h"
#include "ibisgw/balancer/PeerRelay.h"
#include "ibisgw/balancer/SafetyRules.h"
#include "ibisgw/request/InFlightTable.h"
#include "ibisgw/request/OpenTable.h"
#include "ibisgw/request/ServiceLoad.h"
#include "ibisgw/upstream/UpstreamRegistry.h"

#include <map>
#include <optional>

namespace ibisgw::balancer {

// What the admission shares with its balancer.
struct AdmissionContext {
    SafetyRules rules;
    const FlowHomes& homes;
    const upstream::UpstreamRegistry& upstreams;
    PeerRelay& relay;
    BalancerCounters& counters;
    FlowPlacer& placer;
};

// Rules for requests at one balancer: admission, waiting, refusal and retry of opens at the home of their flow,
// requests in flight, and the guard that a flow is established at one upstream only.
class OpenAdmission {
public:
    explicit OpenAdmission(const AdmissionContext&);

    // While partitioned, opens of kinds with `on_partition: refuse` are refused.
    void setPartitioned(bool partitioned) { m_partitioned = partitioned; }
    // After a change of the ring.
    void homesChanged();

    // A copy of an open that was decided about here; true when nothing else is to be done with it.
    bool handleOpenCopy(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // True when this balancer has decided about the open of the flow.
    bool hasDecided(const core::FlowKey& flow) const { return m_opens.find(flow) != nullptr; }
    // Upstream that the open was sent to last; invalid when there is none.
    core::UpstreamId upstreamOf(const core::FlowKey&) const;
    void handleCancel(const packet::Packet&, core::TimePoint now);
    // A caller's packet goes to its upstream.
    void recordForwarded(const packet::Packet&, core::UpstreamId, core::TimePoint now);
    // An open of an unknown flow at its home; true when it is to be placed now.
    bool admit(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // After an attempt to place the flow; the upstream is invalid when there was none.
    void recordPlacement(const packet::Packet&, core::UpstreamId, core::TimePoint now);
    // The flow was closed, reset or refused; late copies of its open are ignored. True when the open still waited.
    bool endFlow(const core::FlowKey&, core::TimePoint now);
    // The balancer forgot the flow without seeing its end.
    void releaseFlow(const core::FlowKey&, core::TimePoint now);
    // True when nothing else is to be done with the packet.
    bool handleUpstreamPacket(
        const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // The next open that has waited and is to be placed now. Its payload is valid until the next call.
    std::optional<packet::Packet> takeAdmitted(core::TimePoint now, BalancerOutput&);
    void tick(core::TimePoint now, BalancerOutput&);

    std::size_t requestsInFlight() const { return m_requests.size(); }
    std::size_t openCount() const { return m_opens.size(); }

private:
    void handleOpened(const packet::Packet&, core::TimePoint now);
    bool handleOpenRefusal(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    void eraseWaiting(const core::FlowKey&, const request::OpenRecord&);
    bool retry(request::OpenRecord&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    void releaseCapacity(request::OpenRecord&, bool completed, core::TimePoint now);
    void refuse(const packet::Packet&, packet::RefusalKind, BalancerOutput&);
    void close(const core::FlowKey&, core::UpstreamId, BalancerOutput&);
    bool isGone(core::UpstreamId) const;
    // Only without the rule requestsStayAtUpstream.
    void moveRequest(packet::Packet, BalancerOutput&);
    void refuseRequestsOfGoneUpstreams(BalancerOutput&);

    AdmissionContext m_context;
    bool m_partitioned { false };
    request::OpenTable m_opens;
    request::InFlightTable m_requests;
    std::map<core::ServiceName, request::ServiceLoad> m_services;
    // Incarnations at the last look, to notice upstreams that have gone or restarted.
    std::map<core::UpstreamId, core::Incarnation> m_incarnations;
    core::TimePoint m_nextCheckAt;
};

} // namespace ibisgw::balancer
