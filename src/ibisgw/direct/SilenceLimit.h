#pragma once

#include "ibisgw/direct/ResponseMonitor.h"
#include "ibisgw/upstream/InstanceDirectory.h"

namespace ibisgw::direct {

// Limits how many upstreams of a service one balancer may find unresponsive without a refusal by their VMs. When more
// than a few fall silent in every zone of the service, the fault is probably the balancer's own or the network's, or
// the upstreams have too much to do. Many silent upstreams in some of the zones are judged as before.
class SilenceLimit {
public:
    SilenceLimit(const upstream::InstanceDirectory&, const ResponseMonitor&);

    // Whether a probe without an answer must not count against the upstream.
    bool isReachedFor(upstream::InstanceId) const;

private:
    const upstream::InstanceDirectory& m_directory;
    const ResponseMonitor& m_responses;
};

} // namespace ibisgw::direct
