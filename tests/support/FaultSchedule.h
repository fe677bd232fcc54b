#pragma once

#include "support/FaultCallers.h"

namespace support {

struct FaultScheduleOptions {
    std::uint64_t seed { 1 };
    unsigned balancers { 5 };
    unsigned upstreamsPerService { 4 };
    unsigned flowsPerSecond { 15 };
    // New flows and faults stop after this time. Flows that are still open then have `settleTime` to end.
    ibisgw::core::Duration duration { std::chrono::seconds(12) };
    ibisgw::core::Duration settleTime { std::chrono::seconds(4) };
    // Number of faults, at random times within `duration`.
    unsigned faults { 12 };
    // Number of orders that evacuate a zone or restore it, at random times within `duration`. With 0 there is one zone.
    unsigned zoneOrders { 0 };
    // Faults start after this part of `duration`.
    ibisgw::core::Duration faultsFrom { 0 };
    // Above 0, all requests are idempotent and late ones get an extra attempt, up to this share.
    double hedgingShare { 0 };
    ibisgw::balancer::SafetyRules rules;
};

// Totals over one or more schedules, counted by the upstreams and callers. The first four, lateOpens and
// wrongExtraAttempts count violations of the guarantees and must be zero.
struct FaultTotals {
    std::uint64_t duplicateExecutions { 0 };
    std::uint64_t falseNotRun { 0 };
    std::uint64_t misroutedPackets { 0 };
    std::uint64_t crossedAnswers { 0 };
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t outcomeUnknown { 0 };
    std::uint64_t executions { 0 };
    // Upstreams that opened a flow although the evacuation of their zone had been in force for longer than the bound.
    std::uint64_t lateOpens { 0 };
    // Extra attempts of hedged requests, and those that violate their rules, which must be zero: second ones of a
    // request, and those at the upstream of its flow.
    std::uint64_t extraAttempts { 0 };
    std::uint64_t wrongExtraAttempts { 0 };

    bool isClean() const;
    void add(const FaultTotals&);
};

// Runs one seeded schedule of random faults in virtual time, with two services: kills and restarts of balancers and
// upstreams, drains, load shedding, cuts, 1 % loss, 2 % duplication, and delays of 1 to 40 ms that reorder packets.
// Equal options give equal totals.
FaultTotals runFaultSchedule(const FaultScheduleOptions&);

} // namespace support
