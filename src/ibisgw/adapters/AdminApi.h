#pragma once

#include "ibisgw/adapters/ApiBackend.h"
#include "ibisgw/adapters/ApiTokens.h"
#include "ibisgw/adapters/HttpServer.h"

#include <memory>
#include <optional>

namespace ibisgw::adapters {

struct AdminApiOptions {
    // Port 0 lets the system choose a port.
    core::Endpoint listen;
    // Empty: no tokens, and only a loopback address is allowed.
    std::string tokenFile;
    HttpLimits limits;
};

// Versioned HTTP interface for operators. Checks documents and permissions and restricts what a token
// of an organization sees; everything else is asked of the backend. The backend outlives the API, and
// completions are not called after the API has been destroyed.
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
