#include "ibisgw/membership/FlowRecordExchange.h"

#include "ibisgw/membership/PeerSelection.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

// Time between two sends, during which records are collected into common datagrams.
constexpr core::Duration relayInterval = std::chrono::milliseconds(200);
// The same in a small group, where each datagram is sent to all peers: eight datagrams five times a second would take
// 3.5 KB/s for headers.
constexpr core::Duration smallGroupInterval = std::chrono::seconds(1);
// Time until the next attempt when the budget had no room for a record.
constexpr core::Duration retryInterval = std::chrono::milliseconds(100);
// In large groups each daemon forwards a record to two peers, so that it reaches about 80 % of the daemons; the others
// request it. More copies would cost more bytes than the requests.
constexpr std::size_t relayFanout = 2;
constexpr std::size_t headerBytes = 60;
constexpr std::size_t recordOverheadBytes = 30;
constexpr std::size_t maxMessageBytes = 1200;
// Longest queue of records to send. Under sustained overload the oldest are dropped from it; peers later detect the
// gaps and request them.
constexpr std::size_t maxPending = 1024;
constexpr std::size_t maxRequestsPerMessage = 4;

} // namespace

FlowRecordExchange::FlowRecordExchange(core::NodeId self, std::uint64_t epoch, core::RandomSource& random)
    : m_self(self)
    , m_epoch(epoch)
    , m_random(random)
{
}

void FlowRecordExchange::publish(std::vector<std::uint8_t> record, core::TimePoint now)
{
    FlowRecordItem item { m_self, m_epoch, ++m_sequence, std::move(record) };
    m_table.add(item, now);
    m_pending.push_back(std::move(item));
}

void FlowRecordExchange::handle(
    core::NodeId from, const GossipMessage& message, core::TimePoint now, MessageSink& sink, MembershipEvents& events)
{
    m_table.noteNewest(from, message.flowEpoch, message.flowSequence, now);
    for (const auto& it : message.flowHeads) {
        if (it.origin != m_self)
            m_table.noteHeldRange(it, it.origin == from, now);
    }
    for (const auto& it : message.flowRecords) {
        if (it.origin == m_self || !m_table.add(it, now))
            continue;
        m_pending.push_back(it);
        events.flowRecordReceived(it);
    }
    for (const auto& it : message.flowRequests) {
        GossipMessage reply;
        reply.flowRecords = m_table.find(it, maxMessageBytes - headerBytes);
        if (!reply.flowRecords.empty())
            sink.post(Priority::FlowRecords, from, std::move(reply));
    }
}

void FlowRecordExchange::tick(
    const std::vector<core::NodeId>& peers, std::size_t room, core::TimePoint now, MessageSink& sink)
{
    if (peers.empty())
        return;
    requestMissing(peers, now, sink);
    if (m_pending.empty() || now < m_nextRelayAt)
        return;
    const auto interval = peers.size() < smallGroupSize ? smallGroupInterval : relayInterval;
    m_nextRelayAt = now + (relay(peers, room, sink) ? interval : retryInterval);
    while (m_pending.size() > maxPending)
        m_pending.pop_front();
}

bool FlowRecordExchange::relay(const std::vector<core::NodeId>& peers, std::size_t room, MessageSink& sink)
{
    const bool isSmall = peers.size() < smallGroupSize;
    // In a small group the origin sends its records to all peers, and no peer forwards them.
    if (isSmall)
        std::erase_if(m_pending, [this](const auto& it) { return it.origin != m_self; });
    const auto targets = isSmall ? peers : choosePeers(peers, relayFanout, m_random);
    const auto roomPerTarget = std::min(maxMessageBytes, room / targets.size());
    GossipMessage message;
    std::size_t bytes = headerBytes + ControlBudget::overheadBytes;
    while (!m_pending.empty()) {
        const auto& next = m_pending.front();
        const bool continuesRun = !message.flowRecords.empty() && message.flowRecords.back().origin == next.origin
            && message.flowRecords.back().sequence + 1 == next.sequence;
        bytes += next.record.size() + (continuesRun ? 2 : recordOverheadBytes);
        if (bytes > roomPerTarget)
            break;
        message.flowRecords.push_back(std::move(m_pending.front()));
        m_pending.pop_front();
    }
    if (message.flowRecords.empty())
        return false;
    for (const auto& it : targets)
        sink.post(Priority::FlowRecords, it, message);
    return true;
}

void FlowRecordExchange::requestMissing(const std::vector<core::NodeId>& peers, core::TimePoint now, MessageSink& sink)
{
    for (const auto& it : m_table.takeDueRequests(maxRequestsPerMessage, now)) {
        GossipMessage message;
        message.flowRequests.push_back(it);
        const bool isOriginReachable = std::find(peers.begin(), peers.end(), it.origin) != peers.end();
        // Half of the requests go to another peer, in case the origin has little budget left.
        const auto target
            = isOriginReachable && m_random.chance(0.5) ? it.origin : choosePeers(peers, 1, m_random).front();
        sink.post(Priority::FlowRecords, target, std::move(message));
    }
}

} // namespace ibisgw::membership
