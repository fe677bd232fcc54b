#include "ibisgw/adapters/detail/WebSocketSession.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace ibisgw::adapters::detail {

namespace {

// Largest received message. Limits the memory that one peer can occupy; a configuration document has at most 1 MiB.
constexpr std::size_t maxMessageBytes = std::size_t { 4 } * 1024 * 1024;

template <typename WebSocketEndpoint> class Session final : public WebSocketSession {
public:
    using Connection = typename WebSocketEndpoint::connection_ptr;

    explicit Session(Callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
        m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
        m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    ~Session() override
    {
        // The connection may outlive the session, because pending handlers hold references to it.
        if (m_connection) {
            m_connection->set_write_handler([](auto, const char*, std::size_t) { return std::error_code(); });
            m_connection->set_message_handler([](auto, auto) {});
            m_connection->set_open_handler([](auto) {});
            m_connection->set_close_handler([](auto) {});
            m_connection->set_fail_handler([](auto) {});
        }
    }

    WebSocketEndpoint& endpoint() { return m_endpoint; }

    void attach(Connection connection)
    {
        m_connection = std::move(connection);
        m_connection->set_max_message_size(maxMessageBytes);
        m_connection->set_write_handler([this](auto, const char* data, std::size_t n) {
            m_callbacks.write(data, n);
            return std::error_code();
        });
        m_connection->set_message_handler(
            [this](auto, const auto& message) { m_callbacks.message(message->get_payload()); });
        m_connection->set_open_handler([this](auto) { m_callbacks.opened(); });
        m_connection->set_close_handler([this](auto) { m_callbacks.closed(); });
        m_connection->set_fail_handler([this](auto) { m_callbacks.closed(); });
    }

    Connection& connection() { return m_connection; }

    void receive(const char* data, std::size_t n) override { m_connection->read_all(data, n); }

    bool send(const void* data, std::size_t n) override
    {
        if (m_connection->get_state() != websocketpp::session::state::open)
            return false;
        return !m_connection->send(data, n, websocketpp::frame::opcode::binary);
    }

private:
    Callbacks m_callbacks;
    WebSocketEndpoint m_endpoint;
    Connection m_connection;
};

} // namespace

WebSocketSession::~WebSocketSession() = default;

std::unique_ptr<WebSocketSession> WebSocketSession::connect(const std::string& uri, Callbacks callbacks)
{
    using Client = websocketpp::client<websocketpp::config::core_client>;
    auto session = std::make_unique<Session<Client>>(std::move(callbacks));
    websocketpp::lib::error_code ec;
    auto connection = session->endpoint().get_connection(uri, ec);
    if (ec)
        return nullptr;
    session->attach(connection);
    session->endpoint().connect(connection);
    return session;
}

std::unique_ptr<WebSocketSession> WebSocketSession::accept(Callbacks callbacks)
{
    using Server = websocketpp::server<websocketpp::config::core>;
    auto session = std::make_unique<Session<Server>>(std::move(callbacks));
    auto connection = session->endpoint().get_connection();
    session->attach(connection);
    connection->start();
    return session;
}

} // namespace ibisgw::adapters::detail
