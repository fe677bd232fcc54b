#pragma once

#include <cstdint>

namespace ibisgw::balancer {

// Packet and flow counts of one balancer since the start of its process.
struct BalancerCounters {
    std::uint64_t flowsPlaced { 0 };
    // Opens of new flows received at the home of the flow; repeated copies are not counted.
    std::uint64_t opensReceived { 0 };
    // Opens sent to upstreams, including retries but not repeated copies.
    std::uint64_t opensForwarded { 0 };
    std::uint64_t opensRetried { 0 };
    // Opens refused because the admission queue was full or the expected wait was too long for their deadline.
    std::uint64_t opensShed { 0 };
    // Extra attempts of hedged requests that were started, those whose answer went to the caller, and late requests
    // that the limit of the service left without one.
    std::uint64_t hedgesAttempted { 0 };
    std::uint64_t hedgesWon { 0 };
    std::uint64_t hedgesRefusedByLimit { 0 };
    std::uint64_t packetsToUpstreams { 0 };
    std::uint64_t packetsToCallers { 0 };
    std::uint64_t packetsRelayed { 0 };
    std::uint64_t resolvedByToken { 0 };
    std::uint64_t resolvedByRecord { 0 };
    std::uint64_t resolvedByDefault { 0 };
    std::uint64_t refusedNotRun { 0 };
    std::uint64_t refusedOutcomeUnknown { 0 };
    std::uint64_t resets { 0 };
    std::uint64_t droppedUnknownService { 0 };
    std::uint64_t droppedInvalidToken { 0 };
    std::uint64_t droppedCrossedAnswers { 0 };
    std::uint64_t droppedMisdirected { 0 };
    std::uint64_t droppedRelays { 0 };
    // Flow records and handed-over flows that name an upstream of another service.
    std::uint64_t droppedInvalidRecord { 0 };
};

} // namespace ibisgw::balancer
