#include "ibisgw/flow/FlowRecordLog.h"

#include <algorithm>

namespace ibisgw::flow {

namespace {

constexpr std::size_t ownHistory = 4096;
// A restarted balancer starts its sequences far above those of its earlier process.
constexpr std::uint64_t restartDistance = 1 << 16;
constexpr std::size_t smallestLimit = 1024;
// Halves the limit in 35 s at 20 calls a second.
constexpr double limitDecay = 0.999;

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
    m_own.push_back(record);
    if (m_own.size() > ownHistory) {
        m_own.pop_front();
        m_taken -= std::min<std::size_t>(m_taken, 1);
    }
    hold(record);
}

bool FlowRecordLog::apply(const FlowRecord& record)
{
    // Records of an earlier process of this balancer come back from its peers.
    if (record.origin == m_self && record.sequence >= m_firstSequence)
        return false;
    if (record.origin != m_self)
        noteSequence(record);
    const auto it = m_records.find(record.flowHash);
    if (it != m_records.end() && it->second.origin == record.origin && it->second.sequence >= record.sequence)
        return false;
    hold(record);
    return true;
}

void FlowRecordLog::noteSequence(const FlowRecord& record)
{
    auto& state = m_origins[record.origin];
    if (state.contiguous == 0 || record.sequence > state.contiguous + restartDistance) {
        state = { record.sequence, {} };
        return;
    }
    if (record.sequence <= state.contiguous)
        return;
    state.ahead[record.sequence] = true;
    while (!state.ahead.empty() && state.ahead.begin()->first == state.contiguous + 1) {
        ++state.contiguous;
        state.ahead.erase(state.ahead.begin());
    }
}

void FlowRecordLog::hold(const FlowRecord& record)
{
    if (!record.upstream.isValid()) {
        m_records.erase(record.flowHash);
        return;
    }
    const auto age = m_nextAge++;
    m_records[record.flowHash] = { record.upstream, record.origin, record.sequence, age };
    m_order.emplace_back(record.flowHash, age);
    enforceLimit();
}

void FlowRecordLog::enforceLimit()
{
    const auto limit = static_cast<std::size_t>(m_limit);
    while (m_records.size() > limit || m_order.size() > 2 * limit + smallestLimit) {
        const auto [flowHash, age] = m_order.front();
        m_order.pop_front();
        const auto it = m_records.find(flowHash);
        if (it == m_records.end() || it->second.age != age)
            continue;
        if (m_records.size() <= limit) {
            it->second.age = m_nextAge++;
            m_order.emplace_back(flowHash, it->second.age);
            continue;
        }
        m_records.erase(it);
        ++m_gaveWay;
    }
}

core::UpstreamId FlowRecordLog::find(std::uint64_t flowHash) const
{
    const auto it = m_records.find(flowHash);
    return it == m_records.end() ? core::UpstreamId {} : it->second.upstream;
}

std::vector<FlowRecord> FlowRecordLog::takeOutgoing(std::size_t maxCount)
{
    const auto count = std::min(maxCount, m_own.size() - m_taken);
    const auto first = m_own.begin() + static_cast<std::ptrdiff_t>(m_taken);
    std::vector<FlowRecord> records(first, first + static_cast<std::ptrdiff_t>(count));
    m_taken += count;
    return records;
}

std::optional<std::uint64_t> FlowRecordLog::firstMissing(core::NodeId origin, std::uint64_t head) const
{
    const auto it = m_origins.find(origin);
    const auto contiguous = it == m_origins.end() ? 0 : it->second.contiguous;
    if (contiguous >= head)
        return std::nullopt;
    return contiguous + 1;
}

std::vector<FlowRecord> FlowRecordLog::since(std::uint64_t sequence) const
{
    std::vector<FlowRecord> records;
    // Sequences that the history no longer holds may name live records.
    if (!m_own.empty() && sequence < m_own.front().sequence) {
        for (const auto& [flowHash, held] : m_records) {
            if (held.origin == m_self && held.sequence < m_own.front().sequence)
                records.push_back({ flowHash, held.upstream, m_self, held.sequence });
        }
    }
    for (const auto& it : m_own) {
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
        heads[origin] = state.contiguous;
    if (head() > 0)
        heads[m_self] = head();
    return heads;
}

void FlowRecordLog::setHeads(const std::map<core::NodeId, std::uint64_t>& heads)
{
    for (const auto& [origin, sequence] : heads) {
        if (origin != m_self)
            m_origins[origin] = { std::max(sequence, m_origins[origin].contiguous), {} };
    }
}

void FlowRecordLog::setLimit(std::size_t limit)
{
    m_limit = std::max({ static_cast<double>(limit), static_cast<double>(smallestLimit), m_limit * limitDecay });
    enforceLimit();
}

} // namespace ibisgw::flow
