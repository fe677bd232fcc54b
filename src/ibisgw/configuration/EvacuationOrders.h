#pragma once

#include "ibisgw/configuration/EvacuationOrder.h"
#include "ibisgw/configuration/RaftNode.h"
#include "ibisgw/configuration/RegisterState.h"

#include <optional>

namespace ibisgw::configuration {

// What an order waits for at the leader that took it.
struct OrderTicket {
    Term term { 0 };
    // Entry with the ordered set. 0 if that set was applied when the order arrived.
    LogIndex index { 0 };
    // Read that was begun after the order arrived, if the order changes nothing. An order that changes the set needs
    // none: the commit of its entry confirms the leadership.
    std::optional<ReadTicket> read;
};

enum class OrderStatus : std::uint8_t {
    Acknowledged, // the order is in force, durable on a majority of the voters
    Pending, // not committed or not confirmed yet
    Unknown, // this controller is no longer the leader of that term; the sender repeats the order at any controller
};

// Takes orders to evacuate zones on the leader of a Raft group, and decides when they may be acknowledged.
class EvacuationOrders {
public:
    // The set with the highest revision in the log, committed or not, and its entry; index 0 if it is applied.
    struct LoggedSet {
        LogIndex index { 0 };
        upstream::ZoneEvacuations evacuations;
    };

    EvacuationOrders(RaftNode&, const RegisterState&);

    // Proposes the set that results from the order, or begins a read if the order changes nothing. Empty when this
    // controller is not a leader that accepts commands, or when the store failed.
    std::optional<OrderTicket> begin(const EvacuationOrder&, core::TimePoint now, RaftOutput&);
    OrderStatus statusOf(const OrderTicket&) const;
    LoggedSet newest() const;

private:
    std::optional<OrderTicket> propose(const upstream::ZoneEvacuations&, core::TimePoint now, RaftOutput&);
    std::optional<OrderTicket> confirm(LogIndex, core::TimePoint now, RaftOutput&);

    RaftNode& m_raft;
    const RegisterState& m_state;
};

} // namespace ibisgw::configuration
