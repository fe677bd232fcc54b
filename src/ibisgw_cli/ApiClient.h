#pragma once

#include "ibisgw_cli/ExitStatus.h"

#include <nlohmann/json.hpp>

#include <string>

namespace ibisgw_cli {

struct ApiReply {
    // 0 when no answer arrived; `body` then holds an error in the form of the API.
    int status { 0 };
    // False when the request certainly did not reach the daemon.
    bool mayHaveArrived { true };
    nlohmann::json body;
};

// HTTP calls to the administration API of one daemon.
class ApiClient {
public:
    // The token is empty for a daemon without tokens.
    ApiClient(std::string url, std::string token);

    ApiReply get(const std::string& path) const;
    ApiReply post(const std::string& path, const nlohmann::json& body) const;

    // One segment of a path with special characters encoded.
    static std::string encode(const std::string& segment);

private:
    ApiReply perform(const std::string& path, const std::string* body) const;

    std::string m_url;
    std::string m_token;
};

// Status of a call that changes nothing, so that its outcome is never unknown.
ExitStatus exitStatusOf(const ApiReply&);

// Status of a submission: without a final answer its outcome is unknown.
ExitStatus exitStatusOfSubmission(const ApiReply&);

} // namespace ibisgw_cli
