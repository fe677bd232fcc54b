#include "ibisgwd/HedgeLog.h"

#include "ibisgw/adapters/Log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace ibisgwd {

using namespace ibisgw;

void HedgeLog::add(const balancer::HedgedRequest& hedged, core::TimePoint now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (std::exchange(m_second, second) != second)
        m_lines = 0;
    if (m_lines >= maxLinesPerSecond) {
        ++m_leftOut;
        return;
    }
    ++m_lines;
    const auto flow = hedged.flow.caller.toString() + ">" + hedged.flow.service.toString();
    nlohmann::json fields {
        { "flow", flow },
        // Callers number the requests of each flow from 1, so the number alone names no request.
        { "request", flow + "#" + std::to_string(hedged.request) },
        { "upstream", hedged.first.endpoint().toString() },
        { "second_upstream", hedged.second.endpoint().toString() },
    };
    if (m_leftOut > 0)
        fields["left_out_before"] = std::exchange(m_leftOut, 0);
    adapters::log(adapters::LogLevel::Info, "request_hedged", std::move(fields));
}

} // namespace ibisgwd
