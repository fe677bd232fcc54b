#pragma once

#include "ibisgw/adapters/ApiBackend.h"
#include "ibisgw/adapters/ApiTokens.h"
#include "ibisgw/adapters/HttpServer.h"
#include "ibisgw/adapters/detail/ApiJson.h"
#include "ibisgw/configuration/Document.h"

#include <memory>
#include <optional>
#include <set>

namespace ibisgw::adapters::detail {

// One authenticated call that is being answered.
struct ApiCall {
    ApiBackend& backend;
    HttpRequest request;
    ApiCaller caller;
    // Whether the caller is known by a token; without tokens the request names its author.
    bool hasToken { false };
    HttpServer::Responder respond;
};

using ApiCallPtr = std::shared_ptr<const ApiCall>;

// Answers with the error, or passes the value on.
template <typename T, typename Function> Completion<T> onSuccess(const ApiCallPtr& call, Function function)
{
    return [call, function = std::move(function)](const ApiResult<T>& result) {
        if (const auto* error = std::get_if<core::Error>(&result))
            call->respond(errorResponse(*error));
        else
            function(std::get<T>(result));
    };
}

// Services that the caller may see.
struct VisibleServices {
    bool all { false };
    std::set<core::ServiceName> names;

    bool covers(const core::ServiceName& name) const { return all || names.contains(name); }
};

// Empty when the text of an accepted revision is not a valid document.
std::optional<configuration::Document> parseAccepted(const configuration::AcceptedRevision&);

void withVisibleServices(const ApiCallPtr&, std::function<void(const VisibleServices&)>);

// Answers 403 and returns false unless the caller has the whole system.
bool requireWholeSystem(const ApiCall&);

std::optional<std::uint64_t> parseNumber(std::string_view);

// Value of a query parameter with percent-encoding removed; empty when it is absent.
std::string queryParameter(const std::string& query, std::string_view name);
std::string percentDecode(std::string_view);

} // namespace ibisgw::adapters::detail
