#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/GossipMessage.h"

#include <map>
#include <optional>
#include <vector>

namespace ibisgw::membership {

// Flow records by origin and sequence. Notices gaps and names the records to ask for.
class FlowRecordTable {
public:
    // Kept for peers that join or missed some: 2,048 records of 88 origins take about 18 MB.
    static constexpr std::size_t maxRecordsPerOrigin = 2048;
    // A record that is late by less is probably on its way.
    static constexpr core::Duration repairDelay = std::chrono::milliseconds(400);
    // About a minute. After so many requests without an answer the records are taken as discarded by all peers.
    static constexpr int maxAttempts = 20;

    // True when the record was not known.
    bool add(const FlowRecordItem&, core::TimePoint now);
    // The origin has published records up to the sequence.
    void noteNewest(core::NodeId origin, std::uint64_t epoch, std::uint64_t sequence, core::TimePoint now);
    // A peer holds records of the origin as stated.
    void noteHead(const FlowRecordHead&, bool isFromOrigin, core::TimePoint now);
    // Gaps that are due for a request; each is due again after a delay that grows with the attempts.
    std::vector<FlowRecordRequest> takeDueRequests(std::size_t maxCount, core::TimePoint now);
    // The requested records held here, the first ones up to maxBytes of encoded size.
    std::vector<FlowRecordItem> find(const FlowRecordRequest&, std::size_t maxBytes) const;
    // Empty for an origin that has published nothing.
    std::optional<FlowRecordHead> newestOf(core::NodeId) const;
    bool hasGaps() const;

private:
    struct Origin {
        std::uint64_t epoch { 0 };
        // All records up to this one were received or given up.
        std::uint64_t contiguous { 0 };
        std::uint64_t newest { 0 };
        std::map<std::uint64_t, std::vector<std::uint8_t>> records;
        core::TimePoint nextRequestAt;
        int attempts { 0 };
    };

    Origin* originFor(core::NodeId, std::uint64_t epoch);
    static void advance(Origin&);

    std::map<core::NodeId, Origin> m_origins;
};

} // namespace ibisgw::membership
