#include "ibisgw/direct/PendingPackets.h"

#include <utility>

namespace ibisgw::direct {

bool PendingPackets::add(std::span<const std::byte> packet, core::TimePoint arrivedAt, core::TimePoint now)
{
    if (now - arrivedAt > lifetime) {
        ++m_expiredCount;
        return false;
    }
    if (m_bytes + packet.size() > maxBytes)
        return false;
    m_bytes += packet.size();
    m_packets.push_back({ { packet.begin(), packet.end() }, arrivedAt });
    return true;
}

std::vector<PendingPacket> PendingPackets::take()
{
    m_bytes = 0;
    return std::exchange(m_packets, {});
}

bool PendingPackets::hasExpired(core::TimePoint now) const
{
    return !m_packets.empty() && now - m_packets.front().arrivedAt > lifetime;
}

} // namespace ibisgw::direct
