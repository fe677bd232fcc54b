#include "ibisgw/sync/ColdStartPermits.h"

#include "ibisgw/core/FlowKey.h"

#include <algorithm>
#include <vector>

namespace ibisgw::sync {

namespace {

// Reports are sent every 1.2 s, and one that isn't acknowledged is repeated once within a second. The permits of two
// reports may thus be used in one second, and together they are what the service allows.
constexpr double reportsPerSecond = 2;

// Larger numbers of permits are no limit in practice.
constexpr double maxPermits = 1e6;

// Longer than any delay of a report to this controller.
constexpr core::Duration offerRetention = std::chrono::seconds(60);

std::uint32_t permitsOf(double warmUpPerSecond)
{
    return static_cast<std::uint32_t>(std::clamp(warmUpPerSecond / reportsPerSecond, 1.0, maxPermits));
}

bool isNewer(const upstream::ReportId& report, const upstream::ReportId& known)
{
    return std::pair(report.incarnation, report.sequence) > std::pair(known.incarnation, known.sequence);
}

// Appends the balancers with the highest rendezvous weights for the report, until `count` are chosen.
void choose(std::vector<core::NodeId>& chosen, std::span<const core::NodeId> balancers,
    const upstream::ReportId& report, std::size_t count)
{
    const auto key
        = core::rendezvousWeight(core::rendezvousWeight(report.instance.value, report.incarnation), report.sequence);
    std::vector<core::NodeId> ranked(balancers.begin(), balancers.end());
    std::ranges::sort(
        ranked, std::greater {}, [key](core::NodeId it) { return core::rendezvousWeight(key, it.value); });
    ranked.resize(std::min(ranked.size(), count - std::min(count, chosen.size())));
    chosen.insert(chosen.end(), ranked.begin(), ranked.end());
}

} // namespace

void ColdStartPermits::offer(const upstream::InstanceReport& report, double warmUpPerSecond,
    std::span<const core::NodeId> near, std::span<const core::NodeId> others, core::TimePoint now, SyncOutput& output)
{
    if (warmUpPerSecond <= 0 || report.coldRemaining <= core::Duration::zero()
        || report.state != upstream::InstanceState::Ready)
        return;
    const upstream::ReportId id { report.id, report.incarnation, report.sequence };
    const auto [entry, isFirst] = m_offers.try_emplace(report.id);
    auto& offer = entry->second;
    if (!isFirst && !isNewer(id, offer.report))
        return;
    offer = { id, now, {} };
    const auto permits = permitsOf(warmUpPerSecond);
    const auto count = std::min<std::size_t>(maxBalancers, permits);
    std::vector<core::NodeId> chosen;
    choose(chosen, near, id, count);
    choose(chosen, others, id, count);
    for (std::size_t n = 0; n < chosen.size(); ++n) {
        const bool hasRemainder = n < permits % chosen.size();
        offer.shares[chosen[n]] = static_cast<std::uint32_t>(permits / chosen.size()) + (hasRemainder ? 1 : 0);
        output.send(chosen[n], ColdStartOffer { id });
    }
}

void ColdStartPermits::handle(core::NodeId from, const ColdStartClaim& claim, core::TimePoint now, SyncOutput& output)
{
    const auto found = m_offers.find(claim.report.instance);
    if (found == m_offers.end() || found->second.report != claim.report)
        return;
    auto& offer = found->second;
    const auto share = offer.shares.find(from);
    if (share == offer.shares.end() || now - offer.offeredAt > claimTimeout)
        return;
    m_grantedPermits += share->second;
    output.send(from, ColdStartGrant { claim.report, claim.number, share->second });
    offer.shares.erase(share);
}

void ColdStartPermits::expire(core::TimePoint now)
{
    std::erase_if(m_offers, [now](const auto& it) { return now - it.second.offeredAt > offerRetention; });
}

} // namespace ibisgw::sync
