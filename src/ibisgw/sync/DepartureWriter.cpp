#include "ibisgw/sync/DepartureWriter.h"

#include <vector>

namespace ibisgw::sync {

namespace {

// Each attempt may block on a slow disk, so a failed write is not repeated in every iteration of the event loop.
constexpr core::Duration retryInterval = std::chrono::milliseconds(500);

} // namespace

DepartureWriter::DepartureWriter(DepartureStore& store)
    : m_store(store)
{
}

void DepartureWriter::add(const upstream::InstanceReport& report)
{
    m_pending[report.id] = report;
}

bool DepartureWriter::flush(core::TimePoint now)
{
    if (m_pending.empty())
        return true;
    if (m_isFailing && now < m_nextRetry)
        return false;
    std::vector<upstream::InstanceReport> reports;
    for (const auto& [id, report] : m_pending)
        reports.push_back(report);
    m_isFailing = !m_store.keep(reports);
    if (m_isFailing)
        m_nextRetry = now + retryInterval;
    else
        m_pending.clear();
    return !m_isFailing;
}

void DepartureWriter::noteDirectorySaved()
{
    m_pending.clear();
    m_isFailing = false;
}

} // namespace ibisgw::sync
