#include "ibisgw_cli/ApiClient.h"

#include "ibisgw/core/JsonText.h"

#include <curl/curl.h>

#include <memory>

namespace ibisgw_cli {

namespace {

constexpr long connectTimeoutMs = 5'000;
// Longer than the daemon's own time limit for an answer, so that the daemon's error message arrives before the client
// gives up.
constexpr long requestTimeoutMs = 30'000;
constexpr std::size_t maxReplyBytes = 64UL * 1024 * 1024;

// Write callback of libcurl; a return value other than the size of the data aborts the transfer.
std::size_t appendReply(char* data, std::size_t size, std::size_t count, void* target)
{
    auto& text = *static_cast<std::string*>(target);
    if (text.size() + size * count > maxReplyBytes)
        return 0;
    text.append(data, size * count);
    return size * count;
}

nlohmann::json errorBody(const std::string& kind, const std::string& message)
{
    return { { "error", kind }, { "message", message }, { "problems", nlohmann::json::array() } };
}

struct CurlDeleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

} // namespace

ApiClient::ApiClient(std::string url, std::string token)
    : m_url(std::move(url))
    , m_token(std::move(token))
{
    while (m_url.ends_with('/'))
        m_url.pop_back();
}

ApiReply ApiClient::get(const std::string& path) const
{
    return perform(path, nullptr);
}

ApiReply ApiClient::post(const std::string& path, const nlohmann::json& body) const
{
    const auto text = ibisgw::core::formatJson(body);
    return perform(path, &text);
}

std::string ApiClient::percentEncode(const std::string& segment)
{
    const std::unique_ptr<char, decltype(&curl_free)> text(
        curl_easy_escape(nullptr, segment.data(), static_cast<int>(segment.size())), curl_free);
    return text ? text.get() : "";
}

ApiReply ApiClient::perform(const std::string& path, const std::string* body) const
{
    const std::unique_ptr<CURL, CurlDeleter> handle(curl_easy_init());
    std::string reply;
    auto* headers = curl_slist_append(nullptr, "Content-Type: application/json");
    // Disables "Expect: 100-continue": libcurl would delay the body until the interim response, which the daemon sends
    // no sooner than it could read the body.
    headers = curl_slist_append(headers, "Expect:");
    if (!m_token.empty())
        headers = curl_slist_append(headers, ("Authorization: Bearer " + m_token).c_str());
    const std::unique_ptr<curl_slist, CurlDeleter> headersOwner(headers);
    const auto url = m_url + path;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http,https");
    // Ignores proxies that environment variables set: a proxy would receive the token.
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, requestTimeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendReply);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply);
    if (body) {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body->data());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body->size()));
    }
    ApiReply result;
    const auto code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        result.mayHaveArrived = code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST
            && code != CURLE_URL_MALFORMAT && code != CURLE_UNSUPPORTED_PROTOCOL;
        result.body = errorBody("unavailable",
            "no answer from " + m_url + ": " + curl_easy_strerror(code) + "; check --api or try another daemon");
        return result;
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
    result.body = nlohmann::json::parse(reply, nullptr, false);
    if (!result.body.is_object())
        result.body = errorBody("protocol_violation",
            "HTTP status " + std::to_string(status)
                + (status == 413 ? ": the document exceeds 1 MiB; shorten it" : ""));
    return result;
}

ExitStatus exitStatusOf(const ApiReply& reply)
{
    switch (reply.status) {
    case 200:
        return reply.body.contains("error") ? ExitStatus::Failed : ExitStatus::Ok;
    case 202:
        return ExitStatus::UnknownOutcome;
    case 400:
    case 413:
    case 422:
        return ExitStatus::InvalidInput;
    case 401:
    case 403:
        return ExitStatus::PermissionDenied;
    case 409:
        return ExitStatus::Conflict;
    default:
        return ExitStatus::Failed;
    }
}

ExitStatus exitStatusOfSubmission(const ApiReply& reply)
{
    if (reply.status == 0)
        return reply.mayHaveArrived ? ExitStatus::UnknownOutcome : ExitStatus::Failed;
    const bool hasOutcome = reply.status != 200 || reply.body.contains("outcome");
    return reply.status >= 500 || !hasOutcome ? ExitStatus::UnknownOutcome : exitStatusOf(reply);
}

} // namespace ibisgw_cli
