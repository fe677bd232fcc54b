#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/upstream/Announcement.h"

#include <map>
#include <set>
#include <vector>

namespace ibisgw::upstream {

// Upstreams that have announced themselves, each with a lease that its announcements renew.
class UpstreamRegistry {
public:
    // Ten missed announcements; short enough that a dead upstream leaves before callers give up.
    static constexpr core::Duration leaseDuration = std::chrono::seconds(10);
    // When all upstreams of a zone have been silent for this long, this balancer is cut off from the
    // zone: announcements come each second, and three lost ones in a row from each are no accident.
    static constexpr core::Duration silenceLimit = std::chrono::seconds(3);
    // A cold upstream reaches its full share of new work after this time.
    static constexpr core::Duration warmUpDuration = std::chrono::seconds(30);
    // First and longest delay before an upstream that went away unannounced gets new work again.
    static constexpr core::Duration firstReadmissionDelay = std::chrono::seconds(2);
    static constexpr core::Duration longestReadmissionDelay = std::chrono::seconds(60);
    // Flaps are forgotten after this time without another one.
    static constexpr core::Duration flapMemory = std::chrono::minutes(10);

    struct Record {
        Announcement announcement;
        core::TimePoint renewedAt;
        // When this incarnation was first heard of.
        core::TimePoint incarnationSince;
        // No new work before this time.
        core::TimePoint readmittedAt;
        // When the present drain was first heard of; meaningless in other states.
        core::TimePoint drainingSince;
        // Start of the slow start; long ago for an upstream that is warm.
        core::TimePoint warmUpSince;
    };

    // False for an announcement that is older than the one already held.
    bool apply(const Announcement&, core::TimePoint now);
    // Upstreams that operators drain: they get no new work whatever they announce.
    void setDrained(std::set<core::UpstreamId>);
    // Keeps the upstreams of a zone of which nothing is heard any more, see silenceLimit.
    void removeExpired(core::TimePoint now);
    const Record* find(core::UpstreamId) const;
    // Upstreams of the service that may get new work.
    std::vector<core::UpstreamId> eligible(const core::ServiceName&) const;
    // Share of new work in [0, 1]: 0 for an upstream that gets none, below 1 while it warms up.
    double newWorkShare(core::UpstreamId, core::TimePoint now) const;
    // How long the upstream has been draining; zero when it is not.
    core::Duration drainTime(core::UpstreamId, core::TimePoint now) const;
    // True while nothing is heard from the zone although something is heard from others.
    bool isZoneCutOff(const core::ZoneName&, core::TimePoint now) const;
    const std::map<core::UpstreamId, Record>& records() const { return m_records; }
    // Grows with each change of the set of upstreams, of their slots or of their state.
    std::uint64_t changeCount() const { return m_changeCount; }

private:
    struct Flaps {
        unsigned count { 0 };
        core::TimePoint lastAt;
    };

    core::TimePoint noteFlap(core::UpstreamId, core::TimePoint now);
    bool isZoneSilent(const core::ZoneName&, core::TimePoint now) const;
    bool hasContact(core::TimePoint now) const;
    bool takesNewWork(const Record&) const;
    void admit(Record&, const Record* held, core::TimePoint now);

    std::map<core::UpstreamId, Record> m_records;
    std::map<core::UpstreamId, Flaps> m_flaps;
    std::set<core::UpstreamId> m_drained;
    std::map<core::ZoneName, core::TimePoint> m_lastHeard;
    // Upstreams that are there from the start are warm already; only this balancer is new.
    core::TimePoint m_firstHeard;
    std::uint64_t m_changeCount { 0 };
};

} // namespace ibisgw::upstream
