#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>

namespace ibisgw::request {

// Adaptive limit of the flows of one service that are in progress at this balancer, by additive increase and
// multiplicative decrease (AIMD; Chiu and Jain, 1989). The congestion signal is the duration of flows as a share of
// their deadline: it grows with the queues of the upstreams and doesn't depend on their load reports, which may be late
// or misleading.
class ConcurrencyLimiter {
public:
    // Enough to use one slot at each of a few upstreams.
    static constexpr double minLimit = 4;
    static constexpr double initialLimit = 64;
    static constexpr double maxLimit = 65'536;

    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    std::uint32_t inProgress() const { return m_inProgress; }
    bool hasRoom() const { return m_inProgress < limit(); }
    void start() { ++m_inProgress; }
    // Ends a flow whose duration says nothing about load, for example because its close was lost.
    void release();
    // Ends a flow that took the given share of its deadline and adapts the limit.
    void complete(double shareOfDeadline, core::TimePoint now);

private:
    double m_limit { initialLimit };
    std::uint32_t m_inProgress { 0 };
    // Exponentially weighted share of recent flows that took more than congestedShareOfDeadline.
    double m_congestedShare { 0 };
    core::TimePoint m_lastDecreaseAt;
};

} // namespace ibisgw::request
