#include "ibisgw/flow/FlowRecordLog.h"

#include <algorithm>

namespace ibisgw::flow {

namespace {

// Own records kept for retransmission.
constexpr std::size_t maxOwnRecords = 4096;
// A sequence that exceeds the newest one of its origin by more than this shows that the origin has restarted: a
// restarted balancer starts its sequences far above those of its earlier process.
constexpr std::uint64_t minRestartSequenceGap = 1 << 16;
constexpr std::size_t minRecordLimit = 1024;
// Factor of the limit for each call of setLimit(). It halves the limit in 35 s at 20 calls a second.
constexpr double limitDecayFactor = 0.999;

} // namespace

FlowRecordLog::FlowRecordLog(core::NodeId self, std::uint64_t firstSequence, std::size_t firstLimit)
    : m_self(self)
    , m_firstSequence(std::max<std::uint64_t>(firstSequence, 1))
    , m_nextSequence(m_firstSequence)
    , m_limit(static_cast<double>(firstLimit))
{
}

void FlowRecordLog::record(std::uint64_t flowHash, core::UpstreamId upstream)
{
    if (find(flowHash) != upstream)
        publish(flowHash, upstream);
}

void FlowRecordLog::remove(std::uint64_t flowHash)
{
    if (m_records.contains(flowHash))
        publish(flowHash, {});
}

void FlowRecordLog::publish(std::uint64_t flowHash, core::UpstreamId upstream)
{
    const FlowRecord record { flowHash, upstream, m_self, m_nextSequence++ };
    m_ownRecords.push_back(record);
    if (m_ownRecords.size() > maxOwnRecords) {
        m_ownRecords.pop_front();
        m_takenCount -= std::min<std::size_t>(m_takenCount, 1);
    }
    store(record);
}

bool FlowRecordLog::apply(const FlowRecord& record)
{
    // Records of an earlier process of this balancer are received from its peers and stored.
    if (record.origin == m_self && record.sequence >= m_firstSequence)
        return false;
    if (record.origin != m_self)
        recordSequence(record);
    const auto it = m_records.find(record.flowHash);
    if (it != m_records.end() && it->second.origin == record.origin && it->second.sequence >= record.sequence)
        return false;
    store(record);
    return true;
}

void FlowRecordLog::recordSequence(const FlowRecord& record)
{
    auto& state = m_origins[record.origin];
    if (state.contiguousHead == 0 || record.sequence > state.contiguousHead + minRestartSequenceGap) {
        state = { record.sequence, {} };
        return;
    }
    if (record.sequence <= state.contiguousHead)
        return;
    state.ahead[record.sequence] = true;
    while (!state.ahead.empty() && state.ahead.begin()->first == state.contiguousHead + 1) {
        ++state.contiguousHead;
        state.ahead.erase(state.ahead.begin());
    }
}

void FlowRecordLog::store(const FlowRecord& record)
{
    if (!record.upstream.isValid()) {
        m_records.erase(record.flowHash);
        return;
    }
    const auto insertionNumber = m_nextInsertionNumber++;
    m_records[record.flowHash] = { record.upstream, record.origin, record.sequence, insertionNumber };
    m_insertionOrder.emplace_back(record.flowHash, insertionNumber);
    enforceLimit();
}

void FlowRecordLog::enforceLimit()
{
    const auto limit = static_cast<std::size_t>(m_limit);
    while (m_records.size() > limit || m_insertionOrder.size() > 2 * limit + minRecordLimit) {
        const auto [flowHash, insertionNumber] = m_insertionOrder.front();
        m_insertionOrder.pop_front();
        const auto it = m_records.find(flowHash);
        if (it == m_records.end() || it->second.insertionNumber != insertionNumber)
            continue;
        if (m_records.size() <= limit) {
            it->second.insertionNumber = m_nextInsertionNumber++;
            m_insertionOrder.emplace_back(flowHash, it->second.insertionNumber);
            continue;
        }
        m_records.erase(it);
        ++m_evictedCount;
    }
}

core::UpstreamId FlowRecordLog::find(std::uint64_t flowHash) const
{
    const auto it = m_records.find(flowHash);
    return it == m_records.end() ? core::UpstreamId {} : it->second.upstream;
}

std::vector<FlowRecord> FlowRecordLog::takeOutgoing(std::size_t maxCount)
{
    const auto count = std::min(maxCount, m_ownRecords.size() - m_takenCount);
    const auto first = m_ownRecords.begin() + static_cast<std::ptrdiff_t>(m_takenCount);
    std::vector<FlowRecord> records(first, first + static_cast<std::ptrdiff_t>(count));
    m_takenCount += count;
    return records;
}

std::optional<std::uint64_t> FlowRecordLog::firstMissing(core::NodeId origin, std::uint64_t head) const
{
    const auto it = m_origins.find(origin);
    const auto contiguousHead = it == m_origins.end() ? 0 : it->second.contiguousHead;
    if (contiguousHead >= head)
        return std::nullopt;
    return contiguousHead + 1;
}

std::vector<FlowRecord> FlowRecordLog::since(std::uint64_t sequence) const
{
    std::vector<FlowRecord> records;
    // Stored records may have sequences that are no longer in the history.
    if (!m_ownRecords.empty() && sequence < m_ownRecords.front().sequence) {
        for (const auto& [flowHash, held] : m_records) {
            if (held.origin == m_self && held.sequence < m_ownRecords.front().sequence)
                records.push_back({ flowHash, held.upstream, m_self, held.sequence });
        }
    }
    for (const auto& it : m_ownRecords) {
        if (it.sequence >= sequence)
            records.push_back(it);
    }
    return records;
}

std::vector<FlowRecord> FlowRecordLog::all() const
{
    std::vector<FlowRecord> records;
    for (const auto& [flowHash, held] : m_records)
        records.push_back({ flowHash, held.upstream, held.origin, held.sequence });
    std::ranges::sort(records, {}, &FlowRecord::sequence);
    return records;
}

std::map<core::NodeId, std::uint64_t> FlowRecordLog::heads() const
{
    std::map<core::NodeId, std::uint64_t> heads;
    for (const auto& [origin, state] : m_origins)
        heads[origin] = state.contiguousHead;
    if (head() > 0)
        heads[m_self] = head();
    return heads;
}

void FlowRecordLog::setHeads(const std::map<core::NodeId, std::uint64_t>& heads)
{
    for (const auto& [origin, sequence] : heads) {
        if (origin != m_self)
            m_origins[origin] = { std::max(sequence, m_origins[origin].contiguousHead), {} };
    }
}

void FlowRecordLog::setLimit(std::size_t limit)
{
    m_limit = std::max({ static_cast<double>(limit), static_cast<double>(minRecordLimit), m_limit * limitDecayFactor });
    enforceLimit();
}

} // namespace ibisgw::flow
