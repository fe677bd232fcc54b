#include "ibisgw/adapters/TraceReader.h"

#include "ibisgw/adapters/detail/SpanJson.h"
#include "ibisgw/core/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace ibisgw::adapters {

std::vector<Span> readTrace(const std::vector<std::string>& files, const std::string& traceId)
{
    std::vector<Span> spans;
    for (const auto& file : files) {
        std::ifstream in(file, std::ios::binary);
        std::string line;
        while (std::getline(in, line)) {
            // Skips lines of other traces, which are the majority, without parsing them.
            if (line.find(traceId) == std::string::npos)
                continue;
            std::vector<core::Problem> problems;
            const auto json = core::parseJson(line, problems);
            auto span = json ? detail::spanFromJson(*json) : std::nullopt;
            if (span && span->traceId == traceId && std::ranges::find(spans, *span) == spans.end())
                spans.push_back(std::move(*span));
        }
    }
    std::ranges::stable_sort(spans, {}, &Span::startUs);
    return spans;
}

} // namespace ibisgw::adapters
