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

// No copy of an open arrives later than this after the copy before it: callers repeat an open for about this long at
// most, and a packet stays in the network for a far shorter time.
constexpr core::Duration maxOpenDelay = std::chrono::seconds(5);

enum class OpenState : std::uint8_t {
    Queued, // waits for capacity at the home; not sent to any upstream
    Forwarded, // sent to an upstream, no `opened` yet
    Established, // the upstream has sent `opened`
    Ended, // closed or refused; late copies of the open are ignored
};

// State of an open at the balancer that is the home of its flow.
struct OpenRecord {
    OpenState state { OpenState::Forwarded };
    core::ServiceName service;
    // The open packet, to forward it again on a retry. Its payload refers to `payload`.
    packet::Packet open;
    std::vector<std::byte> payload;
    Deadline deadline { 0, {} };
    core::TimePoint receivedAt;
    core::TimePoint forwardedAt;
    // Upstreams to which the open was sent, in order; the last one is the upstream of the flow.
    std::vector<core::UpstreamId> upstreams;
    core::TimePoint expiresAt;
    // The open counts against the concurrency limit of its kind.
    bool holdsCapacity { false };
};

// Records of opens by flow, limited in count by the capacity and in time by their expiry.
class OpenTable {
public:
    explicit OpenTable(std::size_t capacity);

    // Adds a record or resets that of the flow; null when the table is full.
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
