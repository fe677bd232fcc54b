#include "ibisgw/runtime/DirectoryChangeLogger.h"

#include "ibisgw/runtime/LogFields.h"

#include <optional>

namespace ibisgw::runtime {

using upstream::InstanceState;

void DirectoryChangeLogger::logChanges(const upstream::InstanceDirectory& directory, EventLog& log, core::TimePoint now)
{
    if (directory.newestChange() == m_loggedChange)
        return;
    for (const auto& [id, record] : directory.records()) {
        if (record.lastChange > m_loggedChange)
            logChange(record, log, now);
    }
    std::erase_if(m_loggedStates, [&directory](const auto& it) { return !directory.find(it.first); });
    m_loggedChange = directory.newestChange();
}

void DirectoryChangeLogger::logChange(const upstream::InstanceRecord& record, EventLog& log, core::TimePoint now)
{
    const auto& report = record.report;
    const auto found = m_loggedStates.find(report.id);
    const bool isNew = found == m_loggedStates.end() || found->second.incarnation != report.incarnation;
    std::optional<Event> event;
    if (report.state == InstanceState::Gone)
        event = Event::UpstreamGone;
    else if (isNew)
        event = Event::UpstreamLearned;
    else if (report.state != found->second.state)
        event = Event::UpstreamDraining;
    else if (record.isOverdue != found->second.isOverdue)
        event = record.isOverdue ? Event::UpstreamOverdue : Event::UpstreamReporting;
    m_loggedStates[report.id] = { report.incarnation, report.state, record.isOverdue };
    if (!event)
        return;
    log.record(*event, now, [&] {
        return nlohmann::json { { "upstream", textOf(report.id) }, { "service", report.service },
            { "zone", report.zone }, { "address", report.address.toString() }, { "state", nameOf(report.state) },
            { "incarnation", report.incarnation }, { "sequence", report.sequence },
            { "report_age_s", core::toSeconds(now - record.renewedAt) } };
    });
}

} // namespace ibisgw::runtime
