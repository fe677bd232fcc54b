#pragma once

#include "ibisgw/balancer/PeerRelay.h"

#include <unordered_map>
#include <vector>

namespace ibisgw::balancer {

// Lets a new home ask the balancers that were the home of a flow before it. Without the question, a copy of
// an open that arrives after a change of homes would be placed at a second upstream, and requests of
// callers without tokens could run at both.
//
// The question is the packet itself, relayed with a hop count from firstQuestionHop. A previous home that knows
// the flow forwards the packet to its upstream; one that does not sends it back with the next hop count.
class HomeHandover {
public:
    // Callers repeat an open until its deadline; 5 s is the default deadline of a kind. About the other packets only
    // previous homes that still run are asked, as long as the ring retains them.
    static constexpr core::Duration memory = std::chrono::seconds(5);

    HomeHandover(const FlowHomes&, PeerRelay&);

    // After a change of the ring.
    void homesChanged();
    // True when the packet was relayed and nothing else is to be done with it.
    bool relay(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void tick(core::TimePoint now);

private:
    // Questions that were not answered. Balancers that know the flow forward the packet and do not answer.
    struct Question {
        core::TimePoint firstAskedAt;
        unsigned count { 0 };
    };

    std::vector<core::NodeId> previousHomes(const packet::Packet&, core::TimePoint now) const;
    bool hasEnded(const core::FlowKey&, core::NodeId, core::TimePoint now);

    const FlowHomes& m_homes;
    PeerRelay& m_relay;
    // About one flow and to one balancer, for balancers that are no longer in the ring.
    std::unordered_map<core::FlowKey, Question> m_questionsByFlow;
    std::unordered_map<core::NodeId, Question> m_questionsByNode;
};

} // namespace ibisgw::balancer
