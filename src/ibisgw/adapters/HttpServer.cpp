#include "ibisgw/adapters/HttpServer.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/Log.h"
#include "ibisgw/adapters/SocketAddress.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <h2o.h>
#include <set>

namespace ibisgw::adapters {

namespace {

core::Result<int> openListener(core::Endpoint endpoint)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = toSocketAddress(endpoint);
    const int on = 1;
    if (fd >= 0 && ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
        && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && ::listen(fd, SOMAXCONN) == 0)
        return fd;
    const std::string reason = std::strerror(errno);
    if (fd >= 0)
        ::close(fd);
    return core::fail(core::ErrorKind::IoFailed,
        "cannot listen on " + endpoint.toString() + ": " + reason + "; choose a free address in the settings");
}

// Limits the connections accepted in one callback, so that other events are not delayed.
constexpr int maxAcceptsPerWakeup = 64;

std::string toString(h2o_iovec_t text)
{
    return text.base ? std::string(text.base, text.len) : std::string();
}

std::string headerOf(const h2o_req_t& req, const h2o_token_t* token)
{
    const auto index = h2o_find_header(&req.headers, token, -1);
    return index < 0 ? std::string() : toString(req.headers.entries[index].value);
}

// The console loads content from its own origin only, and pages of other origins must not embed it in a frame.
constexpr std::string_view contentSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; "
                                                   "connect-src 'self'; form-action 'self'; frame-ancestors 'none'; "
                                                   "base-uri 'none'";

void addHeader(h2o_req_t& req, std::string_view name, std::string_view value)
{
    h2o_add_header_by_str(
        &req.pool, &req.res.headers, name.data(), name.size(), 0, nullptr, value.data(), value.size());
}

const char* reasonPhrase(int status)
{
    if (status < 300)
        return "OK";
    if (status < 400)
        return "Redirect";
    return status < 500 ? "Request Refused" : "Server Error";
}

} // namespace

struct HttpServer::State {
    struct Connection;
    struct PendingAnswer;
    // Allocated by h2o, which passes its address to onRequest().
    struct RequestHandler {
        h2o_handler_t super;
        State* state;
    };

    EventLoop& loop;
    HttpLimits limits;
    Handler handler;
    h2o_globalconf_t config {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_timeout_t lifetimeTimeout {};
    h2o_timeout_t answerTimeout {};
    h2o_socket_t* listener { nullptr };
    std::set<Connection*> connections;

    State(EventLoop&, HttpLimits, Handler);
    ~State();

    void startListening(int fd);
    void admit(h2o_socket_t*);
    void closeListener();
    void answer(h2o_req_t&);
    void callHandler(HttpRequest, const std::shared_ptr<PendingAnswer>&);

    static void onAccept(h2o_socket_t*, const char* error);
    static int onRequest(h2o_handler_t*, h2o_req_t*);
};

struct HttpServer::State::Connection {
    // First member, so that the address that h2o passes to the timeout callback is that of the connection.
    h2o_timeout_entry_t lifetime {};
    State* state { nullptr };
    int fd { -1 };

    // Shuts down both directions of the connection; h2o then gets an error and closes the socket.
    static void onLifetimeExpired(h2o_timeout_entry_t* entry)
    {
        ::shutdown(reinterpret_cast<Connection*>(entry)->fd, SHUT_RDWR);
    }

    static void onClose(void* data)
    {
        std::unique_ptr<Connection> connection(static_cast<Connection*>(data));
        h2o_timeout_unlink(&connection->lifetime);
        connection->state->connections.erase(connection.get());
    }
};

// Answer that has not been sent yet. Shared by the h2o request, which h2o may dispose of at any time, and by
// the responder that was passed to the handler.
struct HttpServer::State::PendingAnswer {
    // First member, so that the address that h2o passes to the timeout callback is that of the pending answer.
    h2o_timeout_entry_t timeout {};
    // Null once the answer has been sent or the client has disconnected.
    h2o_req_t* req { nullptr };
    bool hasBrowserClient { true };

    void detach()
    {
        h2o_timeout_unlink(&timeout);
        req = nullptr;
    }

