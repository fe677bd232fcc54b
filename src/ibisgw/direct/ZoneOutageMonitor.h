#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ibisgw::direct {

// What one balancer has observed of the upstreams of one service in one zone.
struct ZoneObservation {
    // Last response of any upstream of the zone.
    core::TimePoint lastProgressAt {};
    // Upstreams that got an opening packet after that response and should have answered it by now.
    std::size_t silentUpstreams { 0 };
    // Number of the newest change of a report of these upstreams in the directory.
    std::uint64_t newestReportChange { 0 };
};

using ZoneObservations = std::map<core::ZoneName, ZoneObservation>;

// Change of the judgement of one zone of a service.
struct ZoneOutageChange {
    core::ServiceName service;
    core::ZoneName zone;
    bool isSuspected { false };
};

// Detects that the upstreams of a service in one zone have failed together, for example by a power failure, so that new
// flows go to other zones before each upstream has been judged alone. A zone is suspected when several of its upstreams
// have been silent since the last response of any of them. The suspicion ends with a response or a new
// report of any of them. Until then one opening packet at a time tries the zone. The zones of a service are never all
// suspected: then the fault is probably this balancer's own.
class ZoneOutageMonitor {
public:
    // Number of silent upstreams from which on a zone is suspected. Fewer may have failed independently of each other.
    static constexpr std::size_t minSilentUpstreams = 3;

    // Must be called before isSuspected(), with the observations of all zones of the service that may get new flows. An
    // evacuated zone isn't one of them: it can't serve in place of a suspected one.
    void update(const core::ServiceName&, const ZoneObservations&, core::TimePoint now);
    bool isSuspected(const core::ServiceName&, const core::ZoneName&) const;
    // Whether the next flow may go to a suspected zone to find out whether it has recovered.
    bool isTrialDue(const core::ServiceName&, const core::ZoneName&, core::TimePoint now) const;
    // A flow was placed in the zone.
    void notePlaced(const core::ServiceName&, const core::ZoneName&, core::TimePoint now);

    std::size_t suspectedZones() const { return m_outages.size(); }
    // Removes and returns the changes since the last call, for the log.
    std::vector<ZoneOutageChange> takeChanges();

private:
    using Key = std::pair<core::ServiceName, core::ZoneName>;

    struct Outage {
        core::TimePoint suspectedAt;
        std::uint64_t reportChange { 0 };
        core::TimePoint nextTrial;
    };

    static bool hasRecovered(const Outage&, const ZoneObservation&);
    void begin(const Key&, const ZoneObservation&, core::TimePoint now);
    void end(const Key&);
    void endAll(const core::ServiceName&, const ZoneObservations&);

    std::map<Key, Outage> m_outages;
    std::vector<ZoneOutageChange> m_changes;
};

} // namespace ibisgw::direct
