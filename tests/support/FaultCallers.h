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
    // Share of the flows whose caller echoes the flow token.
    double tokenShare { 0.5 };
    // Share of the flows whose caller sends the token of another flow, perhaps of another service.
    double foreignTokenShare { 0.03 };
    // Share of the requests that the caller cancels while they are unanswered.
    double cancelShare { 0.1 };
    unsigned maxRequestsPerFlow { 3 };
};

struct FaultCallerTotals {
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t outcomeUnknown { 0 };
    std::uint64_t falseNotRun { 0 };
    std::uint64_t crossedAnswers { 0 };
    std::uint64_t retriedFlows { 0 };
};

// Callers for fault schedules: each flow sends a few requests at once, retransmits what is unanswered,
// cancels some, and opens a new flow after an open was refused. A refusal with request 0 refuses the
// open; it says nothing about requests that were sent after an `opened`, so it is ignored from then on.
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
        // By request identifier, which starts at 1.
        std::map<ibisgw::core::RequestId, Outcome> requests;
    };

    void startFlow(const ibisgw::core::Endpoint& service, bool mayRetry);
    void handlePacket(const ibisgw::packet::Packet&);
    void handleOpened(Flow&, const ibisgw::packet::Packet&);
    void handleAnswer(Flow&, const ibisgw::packet::Packet&);
    void handleRefusal(Flow&, const ibisgw::packet::Packet&);
    void endIfComplete(Flow&);
    // Ends the flow; unanswered requests get the outcome.
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
    // Token of the flow that was opened last.
    ibisgw::packet::FlowToken m_lastToken;
    std::uint64_t m_crossedAnswers { 0 };
    std::uint64_t m_retriedFlows { 0 };
};

} // namespace support
