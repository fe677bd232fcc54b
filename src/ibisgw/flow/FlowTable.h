#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstddef>
#include <unordered_map>

namespace ibisgw::flow {

struct FlowEntry {
    core::UpstreamId upstream;
    core::TimePoint lastSeen;
};

// Local view of which upstream serves which flow.
class FlowTable {
public:
    explicit FlowTable(std::size_t capacity);

    // Null when the flow is not known. Refreshes the idle time of the entry.
    const FlowEntry* find(const core::FlowKey&, core::TimePoint now);
    // Replaces an existing entry of the same flow; false when the table is full.
    bool insert(const core::FlowKey&, core::UpstreamId, core::TimePoint now);
    void erase(const core::FlowKey&);
    // Removes the entries that have been idle for longer than the limit.
    std::size_t removeIdle(core::TimePoint now, core::Duration idleLimit);
    std::size_t size() const { return m_entries.size(); }

private:
    std::size_t m_capacity;
    std::unordered_map<core::FlowKey, FlowEntry> m_entries;
};

} // namespace ibisgw::flow
