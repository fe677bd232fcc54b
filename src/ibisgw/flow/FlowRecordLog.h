#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/flow/FlowRecord.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisgw::flow {

// Flow records that one balancer holds: those received from its group and those that it publishes. Sequence numbers
// show which records of an origin are missing, so that they can be requested again.
class FlowRecordLog {
public:
    // The first sequence must be larger than all sequences of earlier processes of the same balancer.
    FlowRecordLog(core::NodeId self, std::uint64_t firstSequence, std::size_t firstLimit);

    // Publishes a record of this balancer.
    void record(std::uint64_t flowHash, core::UpstreamId);
    // Publishes the removal of the flow's record; does nothing when it has none.
    void remove(std::uint64_t flowHash);
    // Stores a record received from the group. False when a record of the flow with the same or a higher sequence of
    // the same origin is already stored, or this process has published it.
    bool apply(const FlowRecord&);
    // Invalid when the flow has no record.
    core::UpstreamId find(std::uint64_t flowHash) const;

    // Own records that have not been returned by an earlier call, oldest first, to send to the group.
    std::vector<FlowRecord> takeOutgoing(std::size_t maxCount);
    // Newest sequence of this balancer. Peers compare it with the sequences that they have received.
    std::uint64_t head() const { return m_nextSequence - 1; }
    // Newest sequence that takeOutgoing() has returned.
    std::uint64_t takenHead() const { return head() - (m_ownRecords.size() - m_takenCount); }
    // First sequence of the origin, up to its head, that this balancer has not received; empty when none is missing.
    std::optional<std::uint64_t> firstMissing(core::NodeId origin, std::uint64_t head) const;
    // Own records from the given sequence on. When the history no longer reaches back to it, the stored records of this
    // balancer that precede the history are included.
    std::vector<FlowRecord> since(std::uint64_t sequence) const;
    // All stored records of the group, for a joining balancer.
    std::vector<FlowRecord> all() const;
    // Sequence up to which the records of each origin have been received without a gap. Sent to a joining balancer
    // together with all().
    std::map<core::NodeId, std::uint64_t> heads() const;
    void setHeads(const std::map<core::NodeId, std::uint64_t>&);

    // Sets the number of records beyond which the oldest are evicted. The effective limit falls slowly, because a
    // balancer that has just joined has counted only some of the flows.
    void setLimit(std::size_t);
    bool isFull() const { return static_cast<double>(m_records.size()) >= m_limit; }
    std::size_t size() const { return m_records.size(); }
    std::uint64_t evictedCount() const { return m_evictedCount; }

private:
    struct StoredRecord {
        core::UpstreamId upstream;
        core::NodeId origin;
        std::uint64_t sequence { 0 };
        std::uint64_t insertionNumber { 0 };
    };
    struct OriginState {
        std::uint64_t contiguousHead { 0 };
        // Sequences received after a gap.
        std::map<std::uint64_t, bool> ahead;
    };

    void publish(std::uint64_t flowHash, core::UpstreamId);
    void store(const FlowRecord&);
    void recordSequence(const FlowRecord&);
    void enforceLimit();

    core::NodeId m_self;
    std::uint64_t m_firstSequence;
    std::uint64_t m_nextSequence;
    std::unordered_map<std::uint64_t, StoredRecord> m_records;
    // Flow hashes in the order in which their records were stored. An entry whose insertion number differs from that of
    // the stored record belongs to a record that was replaced.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_insertionOrder;
    std::uint64_t m_nextInsertionNumber { 0 };
    // Recent own records, including those not sent yet, to retransmit to peers that miss them.
    std::deque<FlowRecord> m_ownRecords;
    std::size_t m_takenCount { 0 };
    std::map<core::NodeId, OriginState> m_origins;
    double m_limit;
    std::uint64_t m_evictedCount { 0 };
};

} // namespace ibisgw::flow
