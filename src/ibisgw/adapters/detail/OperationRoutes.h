#pragma once

#include "ibisgw/adapters/detail/ApiCall.h"

namespace ibisgw::adapters::detail {

// Handlers of the API calls for the state and operation of the running system.
void showStatus(const ApiCallPtr&);
void showUpstreams(const ApiCallPtr&);
// Answers with the numbers of open flows, or with the upstream of the flow that the query parameters `caller`
// and `service` identify.
void showFlows(const ApiCallPtr&);
void drainUpstream(const ApiCallPtr&, const std::string& address);
void drainBalancer(const ApiCallPtr&, const std::string& name);
void showTrace(const ApiCallPtr&, const std::string& traceId);

} // namespace ibisgw::adapters::detail
