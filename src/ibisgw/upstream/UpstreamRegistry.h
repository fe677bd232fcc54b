#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/upstream/Announcement.h"

#include <map>
#include <vector>

namespace ibisgw::upstream {

// Upstreams that have announced themselves, each with a lease that its announcements renew.
class UpstreamRegistry {
public:
    // Ten missed announcements; short enough that a dead upstream leaves before callers give up.
    static constexpr core::Duration leaseDuration = std::chrono::seconds(10);

    struct Record {
        Announcement announcement;
        core::TimePoint renewedAt;
    };

    // False for an announcement that is older than the one already held.
    bool apply(const Announcement&, core::TimePoint now);
    void removeExpired(core::TimePoint now);
    const Record* find(core::UpstreamId) const;
    // Upstreams of the service that may get new work.
    std::vector<core::UpstreamId> eligible(const core::ServiceName&) const;
    const std::map<core::UpstreamId, Record>& records() const { return m_records; }

private:
    std::map<core::UpstreamId, Record> m_records;
};

} // namespace ibisgw::upstream
