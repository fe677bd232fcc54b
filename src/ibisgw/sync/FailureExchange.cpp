#include "ibisgw/sync/FailureExchange.h"

namespace ibisgw::sync {

namespace {

// Balancers forget a mark that isn't repeated for two of these intervals.
constexpr core::Duration repeatInterval = std::chrono::milliseconds(500);

} // namespace

FailureExchange::FailureExchange(const upstream::InstanceDirectory& directory)
    : m_directory(directory)
{
}

bool FailureExchange::handle(core::NodeId from, const FailureReport& report, std::span<const core::NodeId> others,
    core::TimePoint now, SyncOutput& output)
{
    const bool isRelayed = report.reporter.isValid();
    const auto reporter = isRelayed ? report.reporter : from;
    const bool isMarked = m_marker.note(m_directory, report.mark, reporter, now);
    m_hasNewMarks = m_hasNewMarks || isMarked;
    if (isRelayed)
        return isMarked;
    for (const auto& it : others)
        output.send(it, FailureReport { report.mark, reporter });
    return isMarked;
}

void FailureExchange::publish(std::span<const core::NodeId> followers, core::TimePoint now, SyncOutput& output)
{
    if (!isDue(now))
        return;
    m_hasNewMarks = false;
    m_nextRepeat = now + repeatInterval;
    m_marker.expire(now);
    const FailureMarks marks { m_marker.marks(now) };
    if (marks.marks.empty())
        return;
    for (const auto& it : followers)
        output.send(it, marks);
}

} // namespace ibisgw::sync
