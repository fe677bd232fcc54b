#pragma once

#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// The limit on an upstream has begun or ended.
struct ColdStartChange {
    upstream::InstanceId instance;
    core::ServiceName service;
    bool isLimited { false };
};

// Decides whether an upstream may get a new flow during its cold start. In a service with a limit a cold upstream gets
// one flow for each permit that a controller has granted to this balancer. A permit is valid for one second from the
// moment when this balancer claimed it, so a late grant yields fewer permits or none. An upstream that was silent
// counts as cold when it responds again, since it may have been restarted, until a later report says otherwise.
class ColdStartLimit {
public:
    explicit ColdStartLimit(const upstream::InstanceDirectory&);

    void setServices(const std::vector<ServiceConfiguration>&);
    bool isLimited(const core::ServiceName& service) const { return m_services.contains(service); }

    // A controller offers permits. Returns whether to claim them, with the given random number.
    bool claim(const upstream::ReportId&, std::uint64_t number, core::TimePoint now);
    // Ignores a grant that doesn't answer an outstanding claim.
    void grant(const upstream::ReportId&, std::uint64_t claim, std::uint32_t permits, core::TimePoint now);
    // Drops all claims and permits. To be called after a pause of the process, in which its clock may have stood still.
    void discardPermits();

    // The upstream is silent, unresponsive or refuses connections now. Ignored for services without a limit, and once a
    // third of the upstreams of the service are assumed to be cold: the fault is then probably another one.
    void noteOutage(const upstream::InstanceRecord&, core::TimePoint now);
    // Whether the upstream may get a new flow now: it is warm, or there is a permit, or its service has no limit.
    bool admits(const upstream::InstanceRecord&, core::TimePoint now) const;
    // A flow was placed on an upstream that was admitted.
    void notePlaced(const upstream::InstanceRecord&, core::TimePoint now);

    // Call about twice a second.
    void update(core::TimePoint now);
    std::size_t limitedUpstreams() const { return m_limited.size(); }
    std::uint64_t grantedPermits() const { return m_grantedPermits; }
    std::uint64_t usedPermits() const { return m_usedPermits; }
    // Removes and returns the changes since the last call, for the log.
    std::vector<ColdStartChange> takeChanges();

private:
    struct Service {
        core::Duration coldStart { 0 };
        std::size_t readyUpstreams { 0 };
        std::size_t assumedCold { 0 };
    };
    struct Claim {
        std::uint64_t number { 0 };
        core::TimePoint claimedAt;
    };
    // Permits of one claim, evenly spread over its validity.
    struct Grant {
        bool isUsableFor(const upstream::InstanceRecord&, core::TimePoint now) const;

        core::Incarnation incarnation { 0 };
        // Time between two permits.
        core::Duration interval { 0 };
        core::TimePoint nextPermitAt;
        core::TimePoint validUntil;
    };
    struct Outage {
        core::ServiceName service;
        core::Incarnation incarnation { 0 };
        core::TimePoint lastSeenAt;
    };

    bool isCold(const upstream::InstanceRecord&, core::TimePoint now) const;
    bool isAssumedCold(const upstream::InstanceRecord&, core::TimePoint now) const;
    // Whether a report that was sent after the outage describes the upstream.
    static bool isReportedSince(const Outage&, const upstream::InstanceRecord&);
    void expire(core::TimePoint now);
    void countUpstreams(core::TimePoint now);
    void setLimited(const upstream::InstanceRecord&, bool isLimited);

    const upstream::InstanceDirectory& m_directory;
    // Services with a limit.
    std::unordered_map<core::ServiceName, Service> m_services;
    std::map<upstream::ReportId, Claim> m_claims;
    std::unordered_map<upstream::InstanceId, std::vector<Grant>> m_grants;
    std::unordered_map<upstream::InstanceId, Outage> m_outages;
    // As of the last update.
    std::map<upstream::InstanceId, core::ServiceName> m_limited;
    std::vector<ColdStartChange> m_changes;
    std::uint64_t m_grantedPermits { 0 };
    std::uint64_t m_usedPermits { 0 };
};

} // namespace ibisgw::direct
