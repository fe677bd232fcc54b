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

// An authenticated request to the API that has not been answered yet.
struct ApiCall {
    ApiBackend& backend;
    HttpRequest request;
    ApiCaller caller;
    // True if the caller was authenticated by a token. Without tokens a submission names its own author.
    bool hasToken { false };
    HttpServer::Responder respond;
};

using ApiCallPtr = std::shared_ptr<const ApiCall>;

// Returns a completion that passes the value to the function, or answers the call with the error.
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

// Parses the document of an accepted revision; empty if its text is not a valid document. Revision 0 is the
// empty document.
std::optional<configuration::Document> parseAccepted(const configuration::AcceptedRevision&);

// Calls the function with the services of the document in force that the caller may see, or answers the call
// with the error.
void withVisibleServices(const ApiCallPtr&, std::function<void(const VisibleServices&)>);

// Answers the call with status 403 and returns false unless the scope of the caller is the whole system.
bool requireSystemScope(const ApiCall&);

std::optional<std::uint64_t> parseNumber(std::string_view);

// Value of a query parameter with percent-encoding removed; empty when it is absent.
std::string queryParameter(const std::string& query, std::string_view name);
// Leaves invalid escape sequences unchanged.
std::string percentDecode(std::string_view);

} // namespace ibisgw::adapters::detail
