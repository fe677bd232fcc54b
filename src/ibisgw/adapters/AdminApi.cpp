#include "ibisgw/adapters/AdminApi.h"

#include "ibisgw/adapters/detail/ApiCall.h"
#include "ibisgw/adapters/detail/ConfigurationRoutes.h"
#include "ibisgw/adapters/detail/OperationRoutes.h"
#include "ibisgw/adapters/detail/ZoneRoutes.h"
#include "ibisgw/console/ConsoleFiles.h"

namespace ibisgw::adapters {

using detail::ApiCallPtr;

namespace {

constexpr std::string_view apiPrefix = "/api/v1/";
constexpr std::uint32_t loopbackNetwork = 127;

bool isLoopback(core::Endpoint endpoint)
{
    return endpoint.address >> 24 == loopbackNetwork;
}

// Protects an API without tokens against DNS rebinding: a web page whose host name resolves to a
// loopback address could otherwise call the API from an operator's browser. The Host header of such a
// request contains the host name of the page. h2o sets "default" when there is no Host header.
bool isLocalHost(std::string_view host)
{
    const auto name = host.substr(0, host.find(':'));
    return name == "localhost" || name == "default" || name.find_first_not_of("0123456789.") == std::string_view::npos;
}

// Splits the path after the API prefix at slashes and decodes the segments. Everything after
// "submissions/" is one segment, because identifiers of submissions may contain slashes.
std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    const bool isSubmission = path.starts_with("submissions/");
    for (;;) {
        const auto slash = isSubmission && segments.size() == 1 ? std::string_view::npos : path.find('/');
        segments.push_back(detail::percentDecode(path.substr(0, slash)));
        if (slash == std::string_view::npos)
            return segments;
        path.remove_prefix(slash + 1);
    }
}

void respondUnknownPath(const detail::ApiCall& call)
{
    call.respond(detail::errorResponse(404, core::ErrorKind::NotFound,
        call.request.method + " " + call.request.path + " is not an endpoint of this API; see docs/OPERATIONS.md"));
}

bool routeRevisions(const ApiCallPtr& call, const std::vector<std::string>& path)
{
    const auto first = detail::parseNumber(path[1]);
    const auto second = path.size() == 4 ? detail::parseNumber(path[3]) : std::nullopt;
    if (first && path.size() == 2)
        detail::showDocumentAt(call, *first);
    else if (first && second && path[2] == "diff")
        detail::showDifference(call, *first, *second);
    else
        return false;
    return true;
}

bool routeGet(const ApiCallPtr& call, const std::vector<std::string>& path)
{
    const auto& name = path[0];
    if (path.size() > 1) {
        if (name == "revisions")
            return routeRevisions(call, path);
        if (path.size() == 2 && name == "submissions")
            detail::showSubmission(call, path[1]);
        else if (path.size() == 2 && name == "traces")
            detail::showTrace(call, path[1]);
        else
            return false;
        return true;
    }
    if (name == "document")
        detail::showDocumentInForce(call);
    else if (name == "revisions")
        detail::showHistory(call);
    else if (name == "status")
        detail::showStatus(call);
    else if (name == "upstreams")
        detail::showUpstreams(call);
    else if (name == "flows")
        detail::showFlows(call);
    else if (name == "zones")
        detail::showZones(call);
    else
        return false;
    return true;
}

bool routePost(const ApiCallPtr& call, const std::vector<std::string>& path)
{
    if (path.size() == 1 && path[0] == "check")
        detail::checkDocument(call);
    else if (path.size() == 1 && path[0] == "submissions")
        detail::submitDocument(call);
    else if (path.size() == 3 && path[0] == "upstreams" && path[2] == "drain")
        detail::drainUpstream(call, path[1]);
    else if (path.size() == 3 && path[0] == "balancers" && path[2] == "drain")
        detail::drainBalancer(call, path[1]);
    else if (path.size() == 3 && path[0] == "zones" && path[2] == "evacuate")
        detail::orderEvacuation(call, path[1], detail::ZoneOrder::Evacuate);
    else if (path.size() == 3 && path[0] == "zones" && path[2] == "restore")
        detail::orderEvacuation(call, path[1], detail::ZoneOrder::Restore);
    else
        return false;
    return true;
}

void routeCall(const ApiCallPtr& call)
{
    const auto path = splitPath(std::string_view(call->request.path).substr(apiPrefix.size()));
    const bool isPost = call->request.method == "POST";
    // Browsers let any page send a request with another content type, such as text/plain, to a loopback address.
    if (isPost && !call->request.contentType.starts_with("application/json")) {
        call->respond(detail::errorResponse(
            415, core::ErrorKind::InvalidInput, "send the header Content-Type: application/json"));
        return;
    }
    const bool isGet = call->request.method == "GET";
    if ((isPost && routePost(call, path)) || (isGet && routeGet(call, path)))
        return;
    respondUnknownPath(*call);
}

// Returns a static file of the console if the path names one. These files need no token: they contain no
// data, and the page prompts the operator for the token.
std::optional<HttpResponse> consoleFile(const HttpRequest& request)
{
    const auto file = [](std::string_view type, std::string_view text) {
        return HttpResponse { 200, std::string(type), std::string(text) };
    };
    if (request.method != "GET")
        return std::nullopt;
    if (request.path == "/console" || request.path == "/console/")
        return file("text/html; charset=utf-8", console::page);
    if (request.path == "/console/style.css")
        return file("text/css; charset=utf-8", console::style);
    if (request.path == "/console/forms.js")
        return file("text/javascript; charset=utf-8", console::formScript);
    if (request.path == "/console/calls.js")
        return file("text/javascript; charset=utf-8", console::callScript);
    return std::nullopt;
}

HttpResponse healthResponse(const std::string& reason)
{
    if (reason.empty())
        return detail::jsonResponse({ { "healthy", true } });
    return detail::errorResponse(503, core::ErrorKind::Unavailable, reason);
}

} // namespace

