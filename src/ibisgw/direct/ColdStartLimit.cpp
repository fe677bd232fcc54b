#include "ibisgw/direct/ColdStartLimit.h"

#include <algorithm>
#include <utility>

namespace ibisgw::direct {

namespace {

using upstream::InstanceRecord;
using upstream::InstanceState;

// Reports come every 1.2 s, so the permits of two regular reports are hardly ever valid at the same time.
constexpr core::Duration permitValidity = std::chrono::seconds(1);

// More than the upstreams of the largest deployment, each with two reports a second.
constexpr std::size_t maxClaims = 10'000;

// At most one in this many upstreams of a service is assumed to be cold. A zone that restarts as a whole has a third of
// them; silence of more has another cause, such as an overload, and must not take the rest out of use.
constexpr std::size_t assumedColdDivisor = 3;

} // namespace

ColdStartLimit::ColdStartLimit(const upstream::InstanceDirectory& directory)
    : m_directory(directory)
{
}

void ColdStartLimit::setServices(const std::vector<ServiceConfiguration>& services)
{
    m_services.clear();
    for (const auto& it : services) {
        if (it.warmUpPerSecond > 0)
            m_services.emplace(it.name, Service { it.coldStart });
    }
    std::erase_if(m_outages, [this](const auto& it) { return !m_services.contains(it.second.service); });
}

bool ColdStartLimit::claim(const upstream::ReportId& report, std::uint64_t number, core::TimePoint now)
{
    if (m_claims.size() >= maxClaims)
        expire(now);
    return m_claims.size() < maxClaims && m_claims.try_emplace(report, Claim { number, now }).second;
}

void ColdStartLimit::grant(
    const upstream::ReportId& report, std::uint64_t claim, std::uint32_t permits, core::TimePoint now)
{
    const auto found = m_claims.find(report);
    if (found == m_claims.end() || found->second.number != claim || permits == 0)
        return;
    const auto claimedAt = found->second.claimedAt;
    m_claims.erase(found);
    if (now >= claimedAt + permitValidity)
        return;
    // Rounded up, so that no more permits than granted fit into the validity.
    const auto interval = (permitValidity + core::Duration(permits - 1)) / permits;
    m_grants[report.instance].push_back({ report.incarnation, interval, claimedAt, claimedAt + permitValidity });
    m_grantedPermits += permits;
}

void ColdStartLimit::discardPermits()
{
    m_claims.clear();
    m_grants.clear();
}

void ColdStartLimit::noteOutage(const InstanceRecord& record, core::TimePoint now)
{
    const auto service = m_services.find(record.report.service);
    if (service == m_services.end() || service->second.coldStart == core::Duration::zero())
        return;
    const auto found = m_outages.find(record.report.id);
    if (found != m_outages.end()) {
        found->second = { record.report.service, record.report.incarnation, now };
        return;
    }
    auto& [coldStart, ready, assumedCold] = service->second;
    if (assumedCold > 0 && (assumedCold + 1) * assumedColdDivisor > ready)
        return;
    ++assumedCold;
    m_outages[record.report.id] = { record.report.service, record.report.incarnation, now };
}

bool ColdStartLimit::isReportedSince(const Outage& outage, const InstanceRecord& record)
{
    return record.report.incarnation != outage.incarnation || record.renewedAt > outage.lastSeenAt;
}

bool ColdStartLimit::isAssumedCold(const InstanceRecord& record, core::TimePoint now) const
{
    const auto found = m_outages.find(record.report.id);
    if (found == m_outages.end() || isReportedSince(found->second, record))
        return false;
    const auto service = m_services.find(record.report.service);
    return service != m_services.end() && now < found->second.lastSeenAt + service->second.coldStart;
}

bool ColdStartLimit::isCold(const InstanceRecord& record, core::TimePoint now) const
{
    return now < record.warmAt || isAssumedCold(record, now);
}

bool ColdStartLimit::Grant::isUsableFor(const InstanceRecord& record, core::TimePoint now) const
{
    return incarnation == record.report.incarnation && now >= nextPermitAt && now < validUntil;
}

bool ColdStartLimit::admits(const InstanceRecord& record, core::TimePoint now) const
{
    if (!isLimited(record.report.service) || !isCold(record, now))
        return true;
    const auto found = m_grants.find(record.report.id);
    return found != m_grants.end()
        && std::ranges::any_of(found->second, [&](const Grant& it) { return it.isUsableFor(record, now); });
}

void ColdStartLimit::notePlaced(const InstanceRecord& record, core::TimePoint now)
{
    if (!isLimited(record.report.service) || !isCold(record, now))
        return;
    const auto found = m_grants.find(record.report.id);
    if (found == m_grants.end())
        return;
    auto& grants = found->second;
    const auto grant = std::ranges::find_if(grants, [&](const Grant& it) { return it.isUsableFor(record, now); });
    if (grant == grants.end())
        return;
    grant->nextPermitAt = std::max(grant->nextPermitAt, now) + grant->interval;
    ++m_usedPermits;
}

void ColdStartLimit::update(core::TimePoint now)
{
    expire(now);
    if (!m_services.empty() || !m_limited.empty())
        countUpstreams(now);
}

void ColdStartLimit::expire(core::TimePoint now)
{
    std::erase_if(m_claims, [now](const auto& it) { return now >= it.second.claimedAt + permitValidity; });
    for (auto& [id, grants] : m_grants)
        std::erase_if(grants, [now](const Grant& it) { return now >= it.validUntil; });
    std::erase_if(m_grants, [](const auto& it) { return it.second.empty(); });
    std::erase_if(m_outages, [&](const auto& it) {
        const auto* record = m_directory.find(it.first);
        return !record || !isAssumedCold(*record, now);
    });
}

void ColdStartLimit::countUpstreams(core::TimePoint now)
{
    for (auto& [name, service] : m_services)
        service.readyUpstreams = service.assumedCold = 0;
    for (const auto& [id, outage] : m_outages)
        ++m_services.at(outage.service).assumedCold;
    for (const auto& [id, record] : m_directory.records()) {
        const auto service = m_services.find(record.report.service);
        const bool isCounted = service != m_services.end() && record.report.state == InstanceState::Ready;
        if (isCounted)
            ++service->second.readyUpstreams;
        setLimited(record, isCounted && isCold(record, now));
    }
    std::erase_if(m_limited, [this](const auto& it) { return !m_directory.find(it.first); });
}

void ColdStartLimit::setLimited(const InstanceRecord& record, bool isLimited)
{
    const auto id = record.report.id;
    if (m_limited.contains(id) == isLimited)
        return;
    if (isLimited)
        m_limited.emplace(id, record.report.service);
    else
        m_limited.erase(id);
    m_changes.push_back({ id, record.report.service, isLimited });
}

std::vector<ColdStartChange> ColdStartLimit::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace ibisgw::direct
