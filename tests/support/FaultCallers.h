#pragma once

#include "support/BalancerGroup.h"

#include <map>
#include <unordered_map>

namespace support {

struct FaultCallersOptions {
    std::vector<ibisgw::core::Endpoint> services;
    ibisgw::core::KindId kind { 2 };
    std::uint32_t deadlineMs { 2000 };
    ibisgw::core::Duration retransmitAfter { std::chrono::milliseconds(200) };
    // Share of the flows whose caller sends the flow token of the `opened` packet with each later packet.
    double tokenShare { 0.5 };
    // Share of the flows whose caller sends the token of another flow, possibly one to another service.
    double foreignTokenShare { 0.03 };
    // Share of the requests that the caller cancels before they are answered.
    double cancelShare { 0.1 };
    unsigned maxRequestsPerFlow { 3 };
};

// Outcomes of all requests of FaultCallers. `falseNotRun` counts requests that were refused as not run although an
// upstream executed them, `crossedAnswers` answers that belong to another flow, request or upstream.
struct FaultCallerTotals {
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t outcomeUnknown { 0 };
    std::uint64_t falseNotRun { 0 };
    std::uint64_t crossedAnswers { 0 };
    std::uint64_t retriedFlows { 0 };
};

// Simulated callers for fault schedules. Each flow sends a few requests at once, retransmits unanswered ones, cancels
// some, and opens a new flow once if its open was refused. A refusal with request 0 refuses the open. Requests are sent
// only after an `opened`, and such a refusal says nothing about them, so that it is ignored once the flow is open.
class FaultCallers {
public:
    FaultCallers(FaultCallersOptions, BalancerGroup&, ibisgw::core::RandomSource&);

    void startFlow();
    FaultCallerTotals totals() const;

private:
    enum class Phase {
        Opening,
        Established,
        Ended,
    };
    enum class Outcome {
        NotSent,
        Pending,
        Answered,
        NotRun,
        Unknown,
    };
    struct Flow {
        ibisgw::core::FlowKey key;
        Phase phase { Phase::Opening };
        bool echoesToken { false };
        bool sendsForeignToken { false };
        bool mayRetry { true };
        ibisgw::core::UpstreamId upstream;
        ibisgw::packet::FlowToken token;
        ibisgw::core::TimePoint startedAt;
        // Outcomes by request identifier; identifiers start at 1.
        std::map<ibisgw::core::RequestId, Outcome> requests;
    };

    void startFlow(const ibisgw::core::Endpoint& service, bool mayRetry);
    void handlePacket(const ibisgw::packet::Packet&);
    void handleOpened(Flow&, const ibisgw::packet::Packet&);
    void handleAnswer(Flow&, const ibisgw::packet::Packet&);
    void handleRefusal(Flow&, const ibisgw::packet::Packet&);
    void endIfComplete(Flow&);
    // Ends the flow and gives all its unanswered requests this outcome.
    void end(Flow&, Outcome);
    void send(const Flow&, ibisgw::packet::PacketType, ibisgw::core::RequestId = 0);
    void scheduleRetransmission(const ibisgw::core::FlowKey&);
    void scheduleCancellation(const ibisgw::core::FlowKey&, ibisgw::core::RequestId);

    FaultCallersOptions m_options;
    BalancerGroup& m_group;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    std::unordered_map<ibisgw::core::FlowKey, Flow> m_flows;
    std::uint32_t m_nextAddress;
    // Token of the last flow that was opened; callers that use a foreign token send it.
    ibisgw::packet::FlowToken m_lastToken;
    std::uint64_t m_crossedAnswers { 0 };
    std::uint64_t m_retriedFlows { 0 };
};

} // namespace support
