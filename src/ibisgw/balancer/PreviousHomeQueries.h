#pragma once

#include "ibisgw/balancer/PeerRelay.h"

#include <unordered_map>
#include <vector>

namespace ibisgw::balancer {

// Queries from the new home of a flow to the balancers that were its home before. Without a query, a copy of an open
// that arrives after a change of homes would be placed at a second upstream, and requests of callers without tokens
// could run at both.
//
// The query is the packet itself, relayed with a hop count of at least firstQueryHop. A previous home that has the flow
// in its table forwards the packet to the flow's upstream and sends no reply; one without the flow returns the packet
// with the next hop count. To a query about an `opened` packet, a previous home that has the flow replies as well: it
// returns the packet if that came from the flow's upstream, so that the new home enters the flow in its table, and
// sends a reset if it has moved the flow to another upstream. If no reply arrives in time, the new home accepts the
// `opened` packet.
class PreviousHomeQueries {
public:
    // A home that was replaced longer ago than this gets no queries about opens: callers repeat an open until its
    // deadline, and 5 s is the default deadline of a kind. Queries about other packets go only to previous homes that
    // are still running, for as long as the ring retains them.
    static constexpr core::Duration openRetryWindow = std::chrono::seconds(5);

    // An `opened` packet held until the previous home replies or `until` is reached. The packet's payload refers to the
    // copy in this struct.
    struct HeldOpened {
        packet::Packet packet;
        std::vector<std::byte> payload;
        core::TimePoint until;
    };

    PreviousHomeQueries(const FlowHomes&, PeerRelay&);

    // True when the hop count marks the packet as a query of another balancer.
    static bool isQuery(const packet::Packet&);

    // To be called after each change of the ring. Discards the unanswered queries to balancers that are in the ring
    // again.
    void homesChanged();
    // Sends the packet as a query to the next previous home or, if the packet is a query itself, returns it to the home
    // as a reply. True when the caller has nothing more to do with the packet: it was sent, or dropped.
    bool relay(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    // Replies to a query about an `opened` packet of a flow in this balancer's table; the reply says whether the packet
    // came from the flow's upstream. False when no other balancer is the home and no reply was sent.
    bool replyToOpened(const packet::Packet&, bool isFlowUpstream, core::TimePoint now, BalancerOutput&);
    // Drops the held `opened` packet if this packet is the reply of a previous home that has moved the flow to another
    // upstream. False for all other packets.
    bool handleRejection(const packet::Packet&);
    // Removes and returns the held `opened` packets to which no previous home has replied in time.
    std::vector<HeldOpened> takeTimedOut(core::TimePoint now);
    void tick(core::TimePoint now);

private:
    // Number of queries without a reply. It also grows while a previous home forwards the packets of a flow in its
    // table, because it sends no reply to them.
    struct PendingQuery {
        core::TimePoint firstSentAt;
        unsigned count { 0 };
    };

    void hold(const packet::Packet&, core::TimePoint now);
    // Sends a reply to the present home of the flow. False when that is this balancer, or there is none.
    bool sendReply(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    std::vector<core::NodeId> previousHomes(const packet::Packet&, core::TimePoint now) const;
    // True when a balancer that is no longer in the ring is assumed to have stopped; otherwise counts another query to
    // it. Always false for a running balancer.
    bool isUnresponsive(const core::FlowKey&, core::NodeId, core::TimePoint now);

    const FlowHomes& m_homes;
    PeerRelay& m_relay;
    // Unanswered queries to balancers that are no longer in the ring, by flow and by balancer.
    std::unordered_map<core::FlowKey, PendingQuery> m_pendingByFlow;
    std::unordered_map<core::NodeId, PendingQuery> m_pendingByNode;
    std::unordered_map<core::FlowKey, HeldOpened> m_heldOpened;
};

} // namespace ibisgw::balancer
