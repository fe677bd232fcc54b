#pragma once

#include "support/FaultCallers.h"

namespace support {

struct FaultScheduleOptions {
    std::uint64_t seed { 1 };
    unsigned balancers { 5 };
    unsigned upstreamsPerService { 4 };
    unsigned flowsPerSecond { 15 };
    // New flows and faults stop after this time; what is still open then gets `settleTime` to end.
    ibisgw::core::Duration duration { std::chrono::seconds(12) };
    ibisgw::core::Duration settleTime { std::chrono::seconds(4) };
    unsigned faults { 12 };
    ibisgw::balancer::SafetyRules rules;
};

// What the upstreams and callers counted in one or more schedules. The first four must be zero.
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

    bool isClean() const;
    void add(const FaultTotals&);
};

// Runs one seeded schedule in virtual time: two services, kills and restarts of balancers and
// upstreams, drains, shedding, cuts, 1 % loss, 2 % duplication and delays of 1 to 40 ms that reorder packets.
// Equal options give equal totals.
FaultTotals runFaultSchedule(const FaultScheduleOptions&);

} // namespace support
