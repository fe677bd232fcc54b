#include "ibisgw/runtime/RequestBatch.h"

#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/LogFields.h"

#include <algorithm>
#include <utility>

namespace ibisgw::runtime {

namespace {

constexpr core::Duration flushInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t flushesPerSecond = 2;

} // namespace

void RequestBatch::setEntriesPerSecond(std::uint32_t entriesPerSecond)
{
    m_entriesPerFlush = std::max<std::size_t>(1, entriesPerSecond / flushesPerSecond);
}

void RequestBatch::add(
    const core::FlowKey& flow, std::string_view request, upstream::InstanceId instance, core::TimePoint now)
{
    if (m_entries.size() >= m_entriesPerFlush) {
        ++m_droppedSinceFlush;
        ++m_droppedCount;
        return;
    }
    m_entries.push_back(
        nlohmann::json::array({ core::toSeconds(now.time_since_epoch()), request, textOf(flow), textOf(instance) }));
}

void RequestBatch::flush(EventLog& events, std::uint64_t version, core::TimePoint now)
{
    if (m_entries.empty() || now - m_flushedAt < flushInterval)
        return;
    m_flushedAt = now;
    events.record(Event::RequestsForwarded, now, [&] {
        nlohmann::json fields { { "entries", std::exchange(m_entries, nlohmann::json::array()) },
            { "version", version } };
        if (m_droppedSinceFlush > 0)
            fields["entries_left_out"] = std::exchange(m_droppedSinceFlush, 0);
        return fields;
    });
}

} // namespace ibisgw::runtime
