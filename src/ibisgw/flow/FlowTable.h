#pragma once

#include "ibisgw/flow/FlowEntry.h"

#include <array>
#include <cstddef>
#include <functional>
#include <vector>

namespace ibisgw::flow {

// Local view of which upstream serves which flow: open addressing with linear probing in segments
// that grow independently, so that growth moves only 1/256 of the flows at a time.
class FlowTable {
public:
    enum class Visit {
        Keep,
        Erase,
    };
    enum class Touch {
        Yes,
        No, // leaves the idle time as it is
    };
    using Visitor = std::function<Visit(FlowEntry&)>;
    // Called with each entry that is removed to make room.
    using EvictionHandler = std::function<void(const FlowEntry&, core::TimePoint now)>;

    explicit FlowTable(std::size_t capacity);

    void onEviction(EvictionHandler handler) { m_evictionHandler = std::move(handler); }

    // Null when the flow is not known. Refreshes the idle time. Valid until the next insertion or removal.
    FlowEntry* find(const core::FlowKey&, core::TimePoint now, Touch = Touch::Yes);
    // Replaces the upstream of an existing entry. A full table evicts the longest idle of a sample of
    // flows, never one with an unanswered request of a kind that is not idempotent; null when there is none.
    FlowEntry* insert(const core::FlowKey&, core::UpstreamId, core::TimePoint now);
    bool erase(const core::FlowKey&);
    // Visits the next part of the table, about the given number of buckets, and wraps at its end.
    void scan(std::size_t buckets, const Visitor&);

    // Visits all flows at once; for rare events such as leaving the group.
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
