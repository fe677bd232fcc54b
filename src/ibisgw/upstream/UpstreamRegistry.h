#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/upstream/Announcement.h"

#include <map>
#include <set>
#include <vector>

namespace ibisgw::upstream {

// Registry of upstreams that send announcements. Each announcement renews the upstream's lease.
class UpstreamRegistry {
public:
    // Ten intervals between announcements; short enough that a failed upstream is removed before its callers give up.
    static constexpr core::Duration leaseDuration = std::chrono::seconds(10);
    // Without announcements from any upstream of a zone for this time, this balancer counts as partitioned from the
    // zone. Upstreams send an announcement each second, so random loss of three in a row from all of them is unlikely.
    static constexpr core::Duration zoneSilenceTimeout = std::chrono::seconds(3);
    // A new upstream reaches its full share of new work after this time.
    static constexpr core::Duration warmUpDuration = std::chrono::seconds(30);
    // Bounds of the delay before an upstream that went away unannounced gets new work again (flap damping).
    static constexpr core::Duration minReadmissionDelay = std::chrono::seconds(2);
    static constexpr core::Duration maxReadmissionDelay = std::chrono::seconds(60);
    // The flap count of an upstream is reset after this time without another flap.
    static constexpr core::Duration flapRetention = std::chrono::minutes(10);

    struct Record {
        Announcement announcement;
        core::TimePoint renewedAt;
        // When the first announcement of this incarnation arrived.
        core::TimePoint incarnationSince;
        // The upstream gets no new work before this time.
        core::TimePoint readmittedAt;
        // When the first announcement of the current drain arrived; valid only in the state Draining.
        core::TimePoint drainingSince;
        // Start of the warm-up; lies at least warmUpDuration back for a warm upstream.
        core::TimePoint warmUpSince;
    };

    // Returns false and ignores the announcement if it isn't newer than the stored one.
    bool apply(const Announcement&, core::TimePoint now);
    // Sets the upstreams that operators drain. These get no new work, whatever state they announce.
    void setDrained(std::set<core::UpstreamId>);
    // Sets the zones that operators evacuate. Their upstreams get no new work, whatever state they announce.
    void setEvacuatedZones(std::set<core::ZoneName>);
    bool hasEvacuatedZones() const { return !m_evacuatedZones.empty(); }
    // Removes upstreams whose lease has expired, except those of a zone that this balancer is partitioned from.
    void removeExpired(core::TimePoint now);
    const Record* find(core::UpstreamId) const;
    // Whether the upstream is known and hasn't stopped.
    bool isRunning(core::UpstreamId) const;
    // The same for one incarnation of the upstream.
    bool isRunning(core::UpstreamId, core::Incarnation) const;
    // Returns the upstreams of the service that may get new work.
    std::vector<core::UpstreamId> eligible(const core::ServiceName&) const;
    // Whether operators evacuate the zone of the upstream.
    bool isEvacuated(core::UpstreamId) const;
    // Whether the service has no upstream that may get new work, but would have one without the evacuations.
    bool isServiceEvacuated(const core::ServiceName&) const;
    // Returns the upstream's share of new work in [0, 1]: 0 if it gets none, below 1 while it warms up.
    double newWorkShare(core::UpstreamId, core::TimePoint now) const;
    // How long the upstream has been draining; zero when it is not.
    core::Duration drainTime(core::UpstreamId, core::TimePoint now) const;
    // Whether announcements from the zone have stopped while those from other zones still arrive.
    bool isZoneCutOff(const core::ZoneName&, core::TimePoint now) const;
    const std::map<core::UpstreamId, Record>& records() const { return m_records; }
    // Number of changes of the set of upstreams, of their slots or of their state, including orders of operators.
    std::uint64_t changeCount() const { return m_changeCount; }

private:
    struct Flaps {
        unsigned count { 0 };
        core::TimePoint lastAt;
    };

    core::TimePoint noteFlap(core::UpstreamId, core::TimePoint now);
    bool isZoneSilent(const core::ZoneName&, core::TimePoint now) const;
    bool hasRecentAnnouncements(core::TimePoint now) const;
    bool takesNewWork(const Record&) const;
    // Like takesNewWork(), but without regard to evacuations.
    bool wouldTakeNewWork(const Record&) const;
    void initializeAdmission(Record&, const Record* held, core::TimePoint now);

    std::map<core::UpstreamId, Record> m_records;
    std::map<core::UpstreamId, Flaps> m_flaps;
    std::set<core::UpstreamId> m_drained;
    std::set<core::ZoneName> m_evacuatedZones;
    std::map<core::ZoneName, core::TimePoint> m_lastAnnouncementAt;
    // Upstreams whose announcements arrive soon after the first one are warm already: they ran before this balancer.
    core::TimePoint m_firstAnnouncementAt;
    std::uint64_t m_changeCount { 0 };
};

} // namespace ibisgw::upstream
