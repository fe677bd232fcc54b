#include "ibisgw/upstream/UnresponsiveMarker.h"

namespace ibisgw::upstream {

namespace {

// Minimum time between two marks of one upstream.
constexpr core::Duration minMarkInterval = std::chrono::seconds(5);

// At most one in this many ready upstreams of a service may be marked, but one always may.
constexpr std::size_t markedShareDivisor = 3;

} // namespace

bool UnresponsiveMarker::note(
    InstanceDirectory& directory, InstanceId id, core::Incarnation incarnation, core::TimePoint now)
{
    const auto* record = directory.find(id);
    if (!record || record->isOverdue || record->report.state != InstanceState::Ready
        || record->report.incarnation != incarnation)
        return false;
    std::erase_if(m_markedAt, [now](const auto& it) { return now - it.second >= minMarkInterval; });
    if (m_markedAt.contains(id) || !canMarkAnother(directory, record->report))
        return false;
    m_markedAt[id] = now;
    directory.setOverdue(id, incarnation, record->report.sequence, true, now);
    return true;
}

bool UnresponsiveMarker::canMarkAnother(const InstanceDirectory& directory, const InstanceReport& report)
{
    std::size_t ready = 0;
    std::size_t overdue = 0;
    for (const auto& [id, record] : directory.records()) {
        if (record.report.service != report.service || record.report.state != InstanceState::Ready)
            continue;
        ++ready;
        overdue += record.isOverdue ? 1 : 0;
    }
    return overdue == 0 || (overdue + 1) * markedShareDivisor <= ready;
}

} // namespace ibisgw::upstream
