#include "ibisgw/adapters/StreamTransport.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/TcpStream.h"
#include "ibisgw/adapters/detail/WebSocketSession.h"

#include <cerrno>
#include <cstring>
#include <deque>
#include <h2o.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibisgw::adapters {

namespace {

// Wait before a broken connection is opened again, so that a dead peer costs little.
constexpr core::Duration reconnectDelay = std::chrono::milliseconds(200);

// Messages that wait for a connection; older ones are dropped first, because the newest state counts.
constexpr std::size_t maxPendingMessages = 16;

// Connections accepted at once; at most seven controllers and the daemons that submit changes.
constexpr std::size_t maxIncomingLinks = 256;

constexpr int listenBacklog = 64;

} // namespace

struct StreamTransport::Link {
    std::unique_ptr<TcpStream> stream;
    std::unique_ptr<detail::WebSocketSession> session;
    std::deque<std::vector<std::byte>> pending;
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
                for (const auto& it : pending)
                    session->send(it.data(), it.size());
                pending.clear();
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
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    socklen_t n = sizeof address;
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), n) != 0 || ::listen(fd, listenBacklog) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(fd);
        return core::fail(core::ErrorKind::IoFailed,
            "cannot listen on " + endpoint.toString() + ": " + reason + "; choose a free control address");
    }
    m_loop.watchReadable(fd, [this, fd] { acceptLink(fd); });
    return core::Endpoint { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

void StreamTransport::acceptLink(int listener)
{
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (m_incoming.size() >= maxIncomingLinks) {
            ::close(fd);
            continue;
        }
        auto link = std::make_unique<Link>();
        auto& held = *link;
        m_incoming.push_back(std::move(link));
        held.session = detail::WebSocketSession::accept(held.sessionCallbacks(*this));
        auto* socket = h2o_evloop_socket_create(m_loop.nativeLoop(), fd, H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
        held.stream = TcpStream::adopt(socket, held.streamCallbacks([] {}));
    }
}

std::unique_ptr<StreamTransport::Link> StreamTransport::openLink(core::NodeId peer)
{
    auto link = std::make_unique<Link>();
    auto* held = link.get();
    const auto uri = "ws://" + peer.endpoint().toString() + "/control";
    held->stream = TcpStream::connect(m_loop, peer.endpoint(), held->streamCallbacks([this, held, uri] {
        held->session = detail::WebSocketSession::connect(uri, held->sessionCallbacks(*this));
    }));
    held->openedAt = m_loop.now();
    held->isClosed = !held->stream;
    return link;
}

void StreamTransport::send(core::NodeId peer, Channel channel, std::span<const std::byte> body, core::TimePoint now)
{
    auto& link = m_outgoing[peer];
    if (link && link->isClosed && now - link->openedAt < reconnectDelay)
        return;
    if (!link || link->isClosed)
        link = openLink(peer);
    std::vector<std::byte> message;
    if (!m_authenticator.seal(channel, body, message))
        return;
    if (link->isOpen) {
        link->session->send(message.data(), message.size());
        return;
    }
    if (link->pending.size() >= maxPendingMessages)
        link->pending.pop_front();
    link->pending.push_back(std::move(message));
}

void StreamTransport::tick()
{
    std::erase_if(m_incoming, [](const auto& it) { return it->isClosed; });
}

void StreamTransport::receive(const std::string& message)
{
    const auto opened = m_authenticator.open(std::as_bytes(std::span(message)));
    if (!opened) {
        ++m_malformedMessages;
        return;
    }
    m_receiver(opened->sender, opened->channel, opened->body);
}

} // namespace ibisgw::adapters
