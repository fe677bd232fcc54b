#include "ibisgw/membership/JoinProcess.h"

#include "ibisgw/membership/PeerSelection.h"

namespace ibisgw::membership {

namespace {

// The interval doubles with each attempt, since all daemons request the list from the same few seeds when a zone
// starts.
constexpr core::Duration firstRetryInterval = std::chrono::milliseconds(500);
constexpr core::Duration maxRetryInterval = std::chrono::seconds(4);
// Time between requests once the list was received.
constexpr core::Duration refreshInterval = std::chrono::seconds(5);
// For this time after a start the next part of a list is requested at once, also when a whole list was received before:
// while a zone starts, the seeds themselves hold few members.
constexpr core::Duration startupPeriod = std::chrono::seconds(30);
// Time between join requests to dead members and to seeds that are not members; a random part of up to as much is
// added.
constexpr core::Duration reconnectInterval = std::chrono::seconds(2);
// A daemon whose seeds have not answered after this time starts to serve without them: all daemons may be starting.
constexpr core::Duration joinTimeout = std::chrono::seconds(5);
constexpr std::size_t seedsPerRequest = 3;
// Probability that a seed out of scope is a candidate for a reconnect, which contacts it about once a minute. Delegates
// maintain the contact between zones; this request helps when all delegates of a zone changed during a partition. Seeds
// that received it from all daemons every few seconds would spend their whole budget on replies.
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
    if (!m_isJoined && now - *m_startedAt >= joinTimeout)
        m_isJoined = true;
    if (now >= m_nextRequestAt) {
        m_nextRequestAt = now + (m_isJoined ? refreshInterval : m_retryInterval + randomPart(m_retryInterval));
        m_retryInterval = std::min(2 * m_retryInterval, maxRetryInterval);
        auto targets = members.reachable();
        if (targets.empty() || (!m_isJoined && !m_cursor.isValid()))
            targets.insert(targets.end(), m_seeds.begin(), m_seeds.end());
        for (const auto& it : choosePeers(targets, m_isJoined || m_cursor.isValid() ? 1 : seedsPerRequest, m_random))
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
    else if (!m_isJoined || now - m_startedAt.value_or(now) < startupPeriod)
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
