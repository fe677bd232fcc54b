#include "fabric/Fabric.h"

#include <algorithm>

namespace standins {

using namespace ibisgw;

namespace {

// The time of five heartbeats; a balancer without one for longer receives no packets.
constexpr core::Duration heartbeatTimeout = std::chrono::seconds(1);

} // namespace

Fabric::Fabric(FabricOptions options, adapters::UdpSocket callerSide, adapters::UdpSocket upstreamSide)
    : m_options(options)
    , m_random(options.seed)
    , m_callerSide(callerSide)
    , m_upstreamSide(upstreamSide)
{
}

void Fabric::run()
{
    m_callerSide.receive(m_loop, [this](auto datagram, auto) { receiveFromCallers(datagram); });
    m_upstreamSide.receive(m_loop, [this](auto datagram, auto) { receiveFromUpstreams(datagram); });
    m_loop.run();
}

void Fabric::receiveFromCallers(std::span<const std::byte> datagram)
{
    for (int n = drawCopies(); n > 0; --n) {
        if (const auto* balancer = pickBalancer())
            m_callerSide.send(datagram, balancer->presence.callerSide);
    }
}

void Fabric::receiveFromUpstreams(std::span<const std::byte> datagram)
{
    if (const auto presence = adapters::decodePresence(datagram)) {
        updateBalancers(*presence);
        return;
    }
    for (int n = drawCopies(); n > 0; --n) {
        if (const auto* balancer = pickBalancer())
            m_upstreamSide.send(datagram, balancer->presence.upstreamSide);
    }
}

void Fabric::updateBalancers(const adapters::BalancerPresence& presence)
{
    std::erase_if(m_balancers, [&](const auto& it) { return it.presence.callerSide == presence.callerSide; });
    if (presence.kind == adapters::FrameKind::Heartbeat)
        m_balancers.push_back({ presence, m_loop.now() });
}

const Fabric::BalancerLink* Fabric::pickBalancer()
{
    const auto now = m_loop.now();
    std::erase_if(m_balancers, [&](const auto& it) { return now - it.lastHeartbeatAt > heartbeatTimeout; });
    return m_balancers.empty() ? nullptr : &m_balancers[m_random.below(m_balancers.size())];
}

int Fabric::drawCopies()
{
    if (m_random.chance(m_options.loss))
        return 0;
    return m_random.chance(m_options.duplication) ? 2 : 1;
}

} // namespace standins
