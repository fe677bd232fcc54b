#pragma once

#include "ibisgw/adapters/detail/ApiCall.h"

namespace ibisgw::adapters::detail {

// Calls about the running system.
void showStatus(const ApiCallPtr&);
void showUpstreams(const ApiCallPtr&);
// All counts, or the upstream of the flow named by the query parameters `caller` and `service`.
void showFlows(const ApiCallPtr&);
void drainUpstream(const ApiCallPtr&, const std::string& address);
void drainBalancer(const ApiCallPtr&, const std::string& name);
void showTrace(const ApiCallPtr&, const std::string& traceId);

} // namespace ibisgw::adapters::detail
