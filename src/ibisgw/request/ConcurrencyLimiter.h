#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>

namespace ibisgw::request {

// Limits the flows of one service that are in progress at this balancer, by additive increase and multiplicative
// decrease (Chiu and Jain, 1989). The signal is the time that flows take as a share of their deadline:
// it grows with the queues of the upstreams, whose reports may lag or mislead.
class ConcurrencyLimiter {
public:
    // Leaves room for one slot on each of a few upstreams.
    static constexpr double minLimit = 4;
    static constexpr double initialLimit = 64;
    static constexpr double maxLimit = 65'536;

    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    std::uint32_t inProgress() const { return m_inProgress; }
    bool hasRoom() const { return m_inProgress < limit(); }
    void start() { ++m_inProgress; }
    // The flow ended without an answer that says anything about load.
    void release();
    // The flow took the given share of its deadline.
    void complete(double shareOfDeadline, core::TimePoint now);

private:
    double m_limit { initialLimit };
    std::uint32_t m_inProgress { 0 };
    // Weighted mean of the recent flows that took too long.
    double m_congestedShare { 0 };
    core::TimePoint m_lastDecreaseAt;
};

} // namespace ibisgw::request
