#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/direct/EgressPacer.h"
#include "ibisgw/direct/RouteConfiguration.h"

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// Class of the data packets of a route.
constexpr EgressClass dataClassOf(RouteKind kind)
{
    return kind == RouteKind::Upload ? EgressClass::Bulk : EgressClass::Interactive;
}

// Decides whether the balancer's link can carry what a new flow brings, early enough that callers aren't answered too
// late. A flow is admitted while the expected wait of its packets is at most a quarter of the latency objective of its
// route. The expected wait follows from the queued bytes and from those that recently admitted flows have yet to send.
// A link without a limit, or without packets waiting for it, admits every flow.
class LinkAdmission {
public:
    using QueuedBytes = std::array<std::size_t, egressClassCount>;

    // 0 for a link without a limit.
    explicit LinkAdmission(std::uint64_t linkBytesPerSecond);

    void setRoutes(const std::vector<Route>&);
    // Bytes that wait for the link, by class.
    void setQueued(const QueuedBytes&, core::TimePoint now);
    // Decides about a flow that a caller wants to open.
    bool admits(const Route&, core::TimePoint now);
    // An admitted flow was opened: the bytes that flows of its route usually bring at first count until they arrive.
    void noteOpened(const core::FlowKey&, const Route&, core::TimePoint now);
    // A packet with this many bytes of data was forwarded on a flow.
    void noteForwarded(const core::FlowKey&, std::size_t payloadBytes);
    // Forgets what flows opened a while ago have not sent. Call at least ten times a second.
    void expire(core::TimePoint now);

    core::Duration expectedWait(EgressClass) const;

private:
    // Demand of one route. The counts of bytes lose half of their value each second.
    struct RouteState {
        core::Duration limit { 0 };
        EgressClass egressClass { EgressClass::Interactive };
        // Share of the limit that applies to the route's priority.
        double priorityFactor { 1 };
        // Callers have asked for the route; see m_askedRoutes.
        bool isAsked { false };
        double offeredBytes { 0 };
        double admittedBytes { 0 };
        core::TimePoint countedAt {};
        // Mean of the bytes that a flow brings soon after its opening packet; 0 before the first one.
        double bytesPerFlow { 0 };
    };
    // Bytes that a flow is expected to bring soon.
    struct Reservation {
        core::Endpoint route;
        EgressClass egressClass { EgressClass::Interactive };
        double remainingBytes { 0 };
        double sentBytes { 0 };
    };

    bool isLimited() const { return m_bytesPerSecond > 0; }
    bool isWithinLimit(const RouteState&, core::TimePoint now);
    // Lowest limit of the routes that callers ask for, so that one with a high limit doesn't take the whole link.
    core::Duration lowestLimit() const;
    bool isBelowGuaranteedShare(const RouteState&) const;
    static void decay(RouteState&, core::TimePoint now);
    void release(const Reservation&);

    // Rate of the packets of callers.
    double m_bytesPerSecond;
    QueuedBytes m_queued {};
    core::TimePoint m_lastQueuedAt {};
    std::unordered_map<core::Endpoint, RouteState> m_routes;
    // Those that callers have asked for. Most routes of a large configuration are idle, and each decision compares
    // these.
    std::vector<RouteState*> m_askedRoutes;
    std::unordered_map<core::FlowKey, Reservation> m_reservations;
    // When reservations end, in order.
    std::deque<std::pair<core::TimePoint, core::FlowKey>> m_expiries;
    std::array<double, egressClassCount> m_reservedBytes {};
};

} // namespace ibisgw::direct
