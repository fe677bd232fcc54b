#include "ibisgw/adapters/detail/SpanJson.h"

#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace ibisgw::adapters::detail {

nlohmann::json toJson(const Span& span)
{
    nlohmann::json json { { "trace", span.traceId }, { "span", span.spanId }, { "hop", span.hop },
        { "start_us", span.startUs }, { "duration_us", span.durationUs } };
    if (!span.parentId.empty())
        json["parent"] = span.parentId;
    if (!span.service.empty())
        json["service"] = span.service;
    return json;
}

std::optional<Span> spanFromJson(const nlohmann::json& json)
{
    constexpr auto maxNumber = std::numeric_limits<std::uint64_t>::max();
    Span span;
    std::vector<core::Problem> problems;
    core::ObjectReader reader(json, "", problems);
    reader.readName("trace", span.traceId, core::Presence::Required);
    reader.readName("span", span.spanId, core::Presence::Required);
    reader.readName("parent", span.parentId, core::Presence::Optional);
    reader.readText("hop", span.hop, core::Presence::Required);
    reader.readName("service", span.service, core::Presence::Optional);
    reader.readInteger("start_us", span.startUs, 0, maxNumber, core::Presence::Required);
    reader.readInteger("duration_us", span.durationUs, 0, maxNumber, core::Presence::Required);
    return problems.empty() ? std::optional(std::move(span)) : std::nullopt;
}

} // namespace ibisgw::adapters::detail
