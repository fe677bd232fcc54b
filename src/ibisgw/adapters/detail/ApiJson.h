#pragma once

#include "ibisgw/adapters/ApiTypes.h"
#include "ibisgw/adapters/HttpServer.h"
#include "ibisgw/adapters/detail/SpanJson.h"
#include "ibisgw/core/Error.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace ibisgw::adapters::detail {

nlohmann::json toJson(const core::Problem&);
nlohmann::json toJson(const HistoryEntry&);
nlohmann::json toJson(const MemberStatus&);
nlohmann::json toJson(const UpstreamStatus&);
nlohmann::json toJson(const FlowCount&);
nlohmann::json toJson(const FlowLocation&);

template <typename Entry> nlohmann::json toJsonList(const std::vector<Entry>& entries)
{
    auto list = nlohmann::json::array();
    for (const auto& it : entries)
        list.push_back(toJson(it));
    return list;
}

HttpResponse jsonResponse(const nlohmann::json&, int status = 200);
HttpResponse errorResponse(
    int status, core::ErrorKind, const std::string& message, const std::vector<core::Problem>& = {});
HttpResponse errorResponse(const core::Error&);
HttpResponse submissionResponse(const std::string& identifier, const SubmissionAnswer&);

} // namespace ibisgw::adapters::detail
