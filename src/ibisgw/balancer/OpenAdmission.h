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

// Parts of a balancer that OpenAdmission uses.
struct AdmissionContext {
    SafetyRules rules;
    const FlowHomes& homes;
    const upstream::UpstreamRegistry& upstreams;
    PeerRelay& relay;
    BalancerCounters& counters;
    FlowPlacer& placer;
};

// Admission control of one balancer. For the flows whose home it is, it admits, queues, refuses and retries opens, and
// ensures that a flow is established at one upstream only. It also tracks the requests in flight, to refuse them when
// their upstream is gone.
class OpenAdmission {
public:
    explicit OpenAdmission(const AdmissionContext&);

    // While the balancer is partitioned from the controllers, opens of kinds with `on_partition: refuse` are refused.
    void setPartitioned(bool partitioned) { m_isPartitioned = partitioned; }
    // To be called after each change of the ring. Drops the queued opens of flows that have another home now.
    void homesChanged();

    // Handles a repeated copy of an open that this balancer has a record of. True when the copy needs no further
    // processing; false for an open without a record and for a copy that is to be forwarded to the flow's upstream.
    bool handleOpenCopy(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // True when this balancer has an unexpired record of the flow: it has admitted or queued the open, or the flow has
    // ended.
    bool hasOpenRecord(const core::FlowKey& flow) const { return m_opens.find(flow) != nullptr; }
    // Upstream to which the open was last sent; invalid when there is none.
    core::UpstreamId upstreamOf(const core::FlowKey&) const;
    // Upstream whose `opened` this balancer has forwarded to the caller; invalid without a record of that.
    core::UpstreamId establishedUpstreamOf(const core::FlowKey&) const;
    void handleCancel(const packet::Packet&, core::TimePoint now);
    // Records a request that is forwarded to an upstream as in flight. Ignores other packets.
    void recordForwarded(const packet::Packet&, core::UpstreamId, core::TimePoint now);
    // Admits, queues or refuses an open of a flow without an entry at its home. True when it is to be placed now.
    bool admit(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Records the result of the attempt to place an admitted flow. The upstream is invalid when none was found.
    void recordPlacement(const packet::Packet&, core::UpstreamId, core::TimePoint now);
    // Marks a flow that was closed, reset or refused as ended, so that late copies of its open are ignored. True when
    // its open was still queued.
    bool endFlow(const core::FlowKey&, core::TimePoint now);
    // Releases the capacity of a flow whose entry was removed although the balancer has not seen the flow end.
    void releaseFlow(const core::FlowKey&, core::TimePoint now);
    // Handles a packet from an upstream. True when the packet needs no further processing and isn't to be forwarded.
    bool handleUpstreamPacket(
        const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Removes and returns the next queued open for which there is capacity. Its payload is valid until the next call.
    std::optional<packet::Packet> takeAdmitted(core::TimePoint now, BalancerOutput&);
    void tick(core::TimePoint now, BalancerOutput&);
    request::ServiceLoad& loadOf(const core::ServiceName& service) { return m_services[service]; }

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
    // Sends the request to any running upstream. Used only when a test switches off requestsStayAtUpstream.
    void resendRequest(packet::Packet, BalancerOutput&);
    void refuseRequestsOfGoneUpstreams(core::TimePoint now, BalancerOutput&);
    void refuseQueuedOfEvacuatedServices(BalancerOutput&);

    AdmissionContext m_context;
    bool m_isPartitioned { false };
    request::OpenTable m_opens;
    request::InFlightTable m_requests;
    std::map<core::ServiceName, request::ServiceLoad> m_services;
    // Incarnations at the last maintenance, to detect upstreams that are gone or have restarted.
    std::map<core::UpstreamId, core::Incarnation> m_incarnations;
    core::TimePoint m_nextMaintenanceAt;
};

} // namespace ibisgw::balancer
