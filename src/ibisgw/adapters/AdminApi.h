#pragma once

#include "ibisgw/adapters/ApiBackend.h"
#include "ibisgw/adapters/ApiTokens.h"
#include "ibisgw/adapters/HttpServer.h"

#include <memory>
#include <optional>

namespace ibisgw::adapters {

struct AdminApiOptions {
    // Port 0 selects any free port.
    core::Endpoint listen;
    // If empty, the API runs without tokens and may listen on a loopback address only.
    std::string tokenFile;
    HttpLimits limits;
};

// Versioned HTTP API for operators. Validates documents, checks permissions and filters the results
// for tokens that are bound to an organization; the backend provides the results. The backend must
// outlive the API and must not call a completion after the API has been destroyed.
class AdminApi {
public:
    static core::Result<std::unique_ptr<AdminApi>> start(EventLoop&, ApiBackend&, const AdminApiOptions&);
    ~AdminApi();
    AdminApi(const AdminApi&) = delete;
    AdminApi& operator=(const AdminApi&) = delete;

    core::Endpoint localEndpoint() const;
    std::size_t openConnections() const;

private:
    AdminApi(ApiBackend&, std::optional<ApiTokens>);

    void handle(HttpRequest, HttpServer::Responder);
    std::optional<ApiCaller> identify(const HttpRequest&) const;

    ApiBackend& m_backend;
    std::optional<ApiTokens> m_tokens;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace ibisgw::adapters
