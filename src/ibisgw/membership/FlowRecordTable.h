#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/GossipMessage.h"

#include <map>
#include <optional>
#include <vector>

namespace ibisgw::membership {

// Flow records by origin and sequence. Detects gaps in the sequences and returns the requests that fill them.
class FlowRecordTable {
public:
    // Records are kept for peers that join or have gaps: 2,048 records each of 88 origins take about 18 MB.
    static constexpr std::size_t maxRecordsPerOrigin = 2048;
    // Time between the detection of a gap and the first request: a record that is late by less is probably still on its
    // way.
    static constexpr core::Duration repairDelay = std::chrono::milliseconds(400);
    // After this many requests without a reply, about a minute, the records count as discarded by all peers and the gap
    // is skipped.
    static constexpr int maxAttempts = 20;

    // True when the record is new here.
    bool add(const FlowRecordItem&, core::TimePoint now);
    // The origin has published records up to this sequence.
    void noteNewest(core::NodeId origin, std::uint64_t epoch, std::uint64_t sequence, core::TimePoint now);
    // A peer, or the origin itself, holds these records of the origin.
    void noteHeldRange(const FlowRecordRange&, bool isFromOrigin, core::TimePoint now);
    // Requests for gaps that are due now, at most one for each origin. The delay before a repeated request grows with
    // the number of attempts.
    std::vector<FlowRecordRequest> takeDueRequests(std::size_t maxCount, core::TimePoint now);
    // The requested records that are held here, in order and as many as fit into maxBytes when encoded.
    std::vector<FlowRecordItem> find(const FlowRecordRequest&, std::size_t maxBytes) const;
    // Range of records of an origin; empty for an origin that has published none.
    std::optional<FlowRecordRange> heldRange(core::NodeId) const;
    bool hasGaps() const;

private:
    struct Origin {
        std::uint64_t epoch { 0 };
        // All records up to this sequence were received or skipped.
        std::uint64_t contiguous { 0 };
        // Newest sequence that the origin has published.
        std::uint64_t newest { 0 };
        std::map<std::uint64_t, std::vector<std::uint8_t>> records;
        core::TimePoint nextRequestAt;
        // Requests for the present gap.
        int attempts { 0 };
    };

    // Null for an epoch that is older than the one held; a newer epoch discards the records of the older one.
    Origin* originFor(core::NodeId, std::uint64_t epoch);
    static void advanceContiguous(Origin&);

    std::map<core::NodeId, Origin> m_origins;
};

} // namespace ibisgw::membership
