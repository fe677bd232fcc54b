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
// the flow forwards the packet to its upstream; one that does not sends it back with the next hop count. An `opened`
// of an upstream is sent back by a previous home that agrees with it as well, so that the new home learns the flow; one
// that has moved the flow to another upstream answers with a reset. Without any answer the `opened` is taken as true.
class HomeHandover {
public:
    // Callers repeat an open until its deadline; 5 s is the default deadline of a kind. About the other packets only
    // previous homes that still run are asked, as long as the ring retains them.
    static constexpr core::Duration memory = std::chrono::seconds(5);

    // An `opened` of a flow that is not known here. The packet's payload is the one held with it.
    struct HeldOpened {
        packet::Packet packet;
        std::vector<std::byte> payload;
        core::TimePoint until;
    };

    HomeHandover(const FlowHomes&, PeerRelay&);

    // Whether another balancer asks with this packet.
    static bool isQuestion(const packet::Packet&);

    // After a change of the ring.
    void homesChanged();
    // True when the packet was relayed and nothing else is to be done with it.
    bool relay(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    // Answers a question about an `opened` of a flow that is known here: whether it comes from the flow's upstream.
    // False when there is no other home to answer.
    bool answerOpened(const packet::Packet&, bool isRight, core::TimePoint now, BalancerOutput&);
    // True when the packet is such an answer; the `opened` it is about is dropped.
    bool takeObjection(const packet::Packet&);
    // The `opened` packets whose questions stayed without an answer.
    std::vector<HeldOpened> takeUnanswered(core::TimePoint now);
    void tick(core::TimePoint now);

private:
    // Questions that were not answered. Balancers that know the flow forward the packet and do not answer.
    struct Question {
        core::TimePoint firstAskedAt;
        unsigned count { 0 };
    };

    void hold(const packet::Packet&, core::TimePoint now);
    // Sends an answer to the present home of the flow. False when that is this balancer, or there is none.
    bool answer(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    std::vector<core::NodeId> previousHomes(const packet::Packet&, core::TimePoint now) const;
    bool hasEnded(const core::FlowKey&, core::NodeId, core::TimePoint now);

    const FlowHomes& m_homes;
    PeerRelay& m_relay;
    // About one flow and to one balancer, for balancers that are no longer in the ring.
    std::unordered_map<core::FlowKey, Question> m_questionsByFlow;
    std::unordered_map<core::NodeId, Question> m_questionsByNode;
    std::unordered_map<core::FlowKey, HeldOpened> m_heldOpened;
};

} // namespace ibisgw::balancer
