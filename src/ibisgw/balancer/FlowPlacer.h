#pragma once

#include "ibisgw/balancer/BalancerOutput.h"
#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/packet/Packet.h"

#include <vector>

namespace ibisgw::balancer {

// Interface through which OpenAdmission and RequestHedging place flows and change them. The balancer implements it, so
// that the flow table and the flow counts change in one class only.
class FlowPlacer {
public:
    virtual ~FlowPlacer();

    // Upstream of the flow in the flow table; invalid when there is no entry. Doesn't reset the idle time.
    virtual core::UpstreamId upstreamOf(const core::FlowKey&, core::TimePoint now) = 0;
    // Selects an upstream that is not excluded, enters the flow in the flow table and counts it at that upstream.
    // Invalid when there is no such upstream or no room in the table.
    virtual core::UpstreamId placeFlow(const packet::Packet& open, const configuration::Service&,
        const std::vector<core::UpstreamId>& excluded, core::TimePoint now)
        = 0;
    // Enters a flow that was placed earlier in the flow table again.
    virtual void restoreFlow(
        const packet::Packet& open, core::UpstreamId, const configuration::Service&, core::TimePoint now)
        = 0;
    // True when outlier detection has ejected the upstream because it doesn't answer: it gets no new work.
    virtual bool isEjected(core::UpstreamId, const configuration::Service&, core::TimePoint now) = 0;
    // True when an evacuation leaves the service without an upstream for new flows.
    virtual bool isEvacuated(const core::ServiceName&) const = 0;
    // Removes the flow from the flow table, with its count and its flow record.
    virtual void dropFlow(const core::FlowKey&, core::TimePoint now) = 0;
    // Stops counting a flow of short requests as in flight at its upstream. Streams stay counted.
    virtual void releaseFlow(const core::FlowKey&, core::TimePoint now) = 0;
    // Least loaded upstream for an extra attempt of a request, other than the first one; invalid when there is none.
    virtual core::UpstreamId selectSecond(
        const core::FlowKey&, const configuration::Service&, core::UpstreamId first, core::TimePoint now)
        = 0;
    // Counts an extra attempt as in flight at its upstream, and ends that.
    virtual void noteSecondStarted(core::UpstreamId, const configuration::Service&, core::TimePoint now) = 0;
    virtual void noteSecondFinished(core::UpstreamId, const core::ServiceName&) = 0;
    // True when the refusal of a request whose upstream is gone isn't to be sent, because an extra attempt of the
    // request is in progress or its home decides.
    virtual bool holdsRefusal(packet::Packet& refusal, core::TimePoint now, BalancerOutput&) = 0;
};

} // namespace ibisgw::balancer
