#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/GossipMessage.h"

#include <map>
#include <vector>

namespace ibisgw::membership {

// Newest known summary of each zone.
class ZoneDirectory {
public:
    struct Entry {
        ZoneSummary summary;
        core::TimePoint changedAt;
    };

    // Stores a summary that has a higher version than the one held.
    void merge(const ZoneSummary&, core::TimePoint now);
    // Replaces the summary of a zone by one that this daemon made as a delegate; returns it with its new version.
    const ZoneSummary& replace(ZoneSummary, core::TimePoint now);
    // The summary of the next zone in turn, so that each message carries only one. Null when there is none.
    const ZoneSummary* takeNext();
    std::vector<ZoneSummary> all() const;
    const std::map<core::ZoneName, Entry>& entries() const { return m_entries; }

private:
    std::map<core::ZoneName, Entry> m_entries;
    core::ZoneName m_lastTaken;
};

} // namespace ibisgw::membership
