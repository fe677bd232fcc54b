#include "ibisgw/configuration/EvacuationOrders.h"

#include "ibisgw/configuration/EvacuationCodec.h"

namespace ibisgw::configuration {

EvacuationOrders::EvacuationOrders(RaftNode& raft, const RegisterState& state)
    : m_raft(raft)
    , m_state(state)
{
}

std::optional<OrderTicket> EvacuationOrders::begin(
    const EvacuationOrder& order, core::TimePoint now, RaftOutput& output)
{
    if (!m_raft.isAccepting())
        return std::nullopt;
    const auto current = newest();
    const auto ordered = order.appliedTo(current.evacuations);
    if (ordered == current.evacuations)
        return confirm(current.index, now, output);
    return propose(ordered, now, output);
}

std::optional<OrderTicket> EvacuationOrders::propose(
    const upstream::ZoneEvacuations& evacuations, core::TimePoint now, RaftOutput& output)
{
    if (evacuations.zones.size() > maxEvacuatedZones)
        return std::nullopt;
    const auto term = m_raft.term();
    const auto index = m_raft.propose(RegisterState::encode(evacuations), now, output);
    if (!index)
        return std::nullopt;
    return OrderTicket { term, *index, std::nullopt };
}

std::optional<OrderTicket> EvacuationOrders::confirm(LogIndex index, core::TimePoint now, RaftOutput& output)
{
    const auto read = m_raft.beginRead(now, output);
    if (!read)
        return std::nullopt;
    return OrderTicket { read->term, index, read };
}

// Another leader may write another set with the same revision, also at the same index, so neither a revision nor an
// index alone tells that the order is in force. A leader never replaces entries of its own log, so on the leader of the
// term the entry at the index is the one that was noted. A deposed leader may hold a set that another leader has
// replaced since, so an order that changes nothing also needs the confirmed read.
OrderStatus EvacuationOrders::statusOf(const OrderTicket& ticket) const
{
    if (m_raft.role() != RaftRole::Leader || m_raft.term() != ticket.term)
        return OrderStatus::Unknown;
    const auto read = ticket.read ? m_raft.readState(*ticket.read) : ReadState::Ready;
    if (read == ReadState::Lost)
        return OrderStatus::Unknown;
    const bool isCommitted = m_raft.appliedIndex() >= ticket.index;
    return isCommitted && read == ReadState::Ready ? OrderStatus::Acknowledged : OrderStatus::Pending;
}

// The revisions in a log increase, because each leader starts from the newest set in its log.
EvacuationOrders::LoggedSet EvacuationOrders::newest() const
{
    const auto& log = m_raft.log();
    for (auto index = log.lastIndex(); index > m_raft.appliedIndex(); --index) {
        const auto& entry = log.at(index);
        auto evacuations
            = entry.kind == EntryKind::Command ? RegisterState::evacuationsOf(entry.command) : std::nullopt;
        if (evacuations)
            return { index, std::move(*evacuations) };
    }
    return { 0, m_state.evacuations() };
}

} // namespace ibisgw::configuration