core::Result<std::unique_ptr<AdminApi>> AdminApi::start(
    EventLoop& loop, ApiBackend& backend, const AdminApiOptions& options)
{
    std::optional<ApiTokens> tokens;
    if (!options.tokenFile.empty()) {
        BOOST_LEAF_ASSIGN(tokens, ApiTokens::readFile(options.tokenFile));
    } else if (!isLoopback(options.listen)) {
        return core::fail(core::ErrorKind::PermissionDenied,
            "admin listens on " + options.listen.toString()
                + " without a token file; set token_file or use an address of 127.0.0.0/8");
    }
    std::unique_ptr<AdminApi> api(new AdminApi(backend, std::move(tokens)));
    BOOST_LEAF_ASSIGN(api->m_server,
        HttpServer::listen(loop, options.listen, options.limits,
            [self = api.get()](HttpRequest request, HttpServer::Responder respond) {
                self->handle(std::move(request), std::move(respond));
            }));
    return api;
}

AdminApi::AdminApi(ApiBackend& backend, std::optional<ApiTokens> tokens)
    : m_backend(backend)
    , m_tokens(std::move(tokens))
{
}

AdminApi::~AdminApi() = default;

core::Endpoint AdminApi::localEndpoint() const
{
    return m_server->localEndpoint();
}

std::size_t AdminApi::openConnections() const
{
    return m_server->openConnections();
}

std::optional<ApiCaller> AdminApi::identify(const HttpRequest& request) const
{
    return m_tokens ? m_tokens->authenticate(request.authorization) : ApiCaller { "local", "" };
}

void AdminApi::handle(HttpRequest request, HttpServer::Responder respond)
{
    if (request.path == "/healthz") {
        respond(healthResponse(m_backend.unhealthyReason()));
        return;
    }
    if (auto file = consoleFile(request)) {
        respond(std::move(*file));
        return;
    }
    if (!m_tokens && !isLocalHost(request.host)) {
        respond(detail::errorResponse(403, core::ErrorKind::PermissionDenied,
            "without tokens the API answers to its IP address only; call it by address or set token_file"));
        return;
    }
    const auto caller = identify(request);
    if (!caller) {
        respond(detail::errorResponse(401, core::ErrorKind::PermissionDenied,
            "the token is missing or unknown; send the header Authorization: Bearer TOKEN"));
        return;
    }
    const auto call = std::make_shared<const detail::ApiCall>(
        detail::ApiCall { m_backend, std::move(request), *caller, m_tokens.has_value(), std::move(respond) });
    if (call->request.path.starts_with(apiPrefix)) {
        routeCall(call);
    } else if (call->request.path == "/metrics" && call->request.method == "GET") {
        if (detail::requireSystemScope(*call))
            call->respond({ 200, "text/plain; version=0.0.4", m_backend.metrics() });
    } else {
        respondUnknownPath(*call);
    }
}

} // namespace ibisgw::adapters
