#include "ibisgw_cli/Invocation.h"

#include "ibisgw/adapters/InputFile.h"
#include "ibisgw/core/JsonText.h"

#include <ostream>

namespace ibisgw_cli {

namespace {

std::string trimEnd(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
        text.pop_back();
    return text;
}

} // namespace

ExitStatus Invocation::fail(ExitStatus status, const std::string& kind, const std::string& message) const
{
    printError(err, format, { { "error", kind }, { "message", message }, { "problems", nlohmann::json::array() } });
    return status;
}

std::optional<ApiClient> Invocation::connect(ExitStatus& status) const
{
    if (tokenFile.empty())
        return ApiClient(api, "");
    return boost::leaf::try_handle_all(
        [&]() -> ibisgw::core::Result<std::optional<ApiClient>> {
            BOOST_LEAF_AUTO(text, ibisgw::adapters::readPrivateFile(tokenFile, "token file"));
            const auto token = trimEnd(text);
            if (token.find_first_of("\r\n") != std::string::npos)
                return ibisgw::core::fail(ibisgw::core::ErrorKind::InvalidInput,
                    "token file '" + tokenFile + "' has several lines; it must hold one token only");
            return std::optional(ApiClient(api, token));
        },
        [&](const ibisgw::core::Error& error) -> std::optional<ApiClient> {
            status = fail(ExitStatus::InvalidInput, std::string(nameOf(error.kind)), error.message);
            return std::nullopt;
        },
        [&]() -> std::optional<ApiClient> {
            status = ExitStatus::Failed;
            return std::nullopt;
        });
}

std::optional<nlohmann::json> Invocation::get(const std::string& path, ExitStatus& status) const
{
    const auto client = connect(status);
    if (!client)
        return std::nullopt;
    auto reply = client->get(path);
    status = exitStatusOf(reply);
    if (status == ExitStatus::Ok)
        return std::move(reply.body);
    reportFailure(reply, status);
    return std::nullopt;
}

ExitStatus Invocation::showList(
    const std::string& path, const std::string& list, const std::vector<std::string>& columns) const
{
    auto status = ExitStatus::Ok;
    const auto body = get(path, status);
    if (!body)
        return status;
    if (format == OutputFormat::Json)
        printJson(*body);
    else
        printTable(out, body->value(list, nlohmann::json::array()), columns);
    return status;
}

ExitStatus Invocation::sendOrder(const std::string& path, const std::string& done,
    const std::function<std::string(const nlohmann::json&)>& describe) const
{
    auto status = ExitStatus::Ok;
    const auto client = connect(status);
    if (!client)
        return status;
    const auto reply = client->post(path, nlohmann::json::object());
    // Without an answer the order may or may not have been taken; it is safe to repeat the request.
    status = exitStatusOfSubmission(reply);
    if (reply.status == 200 && reply.body.contains(done))
        status = ExitStatus::Ok;
    if (status != ExitStatus::Ok)
        return reportFailure(reply, status);
    if (format == OutputFormat::Json)
        printJson(reply.body);
    else
        out << describe(reply.body) << "\n";
    return status;
}

ExitStatus Invocation::reportFailure(const ApiReply& reply, ExitStatus status) const
{
    printError(err, format, reply.body);
    return status;
}

void Invocation::printJson(const nlohmann::json& json) const
{
    out << ibisgw::core::formatJson(json, 2) << "\n";
}

} // namespace ibisgw_cli