    void send(const HttpResponse& response)
    {
        if (!req)
            return;
        auto* target = req;
        detach();
        target->res.status = response.status;
        target->res.reason = reasonPhrase(response.status);
        target->res.content_length = response.body.size();
        const auto type = h2o_strdup(&target->pool, response.contentType.data(), response.contentType.size());
        h2o_add_header(&target->pool, &target->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr, type.base, type.len);
        h2o_add_header(&target->pool, &target->res.headers, H2O_TOKEN_CACHE_CONTROL, nullptr, H2O_STRLIT("no-store"));
        if (!response.location.empty()) {
            const auto location = h2o_strdup(&target->pool, response.location.data(), response.location.size());
            h2o_add_header(
                &target->pool, &target->res.headers, H2O_TOKEN_LOCATION, nullptr, location.base, location.len);
        }
        if (hasBrowserClient) {
            addHeader(*target, "content-security-policy", contentSecurityPolicy);
            // Browsers must not guess another content type.
            addHeader(*target, "x-content-type-options", "nosniff");
        }
        h2o_send_inline(target, response.body.data(), response.body.size());
    }

    static void onTimeout(h2o_timeout_entry_t* entry)
    {
        auto* pending = reinterpret_cast<PendingAnswer*>(entry);
        pending->send({ 504, "application/json",
            R"({"error":"unavailable","message":"no answer from the daemon in time; the outcome is unknown, ask again",)"
            R"("problems":[]})",
            {} });
    }
};

HttpServer::State::State(EventLoop& eventLoop, HttpLimits httpLimits, Handler requestHandler)
    : loop(eventLoop)
    , limits(httpLimits)
    , handler(std::move(requestHandler))
{
    h2o_config_init(&config);
    config.server_name = h2o_iovec_init(H2O_STRLIT("ibisgw"));
    config.max_request_entity_size = limits.maxBodyBytes;
    config.http1.req_timeout = static_cast<uint64_t>(limits.requestTimeout.count());
    // HTTP/2 is disabled, because it carries many requests on one connection and would bypass the limit on
    // connections.
    config.http1.upgrade_to_http2 = 0;
    auto* host = h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* entry = reinterpret_cast<RequestHandler*>(h2o_create_handler(path, sizeof(RequestHandler)));
    entry->super.on_req = onRequest;
    entry->state = this;
    h2o_context_init(&context, loop.nativeLoop(), &config);
    acceptContext.ctx = &context;
    acceptContext.hosts = config.hosts;
    h2o_timeout_init(loop.nativeLoop(), &lifetimeTimeout, static_cast<uint64_t>(limits.connectionLifetime.count()));
    h2o_timeout_init(loop.nativeLoop(), &answerTimeout, static_cast<uint64_t>(limits.answerTimeout.count()));
}

HttpServer::State::~State()
{
    h2o_timeout_dispose(loop.nativeLoop(), &answerTimeout);
    h2o_timeout_dispose(loop.nativeLoop(), &lifetimeTimeout);
    h2o_context_dispose(&context);
    h2o_config_dispose(&config);
}

void HttpServer::State::startListening(int fd)
{
    listener = h2o_evloop_socket_create(loop.nativeLoop(), fd, H2O_SOCKET_FLAG_DONT_READ);
    listener->data = this;
    h2o_socket_read_start(listener, onAccept);
}

void HttpServer::State::onAccept(h2o_socket_t* listener, const char* error)
{
    auto* state = static_cast<State*>(listener->data);
    if (error)
        return;
    // Stops at the limit: clients of accepted connections may have disconnected already. The next iteration of the
    // event loop detects that, before further connections are refused.
    int n = 0;
    do {
        auto* socket = h2o_evloop_socket_accept(listener);
        if (!socket)
            return;
        state->admit(socket);
    } while (++n < maxAcceptsPerWakeup && state->connections.size() < state->limits.maxConnections);
}

void HttpServer::State::closeListener()
{
    if (listener)
        h2o_socket_close(listener);
    listener = nullptr;
}

void HttpServer::State::admit(h2o_socket_t* socket)
{
    if (connections.size() >= limits.maxConnections) {
        h2o_socket_close(socket);
        return;
    }
    auto connection = std::make_unique<Connection>();
    connection->state = this;
    connection->fd = h2o_socket_get_fd(socket);
    connection->lifetime.cb = Connection::onLifetimeExpired;
    h2o_timeout_link(loop.nativeLoop(), &lifetimeTimeout, &connection->lifetime);
    connections.insert(connection.get());
    socket->on_close.cb = Connection::onClose;
    socket->on_close.data = connection.release();
    h2o_accept(&acceptContext, socket);
}

int HttpServer::State::onRequest(h2o_handler_t* handler, h2o_req_t* req)
{
    reinterpret_cast<RequestHandler*>(handler)->state->answer(*req);
    return 0;
}

void HttpServer::State::answer(h2o_req_t& req)
{
    req.http1_is_persistent = 0;
    const auto pending = std::make_shared<PendingAnswer>();
    pending->req = &req;
    pending->hasBrowserClient = limits.hasBrowserClients;
    pending->timeout.cb = PendingAnswer::onTimeout;
    h2o_timeout_link(loop.nativeLoop(), &answerTimeout, &pending->timeout);
    // h2o disposes of the request's pool when the client has disconnected or the answer has been sent.
    using Guard = std::shared_ptr<PendingAnswer>;
    void* memory = h2o_mem_alloc_shared(&req.pool, sizeof(Guard), [](void* guard) {
        (*static_cast<Guard*>(guard))->detach();
        static_cast<Guard*>(guard)->~Guard();
    });
    new (memory) Guard(pending);

    HttpRequest request;
    request.method = toString(req.method);
    const auto path = toString(req.path);
    request.path = path.substr(0, req.query_at);
    if (req.query_at < path.size())
        request.query = path.substr(req.query_at + 1);
    request.host = toString(req.input.authority);
    request.authorization = headerOf(req, H2O_TOKEN_AUTHORIZATION);
    request.contentType = headerOf(req, H2O_TOKEN_CONTENT_TYPE);
    request.body = toString(req.entity);
    callHandler(std::move(request), pending);
}

// Stops exceptions of the handler: h2o is C code, and one request must not end the process.
void HttpServer::State::callHandler(HttpRequest request, const std::shared_ptr<PendingAnswer>& pending)
{
    const auto path = request.path;
    try {
        handler(std::move(request), [pending](const HttpResponse& response) { pending->send(response); });
    } catch (const std::exception& exception) {
        log(LogLevel::Error, "request_failed", { { "path", path }, { "reason", exception.what() } });
        pending->send({ 500, "application/json",
            R"({"error":"unavailable","message":"the request failed within the daemon; its log has the reason",)"
            R"("problems":[]})",
            {} });
    }
}

core::Result<std::unique_ptr<HttpServer>> HttpServer::listen(
    EventLoop& loop, core::Endpoint endpoint, HttpLimits limits, Handler handler)
{
    BOOST_LEAF_AUTO(fd, openListener(endpoint));
    // h2o writes without MSG_NOSIGNAL, so that a client that disconnects early would terminate the process by SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    auto state = std::make_unique<State>(loop, limits, std::move(handler));
    state->startListening(fd);
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer()
{
    m_state->closeListener();
    // h2o 2.2.5 cannot dispose of a context that has connections. The state is leaked, because the process exits soon.
    if (!m_state->connections.empty())
        static_cast<void>(m_state.release());
}

void HttpServer::stopAccepting()
{
    if (!m_state->listener)
        return;
    while (auto* socket = h2o_evloop_socket_accept(m_state->listener))
        m_state->admit(socket);
    m_state->closeListener();
}

core::Endpoint HttpServer::localEndpoint() const
{
    sockaddr_in address {};
    h2o_socket_getsockname(m_state->listener, reinterpret_cast<sockaddr*>(&address));
    return toEndpoint(address);
}

std::size_t HttpServer::openConnections() const
{
    return m_state->connections.size();
}

} // namespace ibisgw::adapters
