#include "ibisgw/membership/JoinProcess.h"

#include "ibisgw/membership/PeerSelection.h"

namespace ibisgw::membership {

namespace {

// Doubles with each attempt: when a zone starts, all daemons ask the same few seeds.
constexpr core::Duration firstRetryInterval = std::chrono::milliseconds(500);
constexpr core::Duration maxRetryInterval = std::chrono::seconds(4);
constexpr core::Duration refreshInterval = std::chrono::seconds(5);
// While a zone starts, the seeds themselves know few members yet.
constexpr core::Duration earlyDuration = std::chrono::seconds(30);
constexpr core::Duration reconnectInterval = std::chrono::seconds(2);
// A daemon whose seeds do not answer serves alone after this time: all daemons may be starting.
constexpr core::Duration aloneAfter = std::chrono::seconds(5);
constexpr std::size_t seedsAtOnce = 3;
// Delegates keep in touch with other zones; seeds there are asked about once a minute, in case all delegates of a
// zone changed while it was cut off. Asked by all daemons every few seconds, they would need their whole budget.
constexpr double outOfScopeShare = 0.05;

} // namespace

JoinProcess::JoinProcess(core::NodeId self, std::vector<core::NodeId> seeds, core::RandomSource& random)
    : m_self(self)
    , m_seeds(std::move(seeds))
    , m_random(random)
    , m_retryInterval(firstRetryInterval)
{
    std::erase(m_seeds, self);
}

void JoinProcess::restart(core::TimePoint now)
{
    m_isJoined = false;
    m_cursor = {};
    m_startedAt = now;
    m_nextRequestAt = now;
    m_retryInterval = firstRetryInterval;
}

std::vector<JoinProcess::Request> JoinProcess::takeDueRequests(const MemberTable& members, core::TimePoint now)
{
    std::vector<Request> requests;
    if (!m_startedAt)
        m_startedAt = now;
    if (m_seeds.empty() && members.records().empty())
        m_isJoined = true;
    if (!m_isJoined && now - *m_startedAt >= aloneAfter)
        m_isJoined = true;
    if (now >= m_nextRequestAt) {
        m_nextRequestAt = now + (m_isJoined ? refreshInterval : m_retryInterval + randomPart(m_retryInterval));
        m_retryInterval = std::min(2 * m_retryInterval, maxRetryInterval);
        auto targets = members.reachable();
        if (targets.empty() || (!m_isJoined && !m_cursor.isValid()))
            targets.insert(targets.end(), m_seeds.begin(), m_seeds.end());
        for (const auto& it : choosePeers(targets, m_isJoined || m_cursor.isValid() ? 1 : seedsAtOnce, m_random))
            requests.push_back({ it, m_cursor });
    }
    if (now >= m_nextReconnectAt) {
        m_nextReconnectAt = now + reconnectInterval + randomPart(reconnectInterval);
        if (const auto target = chooseReconnect(members))
            requests.push_back({ *target, {} });
    }
    return requests;
}

void JoinProcess::noteReply(core::NodeId last, core::TimePoint now)
{
    m_cursor = last;
    if (!last.isValid())
        m_isJoined = true;
    else if (!m_isJoined || now - m_startedAt.value_or(now) < earlyDuration)
        m_nextRequestAt = now;
}

core::Duration JoinProcess::randomPart(core::Duration duration)
{
    return core::Duration(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(duration.count()))));
}

std::optional<core::NodeId> JoinProcess::chooseReconnect(const MemberTable& members)
{
    std::vector<core::NodeId> candidates;
    for (const auto& [id, record] : members.records()) {
        if (record.member.state == MemberState::Dead)
            candidates.push_back(id);
    }
    for (const auto& it : m_seeds) {
        if (!members.find(it) && (!m_outOfScope.contains(it) || m_random.chance(outOfScopeShare)))
            candidates.push_back(it);
    }
    const auto chosen = choosePeers(std::move(candidates), 1, m_random);
    return chosen.empty() ? std::nullopt : std::optional(chosen.front());
}

} // namespace ibisgw::membership
