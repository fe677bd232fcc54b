#include "ibisgw/runtime/ConnectProber.h"

#include "ibisgw/adapters/SocketAddress.h"

#include <cerrno>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibisgw::runtime {

using direct::ProbeResult;

namespace {

// Far above the round-trip time between zones, and below the retransmission timeout of callers.
constexpr core::Duration probeTimeout = std::chrono::milliseconds(125);

int openSocket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

// Returns 0 or an error number, EINPROGRESS in the usual case.
int connectTo(int fd, core::Endpoint target)
{
    const auto address = adapters::toSocketAddress(target);
    return ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ? 0 : errno;
}

ProbeResult resultOf(int error)
{
    switch (error) {
    case 0:
    // The upstream accepted the connection and closed it, for example because it holds as many as it may.
    case ECONNRESET:
        return ProbeResult::Answered;
    // This VM lacks ports or memory.
    case EADDRNOTAVAIL:
    case EAGAIN:
    case ENOBUFS:
        return ProbeResult::NotSent;
    default:
        return ProbeResult::Refused;
    }
}

// Empty while the connection attempt is in progress.
std::optional<ProbeResult> outcomeOf(int fd)
{
    pollfd events { fd, POLLOUT, 0 };
    if (::poll(&events, 1, 0) <= 0)
        return std::nullopt;
    int error = 0;
    socklen_t n = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
    return resultOf(error);
}

} // namespace

ConnectProber::ConnectProber(ResultHandler handler)
    : m_handler(std::move(handler))
{
}

ConnectProber::~ConnectProber()
{
    cancelAll();
}

void ConnectProber::probe(upstream::InstanceId id, core::Endpoint target, core::TimePoint now)
{
    auto& probe = m_probes[id];
    closeSocket(probe);
    probe = { openSocket(), now + probeTimeout, std::nullopt };
    ++m_probeCount;
    if (probe.fd < 0) {
        probe.result = ProbeResult::NotSent;
        return;
    }
    const int error = connectTo(probe.fd, target);
    if (error != EINPROGRESS)
        probe.result = resultOf(error);
}

void ConnectProber::tick(core::TimePoint now)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto& probe = it->second;
        auto result = probe.result ? probe.result : outcomeOf(probe.fd);
        if (!result && now >= probe.deadline)
            result = ProbeResult::NoAnswer;
        if (!result) {
            ++it;
            continue;
        }
        const auto id = it->first;
        closeSocket(probe);
        it = m_probes.erase(it);
        m_handler(id, *result);
    }
}

void ConnectProber::cancelAll()
{
    for (auto& [id, probe] : m_probes)
        closeSocket(probe);
    m_probes.clear();
}

void ConnectProber::closeSocket(Probe& probe)
{
    if (probe.fd >= 0)
        ::close(probe.fd);
    probe.fd = -1;
}

} // namespace ibisgw::runtime
