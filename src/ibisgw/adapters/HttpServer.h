#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Error.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace ibisgw::adapters {

class EventLoop;

struct HttpRequest {
    std::string method;
    // Without the query.
    std::string path;
    std::string query;
    // Host header; h2o sets "default" when there is none.
    std::string host;
    std::string authorization;
    std::string contentType;
    std::string body;
};

struct HttpResponse {
    int status { 200 };
    std::string contentType { "application/json" };
    std::string body;
    // Target of a redirect; no header when empty.
    std::string location;
};

struct HttpLimits {
    std::size_t maxBodyBytes { 1024UL * 1024 };
    // Bounds the memory of requests to 32 MiB.
    std::size_t maxConnections { 32 };
    // For the complete request.
    std::chrono::milliseconds requestTimeout { 10'000 };
    // For the handler's answer.
    std::chrono::milliseconds answerTimeout { 15'000 };
    // For request, answer and sending together; cuts off clients that read slowly.
    std::chrono::milliseconds connectionLifetime { 60'000 };
    // Answers carry headers that tell browsers what pages may do. Other programs would only pay for their bytes.
    bool hasBrowserClients { true };
};

// HTTP/1.1 server on the h2o library that shares the event loop of the process. Each connection
// carries one request, which makes the limits of connections limits of requests. The event loop must
// outlive the server.
class HttpServer {
public:
    // May be called at most once, at once or later. Answers to clients that have gone are dropped.
    using Responder = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Responder)>;

    // Port 0 lets the system choose a port.
    static core::Result<std::unique_ptr<HttpServer>> listen(EventLoop&, core::Endpoint, HttpLimits, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Takes the connections that wait and refuses later ones; requests that were sent are still answered.
    void stopAccepting();

    core::Endpoint localEndpoint() const;
    std::size_t openConnections() const;

private:
    struct State;

    explicit HttpServer(std::unique_ptr<State>);

    std::unique_ptr<State> m_state;
};

} // namespace ibisgw::adapters
