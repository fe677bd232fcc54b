#include "ibisgw/adapters/detail/ApiCall.h"

#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/core/JsonText.h"

#include <charconv>

namespace ibisgw::adapters::detail {

std::optional<configuration::Document> parseAccepted(const configuration::AcceptedRevision& accepted)
{
    if (accepted.revision == 0)
        return configuration::Document {};
    std::vector<core::Problem> problems;
    const auto json = core::parseJson(accepted.document, problems);
    return json ? configuration::readDocument(*json).document : std::nullopt;
}

void withVisibleServices(const ApiCallPtr& call, std::function<void(const VisibleServices&)> function)
{
    if (call->caller.hasSystemScope()) {
        function({ true, {} });
        return;
    }
    call->backend.documentInForce(
        onSuccess<configuration::AcceptedRevision>(call, [call, function = std::move(function)](const auto& accepted) {
            VisibleServices visible;
            const auto document = parseAccepted(accepted);
            // If the document is invalid, no service is visible.
            for (const auto& it : document ? document->services : std::vector<configuration::Service> {}) {
                if (it.organization == call->caller.organization)
                    visible.names.insert(it.name);
            }
            function(visible);
        }));
}

bool requireSystemScope(const ApiCall& call)
{
    if (call.caller.hasSystemScope())
        return true;
    call.respond(errorResponse(403, core::ErrorKind::PermissionDenied,
        "the token is bound to organization '" + call.caller.organization
            + "'; use a token with scope \"system\" for this call"));
    return false;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned value = 0;
        if (text[n] == '%' && n + 2 < text.size()
            && std::from_chars(text.data() + n + 1, text.data() + n + 3, value, 16).ptr == text.data() + n + 3) {
            decoded += static_cast<char>(value);
            n += 2;
        } else {
            decoded += text[n];
        }
    }
    return decoded;
}

std::string queryParameter(const std::string& query, std::string_view name)
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=')
            return percentDecode(item.substr(name.size() + 1));
    }
    return {};
}

} // namespace ibisgw::adapters::detail
