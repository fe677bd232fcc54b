#pragma once

#include "ibisgw/sync/SyncMessage.h"

#include <map>
#include <span>

namespace ibisgw::sync {

// Issues the permits with which balancers open flows to cold upstreams of services with a limit. Each report that a
// cold upstream sends to this controller yields a fixed number of permits once, divided among a few balancers.
// Permits that are lost, late or unused expire: nothing is stored or issued again, so that the sum over all controllers
// is bounded by the number of reports.
class ColdStartPermits {
public:
    // Balancers that a report is offered to. More would send more messages for the same permits.
    static constexpr std::size_t maxBalancers = 4;
    // A claim that arrives later after its offer is not answered, so that permits of several reports don't accumulate.
    static constexpr core::Duration claimTimeout = std::chrono::milliseconds(300);

    // Offers the permits of a report that was received from the upstream itself. `near` are preferred to `others`. A
    // report that is not newer than the last one of the upstream yields nothing.
    void offer(const upstream::InstanceReport&, double warmUpPerSecond, std::span<const core::NodeId> near,
        std::span<const core::NodeId> others, core::TimePoint now, SyncOutput&);
    // Answers a claim once, if its offer is recent.
    void handle(core::NodeId from, const ColdStartClaim&, core::TimePoint now, SyncOutput&);
    // Removes offers that are no longer needed to recognize a report.
    void expire(core::TimePoint now);

    std::uint64_t grantedPermits() const { return m_grantedPermits; }

private:
    // The last report of an upstream, and the permits that each balancer can still claim for it.
    struct Offer {
        upstream::ReportId report;
        core::TimePoint offeredAt;
        std::map<core::NodeId, std::uint32_t> shares;
    };

    std::map<upstream::InstanceId, Offer> m_offers;
    std::uint64_t m_grantedPermits { 0 };
};

} // namespace ibisgw::sync
