#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/packet/Packet.h"
#include "ibisgw/request/Deadline.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace ibisgw::request {

enum class OpenState : std::uint8_t {
    Queued, // waits for capacity at the home; no upstream has seen it
    Forwarded, // sent to an upstream, no `opened` yet
    Established,
    Ended, // closed or refused; late copies of the open are ignored
};

// An open that this balancer, the home of the flow, has decided about.
struct OpenRecord {
    OpenState state { OpenState::Forwarded };
    core::ServiceName service;
    // Without payload; forwarded again on a retry.
    packet::Packet open;
    std::vector<std::byte> payload;
    Deadline deadline { 0, {} };
    core::TimePoint receivedAt;
    core::TimePoint forwardedAt;
    // Upstreams that the open was sent to; the last one is the present one.
    std::vector<core::UpstreamId> upstreams;
    core::TimePoint expiresAt;
    // The record counts against the concurrency limit of its kind.
    bool holdsCapacity { false };
};

// Opens by flow, bounded in count and in time.
class OpenTable {
public:
    explicit OpenTable(std::size_t capacity);

    // Null when the table is full.
    OpenRecord* insert(const core::FlowKey&);
    OpenRecord* find(const core::FlowKey&);
    const OpenRecord* find(const core::FlowKey&) const;
    void erase(const core::FlowKey&);
    void forEach(const std::function<void(const core::FlowKey&, OpenRecord&)>&);
    // Removes expired records and passes each to the visitor.
    void removeExpired(core::TimePoint now, const std::function<void(const core::FlowKey&, OpenRecord&)>&);
    std::size_t size() const { return m_records.size(); }

private:
    std::size_t m_capacity;
    std::unordered_map<core::FlowKey, OpenRecord> m_records;
};

} // namespace ibisgw::request
