#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace support {

// Counts, on the side of the upstreams, how often each request was executed and how many packets reached an upstream
// of another service. Shared by all fake upstreams of a run.
class ExecutionLog {
public:
    using RequestKey = std::pair<ibisgw::core::FlowKey, ibisgw::core::RequestId>;

    void recordExecution(const RequestKey& request) { ++m_executions[request]; }
    void recordMisroutedPacket() { ++m_misroutedPackets; }

    std::uint64_t executionsOf(const RequestKey& request) const
    {
        const auto it = m_executions.find(request);
        return it == m_executions.end() ? 0 : it->second;
    }
    // Number of distinct requests that were executed at least once.
    std::uint64_t total() const { return m_executions.size(); }
    std::uint64_t misroutedPackets() const { return m_misroutedPackets; }
    // Executions beyond the first of each request.
    std::uint64_t duplicateExecutions() const
    {
        std::uint64_t n = 0;
        for (const auto& [request, count] : m_executions)
            n += count - 1;
        return n;
    }

private:
    std::map<RequestKey, std::uint64_t> m_executions;
    std::uint64_t m_misroutedPackets { 0 };
};

} // namespace support
