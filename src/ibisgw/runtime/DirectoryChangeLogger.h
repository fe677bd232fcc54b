#pragma once

#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <map>

namespace ibisgw::runtime {

// Logs changes of the upstream directory: new, draining, overdue and departed upstreams.
class DirectoryChangeLogger {
public:
    // Logs the changes since the last call.
    void logChanges(const upstream::InstanceDirectory&, EventLog&, core::TimePoint now);

private:
    struct LoggedState {
        core::Incarnation incarnation { 0 };
        upstream::InstanceState state { upstream::InstanceState::Ready };
        bool isOverdue { false };
    };

    void logChange(const upstream::InstanceRecord&, EventLog&, core::TimePoint now);

    std::map<upstream::InstanceId, LoggedState> m_loggedStates;
    std::uint64_t m_loggedChange { 0 };
};

} // namespace ibisgw::runtime
