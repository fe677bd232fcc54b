#include "ibisgw/sync/DepartureKeeper.h"

#include <vector>

namespace ibisgw::sync {

namespace {

// Each try may wait for a slow disk.
constexpr core::Duration retryInterval = std::chrono::milliseconds(500);

} // namespace

DepartureKeeper::DepartureKeeper(DepartureStore& store)
    : m_store(store)
{
}

void DepartureKeeper::add(const upstream::InstanceReport& report)
{
    m_waiting[report.id] = report;
}

bool DepartureKeeper::flush(core::TimePoint now)
{
    if (m_waiting.empty())
        return true;
    if (m_isFailing && now < m_nextTry)
        return false;
    std::vector<upstream::InstanceReport> reports;
    for (const auto& [id, report] : m_waiting)
        reports.push_back(report);
    m_isFailing = !m_store.keep(reports);
    if (m_isFailing)
        m_nextTry = now + retryInterval;
    else
        m_waiting.clear();
    return !m_isFailing;
}

void DepartureKeeper::noteDirectorySaved()
{
    m_waiting.clear();
    m_isFailing = false;
}

} // namespace ibisgw::sync
