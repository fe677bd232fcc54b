#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <cstdint>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace ibisgw::runtime {

class EventLog;

// Names requests and placements that are only successes as far as a balancer knows, many in one line: an upstream may
// still fail them, and then their identifiers lead to it. A line for each would cost more than the forwarding.
class RequestBatch {
public:
    // `entriesPerSecond` bounds the volume; entries beyond it are counted.
    explicit RequestBatch(std::uint32_t entriesPerSecond) { setEntriesPerSecond(entriesPerSecond); }

    void setEntriesPerSecond(std::uint32_t);
    // An empty request stands for the placement of a new flow.
    void add(const core::FlowKey&, std::string_view request, upstream::InstanceId, core::TimePoint now);
    // Writes what has come together. Call several times a second.
    void flush(EventLog&, std::uint64_t version, core::TimePoint now);

    std::uint64_t leftOut() const { return m_leftOut; }

private:
    std::size_t m_entriesPerFlush { 0 };
    nlohmann::json m_entries = nlohmann::json::array();
    core::TimePoint m_flushedAt {};
    std::uint64_t m_leftOutBefore { 0 };
    std::uint64_t m_leftOut { 0 };
};

} // namespace ibisgw::runtime
