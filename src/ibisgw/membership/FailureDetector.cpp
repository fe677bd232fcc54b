#include "ibisgw/membership/FailureDetector.h"

#include "ibisgw/membership/MembershipSettings.h"

#include <algorithm>
#include <cmath>

namespace ibisgw::membership {

namespace {

// Probe timeouts grow to at most five times their base, so that an overloaded daemon still detects failures in bounded
// time.
constexpr int maxLocalHealth = 4;
constexpr core::Duration suspectPingInterval = std::chrono::milliseconds(400);
// Pings that a suspect receives from all members together in each interval, which it can answer within its budget.
constexpr std::size_t pingsPerSuspectInterval = 6;
// Independent suspicions by other members after which the timeout is minSuspicion.
constexpr std::size_t confirmationsForMinSuspicion = 2;

} // namespace

FailureDetector::Actions::~Actions() = default;

FailureDetector::FailureDetector(const MemberTable& members, core::RandomSource& random)
    : m_members(members)
    , m_random(random)
{
}

void FailureDetector::tick(core::TimePoint now, bool suppressDeaths, Actions& actions)
{
    checkProbe(now, actions);
    checkSuspects(now, suppressDeaths, actions);
    if (now >= m_nextProbeAt && !m_probe.isActive)
        startProbe(now, actions);
}

void FailureDetector::noteAck(std::uint64_t probe)
{
    if (!m_probe.isActive || probe != m_probe.number)
        return;
    m_probe.isActive = false;
    m_localHealth = std::max(0, m_localHealth - 1);
}

void FailureDetector::degradeLocalHealth()
{
    m_localHealth = std::min(maxLocalHealth, m_localHealth + 1);
}

void FailureDetector::reset(core::TimePoint now)
{
    m_probe = {};
    m_round.clear();
    m_nextSuspectPing.clear();
    m_nextProbeAt = now + probeInterval;
}

void FailureDetector::checkProbe(core::TimePoint now, Actions& actions)
{
    if (!m_probe.isActive)
        return;
    if (!m_probe.isIndirect && now - m_probe.startedAt >= scaled(directProbeTimeout)) {
        m_probe.isIndirect = true;
        auto helpers = m_members.reachable();
        std::erase(helpers, m_probe.target);
        for (std::size_t n = 0; n < indirectProbes && !helpers.empty(); ++n) {
            const auto index = m_random.below(helpers.size());
            actions.sendPingRequest(helpers[index], m_probe.target, m_probe.number);
            helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    if (now - m_probe.startedAt < scaled(probeInterval))
        return;
    m_probe.isActive = false;
    const auto* record = m_members.find(m_probe.target);
    if (!record || record->member.state == MemberState::Dead)
        return;
    degradeLocalHealth();
    // A leaving member is expected to stop, so it is declared dead without a suspicion.
    if (record->member.state == MemberState::Leaving)
        actions.declareDead(m_probe.target);
    else
        actions.suspect(m_probe.target);
}

void FailureDetector::checkSuspects(core::TimePoint now, bool suppressDeaths, Actions& actions)
{
    std::vector<core::NodeId> dead;
    for (const auto& [id, record] : m_members.records()) {
        if (record.member.state != MemberState::Suspect) {
            m_nextSuspectPing.erase(id);
            continue;
        }
        auto& nextPing = m_nextSuspectPing.try_emplace(id, now).first->second;
        if (now >= nextPing) {
            nextPing = now + suspectPingInterval;
            if (m_random.below(m_members.records().size()) < pingsPerSuspectInterval)
                actions.sendPing(id, nextProbeNumber());
        }
        // A member whose messages still arrive and that is not isolated is slow, not dead: it loses probes or answers
        // them too late.
        const bool isSlow = record.lastMessageAt > record.changedAt && now - record.lastMessageAt < maxSuspicion;
        if (!suppressDeaths && !isSlow && now - record.changedAt >= suspicionTimeout(record))
            dead.push_back(id);
    }
    for (const auto& it : dead)
        actions.declareDead(it);
}

void FailureDetector::startProbe(core::TimePoint now, Actions& actions)
{
    m_nextProbeAt = now + probeInterval;
    const auto target = nextTarget();
    if (!target.isValid())
        return;
    m_probe = { target, nextProbeNumber(), now, false, true };
    actions.sendPing(target, m_probe.number);
}

core::NodeId FailureDetector::nextTarget()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_round.empty()) {
            const auto id = m_round.back();
            m_round.pop_back();
            const auto* record = m_members.find(id);
            if (record && record->member.state != MemberState::Dead)
                return id;
        }
        m_round = m_members.reachable();
        for (std::size_t n = m_round.size(); n > 1; --n)
            std::swap(m_round[n - 1], m_round[m_random.below(n)]);
    }
    return {};
}

// Decreases from maxSuspicion to minSuspicion with the logarithm of the number of independent suspicions (Lifeguard,
// section IV-B).
core::Duration FailureDetector::suspicionTimeout(const MemberTable::Record& record) const
{
    const auto others = m_members.reachableCount();
    const auto needed = std::min(confirmationsForMinSuspicion, others > 2 ? others - 2 : 0);
    const auto confirmations = record.suspecters.empty() ? 0 : std::min(record.suspecters.size() - 1, needed);
    if (needed == 0)
        return maxSuspicion;
    const double share
        = std::log(1.0 + static_cast<double>(confirmations)) / std::log(1.0 + static_cast<double>(needed));
    const auto range = static_cast<double>((maxSuspicion - minSuspicion).count());
    return maxSuspicion - core::Duration(static_cast<std::int64_t>(range * share));
}

} // namespace ibisgw::membership
