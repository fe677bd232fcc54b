#pragma once

#include "ibisgw_cli/ExitStatus.h"

#include <nlohmann/json.hpp>

#include <string>

namespace ibisgw_cli {

struct ApiReply {
    // HTTP status, or 0 when no answer arrived; `body` then holds an error object like those of the API.
    int status { 0 };
    // False when the request certainly did not reach the daemon, such as when the connection was refused.
    bool mayHaveArrived { true };
    nlohmann::json body;
};

// HTTP client for the administration API of one daemon. Replies are JSON objects.
class ApiClient {
public:
    // `url` is what the paths of the API are appended to. The token is empty for a daemon that requires none.
    ApiClient(std::string url, std::string token);

    ApiReply get(const std::string& path) const;
    ApiReply post(const std::string& path, const nlohmann::json& body) const;

    // Percent-encodes one segment of a path.
    static std::string percentEncode(const std::string& segment);

private:
    ApiReply perform(const std::string& path, const std::string* body) const;

    std::string m_url;
    std::string m_token;
};

// Exit status of a call that only reads. Without an answer the call has failed, since it cannot have changed anything.
ExitStatus exitStatusOf(const ApiReply&);

// Exit status of a call that makes a change, such as a submission. Without a final answer the change may or may not
// take effect, so that the outcome is unknown.
ExitStatus exitStatusOfSubmission(const ApiReply&);

} // namespace ibisgw_cli
