#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/FlowRecordTable.h"
#include "ibisgw/membership/MembershipEvents.h"
#include "ibisgw/membership/MessageSink.h"

#include <deque>

namespace ibisgw::membership {

// Spreads flow records among the daemons in scope, and repairs gaps from the origin or from a peer.
class FlowRecordExchange {
public:
    FlowRecordExchange(core::NodeId self, std::uint64_t epoch, core::RandomSource&);

    void publish(std::vector<std::uint8_t> record, core::TimePoint now);
    void handle(core::NodeId from, const GossipMessage&, core::TimePoint now, MessageSink&, MembershipEvents&);
    void tick(const std::vector<core::NodeId>& peers, std::size_t room, core::TimePoint now, MessageSink&);

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t newestSequence() const { return m_sequence; }
    const FlowRecordTable& table() const { return m_table; }

private:
    // False when the budget has no room for a record.
    bool relay(const std::vector<core::NodeId>& peers, std::size_t room, MessageSink&);
    void requestMissing(const std::vector<core::NodeId>& peers, core::TimePoint now, MessageSink&);

    core::NodeId m_self;
    std::uint64_t m_epoch;
    core::RandomSource& m_random;
    std::uint64_t m_sequence { 0 };
    FlowRecordTable m_table;
    // Records to pass on, the oldest first.
    std::deque<FlowRecordItem> m_pending;
    core::TimePoint m_nextRelayAt;
};

} // namespace ibisgw::membership
