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

// Collects the identifiers of forwarded requests and placed flows, and logs many of them in one line. The upstream may
// still fail a request that the balancer forwarded successfully; the identifiers then lead to that upstream. A line for
// each request would cost more than the forwarding itself.
class RequestBatch {
public:
    // Entries beyond `entriesPerSecond` are dropped and counted.
    explicit RequestBatch(std::uint32_t entriesPerSecond) { setEntriesPerSecond(entriesPerSecond); }

    void setEntriesPerSecond(std::uint32_t);
    // Adds an entry; an empty `request` denotes the placement of a new flow.
    void add(const core::FlowKey&, std::string_view request, upstream::InstanceId, core::TimePoint now);
    // Logs the collected entries, at most every 500 ms. Must be called several times a second.
    void flush(EventLog&, std::uint64_t version, core::TimePoint now);

    std::uint64_t droppedCount() const { return m_droppedCount; }

private:
    std::size_t m_entriesPerFlush { 0 };
    nlohmann::json m_entries = nlohmann::json::array();
    core::TimePoint m_flushedAt {};
    std::uint64_t m_droppedSinceFlush { 0 };
    std::uint64_t m_droppedCount { 0 };
};

} // namespace ibisgw::runtime
