#include "ibisgw/membership/FlowRecordTable.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

// Most bytes that a record takes besides its content: CBOR heads, origin, epoch and sequence.
constexpr std::size_t recordOverheadBytes = 30;
// The delay before a repeated request grows up to ten times repairDelay.
constexpr int maxDelayFactor = 10;

} // namespace

bool FlowRecordTable::add(const FlowRecordItem& item, core::TimePoint now)
{
    auto* origin = originFor(item.origin, item.epoch);
    if (!origin || item.sequence <= origin->contiguous || origin->records.contains(item.sequence))
        return false;
    origin->records[item.sequence] = item.record;
    const auto contiguousBefore = origin->contiguous;
    advanceContiguous(*origin);
    if (origin->contiguous > contiguousBefore)
        origin->attempts = 0;
    noteNewest(item.origin, item.epoch, item.sequence, now);
    while (origin->records.size() > maxRecordsPerOrigin)
        origin->records.erase(origin->records.begin());
    return true;
}

void FlowRecordTable::noteNewest(core::NodeId id, std::uint64_t epoch, std::uint64_t sequence, core::TimePoint now)
{
    if (sequence == 0)
        return;
    auto* origin = originFor(id, epoch);
    if (!origin || sequence <= origin->newest)
        return;
    if (origin->newest == origin->contiguous)
        origin->nextRequestAt = now + repairDelay;
    origin->newest = sequence;
}

void FlowRecordTable::noteHeldRange(const FlowRecordRange& head, bool isFromOrigin, core::TimePoint now)
{
    auto* origin = originFor(head.origin, head.epoch);
    // Records that were discarded before this daemon joined cannot be requested from anyone, so they are skipped. A
    // peer may hold fewer records than the origin; the range of a peer counts only while none of the origin is known.
    if (origin && head.oldest > 0 && (isFromOrigin || origin->newest == 0)) {
        origin->contiguous = std::max(origin->contiguous, head.oldest - 1);
        advanceContiguous(*origin);
    }
    noteNewest(head.origin, head.epoch, head.newest, now);
}

std::vector<FlowRecordRequest> FlowRecordTable::takeDueRequests(std::size_t maxCount, core::TimePoint now)
{
    std::vector<FlowRecordRequest> requests;
    for (auto& [id, origin] : m_origins) {
        if (requests.size() == maxCount)
            break;
        if (origin.newest <= origin.contiguous || now < origin.nextRequestAt)
            continue;
        const auto firstHeld = origin.records.upper_bound(origin.contiguous);
        const auto to = firstHeld == origin.records.end() ? origin.newest : firstHeld->first - 1;
        if (origin.attempts++ >= maxAttempts) {
            origin.contiguous = to;
            origin.attempts = 0;
            advanceContiguous(origin);
            continue;
        }
        origin.nextRequestAt = now + repairDelay * std::min(origin.attempts, maxDelayFactor);
        requests.push_back({ id, origin.epoch, origin.contiguous + 1, to });
    }
    return requests;
}

std::vector<FlowRecordItem> FlowRecordTable::find(const FlowRecordRequest& request, std::size_t maxBytes) const
{
    std::vector<FlowRecordItem> items;
    const auto origin = m_origins.find(request.origin);
    if (origin == m_origins.end() || origin->second.epoch != request.epoch)
        return items;
    const auto& records = origin->second.records;
    std::size_t bytes = 0;
    for (auto it = records.lower_bound(request.from); it != records.end() && it->first <= request.to; ++it) {
        bytes += it->second.size() + recordOverheadBytes;
        if (bytes > maxBytes)
            break;
        items.push_back({ request.origin, request.epoch, it->first, it->second });
    }
    return items;
}

std::optional<FlowRecordRange> FlowRecordTable::heldRange(core::NodeId id) const
{
    const auto origin = m_origins.find(id);
    if (origin == m_origins.end() || origin->second.newest == 0)
        return std::nullopt;
    const auto& records = origin->second.records;
    const auto newest = origin->second.newest;
    return FlowRecordRange { id, origin->second.epoch, records.empty() ? newest : records.begin()->first, newest };
}

bool FlowRecordTable::hasGaps() const
{
    return std::any_of(
        m_origins.begin(), m_origins.end(), [](const auto& it) { return it.second.newest > it.second.contiguous; });
}

FlowRecordTable::Origin* FlowRecordTable::originFor(core::NodeId id, std::uint64_t epoch)
{
    auto& origin = m_origins[id];
    if (epoch < origin.epoch)
        return nullptr;
    if (epoch > origin.epoch)
        origin = { .epoch = epoch };
    return &origin;
}

void FlowRecordTable::advanceContiguous(Origin& origin)
{
    while (origin.records.contains(origin.contiguous + 1))
        ++origin.contiguous;
}

} // namespace ibisgw::membership
