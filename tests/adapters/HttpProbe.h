#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/core/Endpoint.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace support {

// Client connection to an HTTP server that runs on the event loop of the test. The loop runs only inside
// the functions that wait, so the order of events is deterministic.
class HttpProbe {
public:
    HttpProbe(ibisgw::adapters::EventLoop&, ibisgw::core::Endpoint server);
    ~HttpProbe();
    HttpProbe(const HttpProbe&) = delete;
    HttpProbe& operator=(const HttpProbe&) = delete;

    void send(const std::string& bytes);
    // Runs the loop until the server has closed the connection; returns all bytes received.
    std::string readToEnd();
    void close();

private:
    ibisgw::adapters::EventLoop& m_loop;
    int m_fd { -1 };
};

struct HttpAnswer {
    int status { 0 };
    std::string body;

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

HttpAnswer parseAnswer(const std::string& bytes);

// Sends one request with an optional bearer token and returns the answer.
HttpAnswer request(ibisgw::adapters::EventLoop&, ibisgw::core::Endpoint server, const std::string& method,
    const std::string& path, const std::string& body = "", const std::string& token = "");

// Runs the loop until the condition holds; throws after a number of iterations that is reached only if the
// server hangs.
void runUntil(ibisgw::adapters::EventLoop&, const std::function<bool()>& condition);

} // namespace support
