#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/packet/Packet.h"

#include <vector>

namespace ibisgw::balancer {

// Interface through which OpenAdmission places flows and changes them. The balancer implements it, so that the flow
// table and the flow counts change in one class only.
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
};

} // namespace ibisgw::balancer
