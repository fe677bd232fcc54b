#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/packet/Packet.h"

#include <vector>

namespace ibisgw::balancer {

// What OpenAdmission uses of the flows of its balancer, which alone changes the flow table and its counts.
class FlowPlacer {
public:
    virtual ~FlowPlacer();

    // Invalid when the flow is not known here. Leaves its idle time as it is.
    virtual core::UpstreamId upstreamOf(const core::FlowKey&, core::TimePoint now) = 0;
    // Selects an upstream outside the given ones and counts the flow there; invalid when there is none.
    virtual core::UpstreamId placeFlow(const packet::Packet& open, const configuration::Service&,
        const std::vector<core::UpstreamId>& excluded, core::TimePoint now)
        = 0;
    // Enters a flow that was placed before.
    virtual void restoreFlow(
        const packet::Packet& open, core::UpstreamId, const configuration::Service&, core::TimePoint now)
        = 0;
    // True when the upstream gets no new work because it does not answer.
    virtual bool isEjected(core::UpstreamId, const configuration::Service&, core::TimePoint now) = 0;
    virtual void dropFlow(const core::FlowKey&, core::TimePoint now) = 0;
    // A flow that carries short requests is no longer in flight.
    virtual void releaseFlow(const core::FlowKey&, core::TimePoint now) = 0;
};

} // namespace ibisgw::balancer
