#pragma once

#include "ibisgw/flow/FlowEntry.h"

#include <array>
#include <cstddef>
#include <functional>
#include <vector>

namespace ibisgw::flow {

// Hash table of the flows of one balancer and their upstreams. It uses open addressing with linear probing in 256
// segments that grow independently, so that a growth step moves only 1/256 of the flows.
class FlowTable {
public:
    enum class Visit {
        Keep,
        Erase,
    };
    enum class Touch {
        Yes,
        No, // doesn't reset the idle time
    };
    using Visitor = std::function<Visit(FlowEntry&)>;
    // Called with each entry that insert() evicts from a full table.
    using EvictionHandler = std::function<void(const FlowEntry&, core::TimePoint now)>;

    explicit FlowTable(std::size_t capacity);

    void onEviction(EvictionHandler handler) { m_evictionHandler = std::move(handler); }

    // Entry of the flow, or null. Resets its idle time unless Touch::No is passed. The pointer is valid until the next
    // insertion or removal.
    FlowEntry* find(const core::FlowKey&, core::TimePoint now, Touch = Touch::Yes);
    // Adds an entry or replaces the upstream of an existing one. A full table evicts the longest idle flow of a sample,
    // but never one with an unanswered request of a kind that is not idempotent; null when there is no other.
    FlowEntry* insert(const core::FlowKey&, core::UpstreamId, core::TimePoint now);
    bool erase(const core::FlowKey&);
    // Visits the next part of the table, about the given number of buckets. Continues at the start after the end of the
    // table.
    void scan(std::size_t buckets, const Visitor&);

    // Visits all flows in one call; only for rare events, such as when this balancer leaves its group.
    void forEach(const std::function<void(const FlowEntry&)>&) const;

    std::size_t size() const { return m_size; }
    std::size_t bucketCount() const;
    std::size_t memoryBytes() const { return bucketCount() * sizeof(FlowEntry) + sizeof *this; }

private:
    static constexpr std::size_t segmentCount = 256;
    struct Segment {
        std::vector<FlowEntry> buckets;
        std::size_t used { 0 };
    };

    static FlowEntry* findIn(Segment&, const core::FlowKey&, std::uint64_t hash);
    static FlowEntry* place(Segment&, const FlowEntry&, std::uint64_t hash);
    static void grow(Segment&);
    void eraseAt(Segment&, std::size_t index);
    bool evictOne(core::TimePoint now);
    Segment& segmentOf(std::uint64_t hash) { return m_segments[hash >> 56]; }

    std::size_t m_capacity;
    std::size_t m_size { 0 };
    std::array<Segment, segmentCount> m_segments;
    std::size_t m_scanSegment { 0 };
    std::size_t m_scanBucket { 0 };
    std::size_t m_evictSegment { 0 };
    EvictionHandler m_evictionHandler;
};

} // namespace ibisgw::flow
