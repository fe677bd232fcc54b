#pragma once

#include "ibisgw/upstream/InstanceDirectory.h"

#include <functional>

namespace ibisgw::upstream {

// Limits how many upstreams of a service are marked at a time, so that false reports can't take it out of use: at most
// a third of its ready upstreams, but one always may be.
bool mayMarkAnother(
    const InstanceDirectory&, const core::ServiceName&, const std::function<bool(const InstanceRecord&)>& isMarked);

} // namespace ibisgw::upstream
