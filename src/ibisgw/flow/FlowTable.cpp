#include "ibisgw/flow/FlowTable.h"

#include <algorithm>

namespace ibisgw::flow {

namespace {

constexpr std::size_t minSegmentBuckets = 8;
// Minimum number of entries compared to find the longest idle one, unless the table has fewer.
constexpr std::size_t evictionSampleSize = 64;

} // namespace

FlowTable::FlowTable(std::size_t capacity)
    : m_capacity(capacity)
{
}

FlowEntry* FlowTable::findIn(Segment& segment, const core::FlowKey& key, std::uint64_t hash)
{
    if (segment.buckets.empty())
        return nullptr;
    const auto mask = segment.buckets.size() - 1;
    for (auto n = hash & mask; segment.buckets[n].isUsed(); n = (n + 1) & mask) {
        if (segment.buckets[n].matches(key))
            return &segment.buckets[n];
    }
    return nullptr;
}

FlowEntry* FlowTable::place(Segment& segment, const FlowEntry& entry, std::uint64_t hash)
{
    const auto mask = segment.buckets.size() - 1;
    auto n = hash & mask;
    while (segment.buckets[n].isUsed())
        n = (n + 1) & mask;
    segment.buckets[n] = entry;
    return &segment.buckets[n];
}

void FlowTable::grow(Segment& segment)
{
    std::vector<FlowEntry> previous(std::max(minSegmentBuckets, segment.buckets.size() * 2));
    previous.swap(segment.buckets);
    for (const auto& it : previous) {
        if (it.isUsed())
            place(segment, it, it.key().hash());
    }
}

FlowEntry* FlowTable::find(const core::FlowKey& key, core::TimePoint now, Touch touch)
{
    const auto hash = key.hash();
    auto* entry = findIn(segmentOf(hash), key, hash);
    if (entry && touch == Touch::Yes)
        entry->touch(now);
    return entry;
}

FlowEntry* FlowTable::insert(const core::FlowKey& key, core::UpstreamId upstream, core::TimePoint now)
{
    const auto hash = key.hash();
    auto& segment = segmentOf(hash);
    if (auto* entry = findIn(segment, key, hash)) {
        entry->setUpstream(upstream);
        entry->touch(now);
        return entry;
    }
    if (m_size >= m_capacity && !evictOne(now))
        return nullptr;
    // Probe sequences stay short up to a load factor of 7/8.
    if (segment.used + 1 > segment.buckets.size() / 8 * 7)
        grow(segment);
    ++segment.used;
    ++m_size;
    return place(segment, { key, upstream, now }, hash);
}

bool FlowTable::erase(const core::FlowKey& key)
{
    const auto hash = key.hash();
    auto& segment = segmentOf(hash);
    const auto* entry = findIn(segment, key, hash);
    if (!entry)
        return false;
    eraseAt(segment, static_cast<std::size_t>(entry - segment.buckets.data()));
    return true;
}

void FlowTable::eraseAt(Segment& segment, std::size_t index)
{
    // Backward shift instead of tombstones keeps probe sequences short in a table with many short flows.
    const auto mask = segment.buckets.size() - 1;
    auto hole = index;
    for (auto n = (hole + 1) & mask; segment.buckets[n].isUsed(); n = (n + 1) & mask) {
        const auto ideal = segment.buckets[n].key().hash() & mask;
        if (((n - ideal) & mask) >= ((n - hole) & mask)) {
            segment.buckets[hole] = segment.buckets[n];
            hole = n;
        }
    }
    segment.buckets[hole] = FlowEntry {};
    --segment.used;
    --m_size;
}

bool FlowTable::evictOne(core::TimePoint now)
{
    Segment* victimSegment = nullptr;
    std::size_t victim = 0;
    std::size_t sampled = 0;
    for (std::size_t n = 0; n < segmentCount && sampled < evictionSampleSize; ++n) {
        auto& segment = m_segments[m_evictSegment];
        m_evictSegment = (m_evictSegment + 1) % segmentCount;
        for (std::size_t index = 0; index < segment.buckets.size(); ++index) {
            const auto& entry = segment.buckets[index];
            if (!entry.isUsed())
                continue;
            ++sampled;
            if (entry.has(FlowEntry::Unanswered))
                continue;
            if (!victimSegment || entry.idleTime(now) > victimSegment->buckets[victim].idleTime(now)) {
                victimSegment = &segment;
                victim = index;
            }
        }
    }
    if (!victimSegment)
        return false;
    if (m_evictionHandler)
        m_evictionHandler(victimSegment->buckets[victim], now);
    eraseAt(*victimSegment, victim);
    return true;
}

void FlowTable::scan(std::size_t buckets, const Visitor& visit)
{
    // The end of a segment counts as one bucket, so that a scan of an empty table ends.
    for (std::size_t n = 0; n < buckets; ++n) {
        auto& segment = m_segments[m_scanSegment];
        if (m_scanBucket >= segment.buckets.size()) {
            m_scanBucket = 0;
            m_scanSegment = (m_scanSegment + 1) % segmentCount;
            continue;
        }
        auto& entry = segment.buckets[m_scanBucket];
        // The bucket of an erased entry is visited again, because the backward shift may have moved an entry into it.
        if (entry.isUsed() && visit(entry) == Visit::Erase)
            eraseAt(segment, m_scanBucket);
        else
            ++m_scanBucket;
    }
}

void FlowTable::forEach(const std::function<void(const FlowEntry&)>& visit) const
{
    for (const auto& segment : m_segments) {
        for (const auto& it : segment.buckets) {
            if (it.isUsed())
                visit(it);
        }
    }
}

std::size_t FlowTable::bucketCount() const
{
    std::size_t n = 0;
    for (const auto& it : m_segments)
        n += it.buckets.size();
    return n;
}

} // namespace ibisgw::flow
