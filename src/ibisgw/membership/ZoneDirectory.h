#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/GossipMessage.h"

#include <map>
#include <vector>

namespace ibisgw::membership {

// Newest summary of each zone.
class ZoneDirectory {
public:
    struct Entry {
        ZoneSummary summary;
        core::TimePoint changedAt;
    };

    void merge(const ZoneSummary&, core::TimePoint now);
    // Replaces the summary of a zone with one that a delegate of this zone made; returns it with its version.
    const ZoneSummary& replace(ZoneSummary, core::TimePoint now);
    // One summary after another, so that each message needs to carry only one. Null when there is none.
    const ZoneSummary* takeNext();
    std::vector<ZoneSummary> all() const;
    const std::map<core::ZoneName, Entry>& entries() const { return m_entries; }

private:
    std::map<core::ZoneName, Entry> m_entries;
    core::ZoneName m_last;
};

} // namespace ibisgw::membership
