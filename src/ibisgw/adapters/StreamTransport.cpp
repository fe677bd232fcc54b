#include "ibisgw/adapters/StreamTransport.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/SocketAddress.h"
#include "ibisgw/adapters/TcpStream.h"
#include "ibisgw/adapters/detail/WebSocketSession.h"

#include <cerrno>
#include <cstring>
#include <deque>
#include <h2o.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibisgw::adapters {

namespace {

// Shortest time between two attempts to connect to the same peer; limits the cost of an unreachable peer.
constexpr core::Duration reconnectDelay = std::chrono::milliseconds(200);

// Messages queued while a connection is being opened. The oldest is dropped first, because newer messages supersede it.
constexpr std::size_t maxPendingMessages = 16;

// Connections accepted at the same time: from at most seven controllers and from the daemons that submit changes.
constexpr std::size_t maxIncomingConnections = 256;

constexpr int listenBacklog = 64;

} // namespace

// Outgoing or incoming connection: a TCP stream with a WebSocket session on top.
struct StreamTransport::Connection {
    std::unique_ptr<TcpStream> stream;
    std::unique_ptr<detail::WebSocketSession> session;
    std::deque<std::vector<std::byte>> pendingMessages;
    core::TimePoint openedAt;
    bool isOpen { false };
    bool isClosed { false };

    detail::WebSocketSession::Callbacks sessionCallbacks(StreamTransport& transport)
    {
        return { [this, &transport](const char* data, std::size_t n) {
                    transport.m_bytesSent += n;
                    if (stream)
                        stream->write(data, n);
                },
            [&transport](const std::string& message) { transport.receive(message); },
            [this] {
                isOpen = true;
                for (const auto& it : pendingMessages)
                    session->send(it.data(), it.size());
                pendingMessages.clear();
            },
            [this] { isClosed = true; } };
    }

    TcpStream::Callbacks streamCallbacks(std::function<void()> connected)
    {
        return { std::move(connected),
            [this](const char* data, std::size_t n) {
                if (session && !isClosed)
                    session->receive(data, n);
            },
            [this] { isClosed = true; } };
    }
};

StreamTransport::StreamTransport(EventLoop& loop, MessageAuthenticator& authenticator, Receiver receiver)
    : m_loop(loop)
    , m_authenticator(authenticator)
    , m_receiver(std::move(receiver))
{
}

StreamTransport::~StreamTransport() = default;

core::Result<core::Endpoint> StreamTransport::listen(core::Endpoint endpoint)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = toSocketAddress(endpoint);
    socklen_t n = sizeof address;
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), n) != 0 || ::listen(fd, listenBacklog) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(fd);
        return core::fail(core::ErrorKind::IoFailed,
            "cannot listen on " + endpoint.toString() + ": " + reason + "; choose a free control address");
    }
    m_loop.watchReadable(fd, [this, fd] { acceptConnections(fd); });
    return toEndpoint(address);
}

void StreamTransport::acceptConnections(int listener)
{
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (m_incoming.size() >= maxIncomingConnections) {
            ::close(fd);
            continue;
        }
        auto connection = std::make_unique<Connection>();
        auto& accepted = *connection;
        m_incoming.push_back(std::move(connection));
        accepted.session = detail::WebSocketSession::accept(accepted.sessionCallbacks(*this));
        auto* socket = h2o_evloop_socket_create(m_loop.nativeLoop(), fd, H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
        accepted.stream = TcpStream::adopt(socket, accepted.streamCallbacks([] {}));
    }
}

std::unique_ptr<StreamTransport::Connection> StreamTransport::openConnection(core::NodeId peer)
{
    auto connection = std::make_unique<Connection>();
    auto* opened = connection.get();
    const auto uri = "ws://" + peer.endpoint().toString() + "/control";
    opened->stream = TcpStream::connect(m_loop, peer.endpoint(), opened->streamCallbacks([this, opened, uri] {
        opened->session = detail::WebSocketSession::connect(uri, opened->sessionCallbacks(*this));
    }));
    opened->openedAt = m_loop.now();
    opened->isClosed = !opened->stream;
    return connection;
}

void StreamTransport::send(core::NodeId peer, Channel channel, std::span<const std::byte> body, core::TimePoint now)
{
    auto& connection = m_outgoing[peer];
    if (connection && connection->isClosed && now - connection->openedAt < reconnectDelay)
        return;
    if (!connection || connection->isClosed)
        connection = openConnection(peer);
    std::vector<std::byte> message;
    if (!m_authenticator.seal(channel, body, message))
        return;
    if (connection->isOpen) {
        connection->session->send(message.data(), message.size());
        return;
    }
    if (connection->pendingMessages.size() >= maxPendingMessages)
        connection->pendingMessages.pop_front();
    connection->pendingMessages.push_back(std::move(message));
}

void StreamTransport::tick()
{
    std::erase_if(m_incoming, [](const auto& it) { return it->isClosed; });
}

void StreamTransport::receive(const std::string& message)
{
    const auto opened = m_authenticator.open(std::as_bytes(std::span(message)));
    if (!opened) {
        ++m_rejectedMessages;
        return;
    }
    m_receiver(opened->sender, opened->channel, opened->body);
}

} // namespace ibisgw::adapters
