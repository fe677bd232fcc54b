#pragma once

#include "ibisgw/balancer/BalancerOutput.h"
#include "ibisgw/core/Time.h"

#include <cstdint>

namespace ibisgwd {

// Logs the extra attempts of late requests for `ibisgw explain`. Limits the lines, because an upstream that hangs makes
// many requests late at once.
class HedgeLog {
public:
    static constexpr std::uint32_t maxLinesPerSecond = 20;

    void add(const ibisgw::balancer::HedgedRequest&, ibisgw::core::TimePoint now);

private:
    std::int64_t m_second { 0 };
    std::uint32_t m_lines { 0 };
    std::uint64_t m_leftOut { 0 };
};

} // namespace ibisgwd
