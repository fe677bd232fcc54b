#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>
#include <vector>

namespace support {

struct ReplayedKind {
    bool isIdempotent { false };
    double requestsPerSecond { 0 };
    ibisgw::core::Duration work;
    ibisgw::core::Duration deadline;
};

// Load of one deployment. 3 % of the requests take seven times the work of their kind. One upstream takes four times
// the work for all requests; another one answers nothing from `hangFrom` on for `hangTime`.
struct HedgeReplayOptions {
    std::uint64_t seed { 1 };
    double maxShare { 0 };
    std::vector<ReplayedKind> kinds;
    unsigned balancers { 85 };
    unsigned upstreams { 120 };
    ibisgw::core::Duration duration { std::chrono::seconds(90) };
    ibisgw::core::Duration hangFrom { std::chrono::seconds(60) };
    ibisgw::core::Duration hangTime { std::chrono::seconds(10) };
};

// Kinds of the table in docs/zone-failures-and-overload.md: the first three and the last three.
std::vector<ReplayedKind> stopCardKinds();
std::vector<ReplayedKind> balanceFeedKinds();

// Results of the requests that started after the first `warmUp` of a replay, which the estimates of the latencies need.
struct HedgeReplayReport {
    static constexpr ibisgw::core::Duration warmUp = std::chrono::seconds(40);

    std::uint64_t requests { 0 };
    std::uint64_t idempotentRequests { 0 };
    std::uint64_t extraAttempts { 0 };
    std::uint64_t wonByExtraAttempt { 0 };
    std::uint64_t refusedByLimit { 0 };
    // Requests without an answer within their deadline after 2 retries.
    std::uint64_t unanswered { 0 };
    std::uint64_t unansweredIdempotent { 0 };
    // Violations, which must be zero: extra attempts of kinds that are not idempotent, second extra attempts.
    std::uint64_t wrongAttempts { 0 };
    // Time that the upstreams worked, and the part of it that extra attempts took.
    ibisgw::core::Duration work { 0 };
    ibisgw::core::Duration extraWork { 0 };
    // Latencies in ascending order; an unanswered request counts with the time until its caller gave up.
    std::vector<ibisgw::core::Duration> idempotentLatencies;
    std::vector<ibisgw::core::Duration> otherLatencies;
};

// Replays callers with 2 retries, balancers that hedge by request::HedgePolicy, and upstreams with 2 slots and a queue
// of 8, in virtual time. Each balancer knows only its own requests in flight, and selects the upstream with the fewest.
// Equal options give equal reports.
HedgeReplayReport replayHedging(const HedgeReplayOptions&);

// `share` from 0 to 1; zero without latencies.
ibisgw::core::Duration latencyQuantile(const std::vector<ibisgw::core::Duration>& ascending, double share);

} // namespace support
