#include "ibisgw/flow/DefaultPlacement.h"

#include "ibisgw/core/FlowKey.h"

#include <algorithm>
#include <cmath>

namespace ibisgw::flow {

namespace {

// Limits the memory for an upstream set that changes continuously.
constexpr std::size_t maxVersions = 16;

std::uint64_t zoneHash(const core::ZoneName& zone)
{
    // FNV-1a, because the hash must be the same on every balancer.
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char it : zone)
        hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3;
    return hash;
}

// Weighted rendezvous score (Schindelhauer and Schomaker, 2005). The zone with the highest score is selected.
double zoneScore(std::uint64_t flowHash, const ZoneUpstreams& zone)
{
    const auto hash = core::rendezvousWeight(flowHash, zoneHash(zone.zone));
    const auto unit = (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
    return static_cast<double>(zone.slots) / -std::log(unit);
}

const ZoneUpstreams* selectZone(const std::vector<ZoneUpstreams>& zones, std::uint64_t flowHash)
{
    if (zones.size() == 1)
        return zones.data();
    const ZoneUpstreams* best = nullptr;
    double bestScore = 0;
    for (const auto& it : zones) {
        const auto score = zoneScore(flowHash, it);
        if (!best || score > bestScore) {
            best = &it;
            bestScore = score;
        }
    }
    return best;
}

} // namespace

void DefaultPlacement::setUpstreams(std::vector<ZoneUpstreams> zones, core::TimePoint now)
{
    if (!m_versions.empty() && m_versions.back().zones == zones)
        return;
    // A version with which no flow was placed or derived is not retained. A joining balancer receives many of them.
    if (!m_versions.empty() && !m_versions.back().isUsed)
        m_versions.pop_back();
    if (!m_versions.empty())
        m_versions.back().supersededAt = now;
    m_versions.push_back({ std::move(zones), now, false });
    if (m_versions.size() > maxVersions)
        m_versions.pop_front();
}

void DefaultPlacement::dropOldVersions(core::TimePoint now)
{
    while (m_versions.size() > 1 && now - m_versions.front().supersededAt > versionRetention)
        m_versions.pop_front();
}

const core::ZoneName* DefaultPlacement::zoneOf(std::uint64_t flowHash) const
{
    const auto* zone = m_versions.empty() ? nullptr : selectZone(m_versions.back().zones, flowHash);
    return zone ? &zone->zone : nullptr;
}

core::UpstreamId DefaultPlacement::defaultOfVersion(const Version& version, std::uint64_t flowHash)
{
    const auto* zone = selectZone(version.zones, flowHash);
    core::UpstreamId best;
    std::uint64_t bestWeight = 0;
    if (!zone)
        return best;
    for (const auto& it : zone->upstreams) {
        const auto weight = core::rendezvousWeight(flowHash, it.value);
        if (!best.isValid() || weight > bestWeight) {
            best = it;
            bestWeight = weight;
        }
    }
    return best;
}

core::UpstreamId DefaultPlacement::defaultOf(std::uint64_t flowHash) const
{
    return m_versions.empty() ? core::UpstreamId {} : defaultOfVersion(m_versions.back(), flowHash);
}

core::UpstreamId DefaultPlacement::derivedUpstream(std::uint64_t flowHash) const
{
    const auto present = defaultOf(flowHash);
    for (const auto& it : m_versions) {
        if (defaultOfVersion(it, flowHash) != present)
            return {};
    }
    return present;
}

core::UpstreamId DefaultPlacement::useDerivedUpstream(std::uint64_t flowHash)
{
    if (!m_versions.empty())
        m_versions.back().isUsed = true;
    return derivedUpstream(flowHash);
}

std::vector<core::UpstreamId> DefaultPlacement::candidatesFor(std::uint64_t flowHash, const ShareOf& shareOf) const
{
    if (m_versions.empty())
        return {};
    std::vector<std::pair<double, const ZoneUpstreams*>> order;
    for (const auto& it : m_versions.back().zones)
        order.emplace_back(-zoneScore(flowHash, it), &it);
    std::ranges::sort(order);
    std::vector<core::UpstreamId> candidates;
    for (const auto& [score, zone] : order) {
        std::ranges::copy_if(zone->upstreams, std::back_inserter(candidates), [&](auto it) { return shareOf(it) > 0; });
        if (!candidates.empty())
            break;
    }
    return candidates;
}

core::UpstreamId DefaultPlacement::place(
    std::uint64_t flowHash, const ShareOf& shareOf, const IsNearMean& isNearMean, bool hasRoom)
{
    auto candidates = candidatesFor(flowHash, shareOf);
    if (candidates.empty())
        return {};
    m_versions.back().isUsed = true;
    std::ranges::sort(
        candidates, std::ranges::greater {}, [&](auto it) { return core::rendezvousWeight(flowHash, it.value); });
    std::size_t total = 1;
    double shares = 0;
    for (const auto& it : candidates) {
        total += flowCountOf(it);
        shares += shareOf(it);
    }
    // The mean is per share, so that the other upstreams may take the flows that a cold upstream doesn't get.
    const auto mean = static_cast<double>(total) / shares;
    const auto isBelow = [&](core::UpstreamId it, double bound) {
        return static_cast<double>(flowCountOf(it) + 1) <= std::ceil(bound * mean * shareOf(it));
    };
    const auto isBelowBound = [&](core::UpstreamId it) {
        return isBelow(it, loadBound) || (isNearMean(it) && isBelow(it, reportedLoadBound));
    };
    if (!hasRoom || isBelowBound(candidates.front()))
        return candidates.front();
    for (const auto& it : candidates) {
        // A cold upstream gets only flows for which it ranks first. Otherwise all flows above the bounds of the others
        // would be placed on it.
        if (isBelowBound(it) && shareOf(it) >= 1)
            return it;
    }
    return candidates.front();
}

void DefaultPlacement::addFlow(core::UpstreamId upstream)
{
    ++m_flows[upstream];
    ++m_flowCount;
}

void DefaultPlacement::removeFlow(core::UpstreamId upstream)
{
    const auto it = m_flows.find(upstream);
    if (it == m_flows.end())
        return;
    if (--it->second == 0)
        m_flows.erase(it);
    --m_flowCount;
}

std::size_t DefaultPlacement::flowCountOf(core::UpstreamId upstream) const
{
    const auto it = m_flows.find(upstream);
    return it == m_flows.end() ? 0 : it->second;
}

} // namespace ibisgw::flow
