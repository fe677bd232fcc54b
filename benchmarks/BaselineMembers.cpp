#include "BaselineMembers.h"

#include <algorithm>

namespace bench {

using namespace ibisgw;
using packet::PacketType;

BaselineMember::~BaselineMember() = default;

void BaselineMember::handleCallerPacket(const Packet& packet, TimePoint, Output& output)
{
    const auto upstream = upstreamFor(packet);
    if (!upstream.isValid())
        return;
    auto forwarded = packet;
    forwarded.upstream = upstream;
    output.sendToUpstream(upstream, forwarded);
}

void BaselineMember::handleRelayedPacket(const Packet&, TimePoint, Output&) { }

void BaselineMember::handleUpstreamPacket(const Packet& packet, TimePoint, Output& output)
{
    output.sendToCaller(packet);
}

void BaselineMember::handleAnnouncement(const upstream::Announcement& announcement, TimePoint now)
{
    m_upstreams.apply(announcement, now);
    m_eligible = m_upstreams.eligible(announcement.service);
}

void BaselineMember::tick(TimePoint now, Output&)
{
    m_upstreams.removeExpired(now);
    std::erase_if(m_eligible, [this](auto it) { return !m_upstreams.find(it); });
}

core::UpstreamId RendezvousBaseline::upstreamFor(const Packet& packet)
{
    const auto hash = packet.flow.hash();
    core::UpstreamId best;
    std::uint64_t bestWeight = 0;
    for (const auto& it : eligible()) {
        const auto weight = core::rendezvousWeight(hash, it.value);
        if (!best.isValid() || weight > bestWeight) {
            best = it;
            bestWeight = weight;
        }
    }
    return best;
}

core::UpstreamId LeastFlowsBaseline::upstreamFor(const Packet& packet)
{
    if (const auto it = m_flows.find(packet.flow); it != m_flows.end()) {
        const auto upstream = it->second;
        if (packet.type == PacketType::Close) {
            --m_flowsByUpstream[upstream];
            m_flows.erase(it);
        }
        return upstream;
    }
    if (eligible().empty())
        return {};
    const auto fewestFlows
        = *std::ranges::min_element(eligible(), {}, [this](auto it) { return m_flowsByUpstream[it]; });
    if (packet.type == PacketType::Open) {
        m_flows.emplace(packet.flow, fewestFlows);
        ++m_flowsByUpstream[fewestFlows];
    }
    return fewestFlows;
}

} // namespace bench
