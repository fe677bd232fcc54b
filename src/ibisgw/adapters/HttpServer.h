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
    // Path of the URL without the query.
    std::string path;
    std::string query;
    // Value of the Host header; h2o sets "default" if there is none.
    std::string host;
    std::string authorization;
    std::string contentType;
    std::string body;
};

struct HttpResponse {
    int status { 200 };
    std::string contentType { "application/json" };
    std::string body;
    // Target of a redirect; if empty, no Location header is sent.
    std::string location;
};

struct HttpLimits {
    std::size_t maxBodyBytes { 1024UL * 1024 };
    // Together with maxBodyBytes, bounds the memory of request bodies to 32 MiB.
    std::size_t maxConnections { 32 };
    // Limits the time until the complete request has been received.
    std::chrono::milliseconds requestTimeout { 10'000 };
    // Limits the time until the handler has answered; after that the server answers with status 504.
    std::chrono::milliseconds answerTimeout { 15'000 };
    // Limits the time for receiving the request, answering it and sending the answer; disconnects clients
    // that read slowly.
    std::chrono::milliseconds connectionLifetime { 60'000 };
    // Adds the headers Content-Security-Policy and X-Content-Type-Options to answers. They are of no use to
    // clients other than browsers and would only cost bandwidth.
    bool hasBrowserClients { true };
};

// HTTP/1.1 server that uses the h2o library and runs on the event loop of the process. Each connection
// carries one request, so that limits on connections also limit requests. The event loop must outlive
// the server.
class HttpServer {
public:
    // Sends the answer. May be called at most once, before the handler returns or later. Answers to clients
    // that have disconnected are dropped. A handler that throws before it has answered is answered with status 500.
    using Responder = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Responder)>;

    // Port 0 selects any free port.
    static core::Result<std::unique_ptr<HttpServer>> listen(EventLoop&, core::Endpoint, HttpLimits, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Accepts the connections in the backlog and closes the listening socket. Requests on accepted connections
    // are still answered.
    void stopAccepting();

    core::Endpoint localEndpoint() const;
    std::size_t openConnections() const;

private:
    struct State;

    explicit HttpServer(std::unique_ptr<State>);

    std::unique_ptr<State> m_state;
};

} // namespace ibisgw::adapters
