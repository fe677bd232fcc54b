#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/FlowRecordTable.h"
#include "ibisgw/membership/MembershipEvents.h"
#include "ibisgw/membership/MessageSink.h"

#include <deque>

namespace ibisgw::membership {

// Exchanges flow records among the daemons in scope. Each record is sent to some or all peers; records that a daemon
// has missed show as gaps in the sequence of the origin and are requested from the origin or from another peer.
class FlowRecordExchange {
public:
    FlowRecordExchange(core::NodeId self, std::uint64_t epoch, core::RandomSource&);

    // Assigns the next sequence number to a record of this daemon and queues it.
    void publish(std::vector<std::uint8_t> record, core::TimePoint now);
    void handle(core::NodeId from, const GossipMessage&, core::TimePoint now, MessageSink&, MembershipEvents&);
    void tick(const std::vector<core::NodeId>& peers, std::size_t room, core::TimePoint now, MessageSink&);

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t newestSequence() const { return m_sequence; }
    const FlowRecordTable& table() const { return m_table; }

private:
    // Sends queued records to peers; false when the budget has no room for any.
    bool relay(const std::vector<core::NodeId>& peers, std::size_t room, MessageSink&);
    void requestMissing(const std::vector<core::NodeId>& peers, core::TimePoint now, MessageSink&);

    core::NodeId m_self;
    std::uint64_t m_epoch;
    core::RandomSource& m_random;
    std::uint64_t m_sequence { 0 };
    FlowRecordTable m_table;
    // Records to send, the oldest first.
    std::deque<FlowRecordItem> m_pending;
    core::TimePoint m_nextRelayAt;
};

} // namespace ibisgw::membership
