#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/flow/FlowRecord.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisgw::flow {

// Flow records of the whole group as one balancer knows them, and those that it publishes itself.
class FlowRecordLog {
public:
    // The first sequence must be larger than all of an earlier process of the same balancer.
    FlowRecordLog(core::NodeId self, std::uint64_t firstSequence, std::size_t firstLimit);

    // Publishes a record of this balancer.
    void record(std::uint64_t flowHash, core::UpstreamId);
    // Publishes that the flow needs no record any more; does nothing when it has none.
    void remove(std::uint64_t flowHash);
    // False for a record that is older than one already held from the same origin.
    bool apply(const FlowRecord&);
    // Invalid when the flow has no record.
    core::UpstreamId find(std::uint64_t flowHash) const;

    // Own records that have not been taken yet, oldest first.
    std::vector<FlowRecord> takeOutgoing(std::size_t maxCount);
    // Newest sequence of this balancer; peers compare it with what they hold.
    std::uint64_t head() const { return m_nextSequence - 1; }
    // The same without the records that have not been taken yet.
    std::uint64_t takenHead() const { return head() - (m_own.size() - m_taken); }
    // First sequence of the origin that is missing here, if any up to its head.
    std::optional<std::uint64_t> firstMissing(core::NodeId origin, std::uint64_t head) const;
    // Own records from the given sequence on; all live ones of this balancer when it is too old.
    std::vector<FlowRecord> since(std::uint64_t sequence) const;
    // All live records of the group, for a joining balancer.
    std::vector<FlowRecord> all() const;
    // How far each origin's records are known, given to a joining balancer together with all().
    std::map<core::NodeId, std::uint64_t> heads() const;
    void setHeads(const std::map<core::NodeId, std::uint64_t>&);

    // The oldest records give way beyond this number. It falls slowly, because a balancer that has just
    // joined does not know yet how many flows there are.
    void setLimit(std::size_t);
    bool isFull() const { return static_cast<double>(m_records.size()) >= m_limit; }
    std::size_t size() const { return m_records.size(); }
    std::uint64_t gaveWay() const { return m_gaveWay; }

private:
    struct Held {
        core::UpstreamId upstream;
        core::NodeId origin;
        std::uint64_t sequence { 0 };
        std::uint64_t age { 0 };
    };
    struct OriginState {
        std::uint64_t contiguous { 0 };
        // Received ahead of a gap.
        std::map<std::uint64_t, bool> ahead;
    };

    void publish(std::uint64_t flowHash, core::UpstreamId);
    void hold(const FlowRecord&);
    void noteSequence(const FlowRecord&);
    void enforceLimit();

    core::NodeId m_self;
    std::uint64_t m_firstSequence;
    std::uint64_t m_nextSequence;
    std::unordered_map<std::uint64_t, Held> m_records;
    // Flow hashes in the order of their records, with the age that tells live ones from replaced ones.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_order;
    std::uint64_t m_nextAge { 0 };
    // Recent own records, published or not, for the repair of gaps.
    std::deque<FlowRecord> m_own;
    std::size_t m_taken { 0 };
    std::map<core::NodeId, OriginState> m_origins;
    double m_limit;
    std::uint64_t m_gaveWay { 0 };
};

} // namespace ibisgw::flow
