#pragma once

#include "ibisgw/direct/LinkCongestion.h"

namespace ibisgw::runtime {

class EventLog;

// Logs the beginning and the end of each congestion of the link.
class LinkCongestionLogger {
public:
    // Must be called at each tick.
    void log(const direct::LinkCongestion&, EventLog&, core::TimePoint now);

private:
    bool m_wasCongested { false };
    core::TimePoint m_congestedSince {};
    std::uint64_t m_discardedBefore { 0 };
};

} // namespace ibisgw::runtime
