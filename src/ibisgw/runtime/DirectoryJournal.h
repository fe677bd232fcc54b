#pragma once

#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <map>

namespace ibisgw::runtime {

// Writes to the log what a process has learned about upstreams since the last call.
class DirectoryJournal {
public:
    void note(const upstream::InstanceDirectory&, EventLog&, core::TimePoint now);

private:
    struct Known {
        core::Incarnation incarnation { 0 };
        upstream::InstanceState state { upstream::InstanceState::Ready };
        bool isOverdue { false };
    };

    void compare(const upstream::InstanceRecord&, EventLog&, core::TimePoint now);

    std::map<upstream::InstanceId, Known> m_known;
    std::uint64_t m_notedChange { 0 };
};

} // namespace ibisgw::runtime
