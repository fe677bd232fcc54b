#pragma once

#include "support/BalancerGroup.h"

#include <unordered_map>

namespace support {

struct FakeCallersOptions {
    ibisgw::core::Endpoint service;
    ibisgw::core::KindId streamKind { 1 };
    ibisgw::core::KindId requestKind { 2 };
    std::uint32_t deadlineMs { 2000 };
    ibisgw::core::Duration retransmitAfter { std::chrono::milliseconds(300) };
    // Streams send data this often; a quiet flow uses a long period.
    ibisgw::core::Duration streamPeriod { std::chrono::seconds(1) };
    ibisgw::core::Duration streamTimeout { std::chrono::seconds(5) };
    bool echoToken { true };
};

struct CallerTotals {
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t outcomeUnknown { 0 };
    // Refused as not run although an upstream ran the request.
    std::uint64_t falseNotRun { 0 };
    // Answers for a request that the caller did not send, or from another upstream than the flow's.
    std::uint64_t crossedAnswers { 0 };
    std::uint64_t brokenStreams { 0 };
    std::uint64_t brokenStreamsWithoutToken { 0 };
};

// Callers in virtual time: keep streams open and send one request on each short flow.
class FakeCallers {
public:
    FakeCallers(FakeCallersOptions, BalancerGroup&);

    ibisgw::core::FlowKey openStream();
    // With its own period and its own way with tokens.
    ibisgw::core::FlowKey openStream(ibisgw::core::Duration period, bool echoToken);
    void startRequest();
    void closeStream(const ibisgw::core::FlowKey&);
    // Poisson arrivals of requests until the given time.
    void startArrivals(double requestsPerSecond, ibisgw::core::TimePoint until, ibisgw::core::RandomSource&);

    void handlePacket(const ibisgw::packet::Packet&);
    CallerTotals totals() const;
    std::size_t establishedStreams() const;
    // Broken streams that are or were on other upstreams than the given one.
    std::uint64_t brokenStreamsElsewhere(ibisgw::core::UpstreamId) const;
    std::vector<ibisgw::core::FlowKey> establishedStreamsOn(ibisgw::core::UpstreamId) const;
    // Established, unbroken flows of streams for each upstream.
    std::unordered_map<ibisgw::core::UpstreamId, std::uint64_t> streamsByUpstream() const;

private:
    enum class Phase {
        Opening,
        Established,
        Requesting,
        Ended,
    };
    enum class Outcome {
        Pending,
        Answered,
        NotRun,
        Unknown,
    };
    struct CallerFlow {
        ibisgw::core::FlowKey key;
        bool isStream { false };
        bool echoToken { true };
        ibisgw::core::Duration period { 0 };
        Phase phase { Phase::Opening };
        Outcome outcome { Outcome::Pending };
        bool broken { false };
        ibisgw::core::UpstreamId upstream;
        ibisgw::packet::FlowToken token;
        ibisgw::core::TimePoint startedAt;
        ibisgw::core::TimePoint lastHeard;
        bool awaitsData { false };
        // When the next stream data is due; one period after the last.
        ibisgw::core::TimePoint nextDataAt;
    };

    CallerFlow& startFlow(bool isStream);
    void scheduleRetransmission(const ibisgw::core::FlowKey&);
    void scheduleStreamData(const ibisgw::core::FlowKey&);
    void send(CallerFlow&, ibisgw::packet::PacketType);
    void endRequest(CallerFlow&, Outcome);
    void breakStream(CallerFlow&);

    FakeCallersOptions m_options;
    BalancerGroup& m_group;
    MessageQueue& m_queue;
    std::unordered_map<ibisgw::core::FlowKey, CallerFlow> m_flows;
    std::uint32_t m_nextAddress;
    std::uint64_t m_crossedAnswers { 0 };
};

} // namespace support
