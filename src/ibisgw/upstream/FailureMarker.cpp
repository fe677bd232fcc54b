#include "ibisgw/upstream/FailureMarker.h"

#include "ibisgw/upstream/MarkLimit.h"

#include <algorithm>

namespace ibisgw::upstream {

namespace {

// A single balancer may have lost the answers itself.
constexpr std::size_t minReporters = 2;
constexpr core::Duration reportLifetime = std::chrono::seconds(3);
constexpr core::Duration minMarkDuration = std::chrono::seconds(3);
constexpr core::Duration maxMarkDuration = std::chrono::seconds(12);
// A mark that follows the last one within this time lasts twice as long. Longer than the time over which balancers
// spread their first flows to an upstream whose mark has ended.
constexpr core::Duration repetitionPeriod = std::chrono::seconds(10);

} // namespace

bool FailureMarker::note(
    const InstanceDirectory& directory, const FailureMark& mark, core::NodeId reporter, core::TimePoint now)
{
    expire(now);
    const auto* record = directory.find(mark.id);
    if (!record || record->report.state != InstanceState::Ready || record->report.incarnation != mark.incarnation)
        return false;
    auto& reports = m_reports[mark.id];
    if (reports.incarnation != mark.incarnation)
        reports = { mark.incarnation, {}, {}, {} };
    reports.reporters[reporter] = now;
    const bool wasMarked = now < reports.markedUntil;
    const auto isOtherMarked = [&](const InstanceRecord& it) { return isMarked(it, now); };
    if (reports.reporters.size() < minReporters
        || (!wasMarked && !mayMarkAnother(directory, record->report.service, isOtherMarked)))
        return false;
    if (!wasMarked)
        reports.markDuration = std::clamp(2 * reports.markDuration, minMarkDuration, maxMarkDuration);
    reports.markedUntil = now + reports.markDuration;
    return !wasMarked;
}

bool FailureMarker::isMarked(const InstanceRecord& record, core::TimePoint now) const
{
    const auto found = m_reports.find(record.report.id);
    return found != m_reports.end() && now < found->second.markedUntil;
}

std::vector<FailureMark> FailureMarker::marks(core::TimePoint now) const
{
    std::vector<FailureMark> marks;
    for (const auto& [id, reports] : m_reports) {
        if (now < reports.markedUntil)
            marks.push_back({ id, reports.incarnation });
    }
    return marks;
}

void FailureMarker::expire(core::TimePoint now)
{
    for (auto& [id, reports] : m_reports)
        std::erase_if(reports.reporters, [now](const auto& it) { return now - it.second > reportLifetime; });
    std::erase_if(m_reports, [now](const auto& it) {
        return it.second.reporters.empty() && now >= it.second.markedUntil + repetitionPeriod;
    });
}

} // namespace ibisgw::upstream
