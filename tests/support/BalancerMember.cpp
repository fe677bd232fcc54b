#include "support/BalancerMember.h"

namespace support {

using namespace ibisgw;

namespace {

flow::FlowTokenCodec makeTokenCodec()
{
    flow::TokenKey key {};
    key[0] = std::byte { 7 };
    return { key, std::nullopt };
}

} // namespace

BalancerMember::BalancerMember(balancer::BalancerOptions options, core::RandomSource& random)
    : m_balancer(std::move(options), makeTokenCodec(), random)
{
}

void BalancerMember::handleCallerPacket(const Packet& packet, TimePoint now, Output& output)
{
    m_balancer.handleCallerPacket(packet, now, output);
}

void BalancerMember::handleRelayedPacket(const Packet& packet, TimePoint now, Output& output)
{
    m_balancer.handleRelayedPacket(packet, now, output);
}

void BalancerMember::handleUpstreamPacket(const Packet& packet, TimePoint now, Output& output)
{
    m_balancer.handleUpstreamPacket(packet, now, output);
}

void BalancerMember::handleAnnouncement(const upstream::Announcement& announcement, TimePoint now)
{
    m_balancer.handleAnnouncement(announcement, now);
}

void BalancerMember::tick(TimePoint now, Output& output)
{
    m_balancer.tick(now, output);
}

} // namespace support
