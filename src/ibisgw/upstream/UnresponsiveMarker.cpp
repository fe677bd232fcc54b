#include "ibisgw/upstream/UnresponsiveMarker.h"

#include "ibisgw/upstream/MarkLimit.h"

namespace ibisgw::upstream {

namespace {

// Minimum time between two marks of one upstream.
constexpr core::Duration minMarkInterval = std::chrono::seconds(5);

} // namespace

bool UnresponsiveMarker::note(
    InstanceDirectory& directory, InstanceId id, core::Incarnation incarnation, core::TimePoint now)
{
    const auto* record = directory.find(id);
    if (!record || record->isOverdue || record->report.state != InstanceState::Ready
        || record->report.incarnation != incarnation)
        return false;
    std::erase_if(m_markedAt, [now](const auto& it) { return now - it.second >= minMarkInterval; });
    const auto isOverdue = [](const InstanceRecord& it) { return it.isOverdue; };
    if (m_markedAt.contains(id) || !mayMarkAnother(directory, record->report.service, isOverdue))
        return false;
    m_markedAt[id] = now;
    directory.setOverdue(id, incarnation, record->report.sequence, true, now);
    return true;
}

} // namespace ibisgw::upstream
