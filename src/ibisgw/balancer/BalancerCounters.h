#pragma once

#include <cstdint>

namespace ibisgw::balancer {

// Totals since the start of the process.
struct BalancerCounters {
    std::uint64_t flowsPlaced { 0 };
    // Opens of new flows at their home, without copies.
    std::uint64_t opensReceived { 0 };
    // Opens sent to upstreams, with retries and without copies.
    std::uint64_t opensForwarded { 0 };
    std::uint64_t opensRetried { 0 };
    // Refused because the queue was full or the deadline could not be met.
    std::uint64_t opensShed { 0 };
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
    // Records that name an upstream of another service.
    std::uint64_t droppedInvalidRecord { 0 };
};

} // namespace ibisgw::balancer
