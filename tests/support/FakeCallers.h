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
    // Interval between the data packets of a stream. A long interval simulates an idle flow.
    ibisgw::core::Duration streamPeriod { std::chrono::seconds(1) };
    // A stream counts as broken if a data packet is not echoed within this time, despite retransmissions.
    ibisgw::core::Duration streamTimeout { std::chrono::seconds(5) };
    // Whether the callers send the flow token of the `opened` packet with each later packet.
    bool echoesToken { true };
};

struct CallerTotals {
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t outcomeUnknown { 0 };
    // Requests that were refused as not run although an upstream executed them.
    std::uint64_t falseNotRun { 0 };
    // Answers to a request that the caller did not send, or from an upstream other than the flow's.
    std::uint64_t crossedAnswers { 0 };
    // Streams that were reset, timed out, were answered by another upstream, or were never opened.
    std::uint64_t brokenStreams { 0 };
    std::uint64_t brokenStreamsWithoutToken { 0 };
};

// Simulated callers in virtual time. Each flow is either a stream, which stays open and exchanges data periodically, or
// a short flow with a single request.
class FakeCallers {
public:
    FakeCallers(FakeCallersOptions, BalancerGroup&);

    ibisgw::core::FlowKey openStream();
    // Opens a stream whose data interval and use of tokens differ from the options.
    ibisgw::core::FlowKey openStream(ibisgw::core::Duration period, bool echoesToken);
    void startRequest();
    void closeStream(const ibisgw::core::FlowKey&);
    // Starts requests with Poisson arrivals until the given time.
    void startArrivals(double requestsPerSecond, ibisgw::core::TimePoint until, ibisgw::core::RandomSource&);

    void handlePacket(const ibisgw::packet::Packet&);
    CallerTotals totals() const;
    std::size_t establishedStreams() const;
    // Broken streams whose upstream is not the given one.
    std::uint64_t brokenStreamsElsewhere(ibisgw::core::UpstreamId) const;
    std::vector<ibisgw::core::FlowKey> establishedStreamsOn(ibisgw::core::UpstreamId) const;
    // Number of established streams on each upstream.
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
        bool echoesToken { true };
        ibisgw::core::Duration period { 0 };
        Phase phase { Phase::Opening };
        Outcome outcome { Outcome::Pending };
        bool isBroken { false };
        ibisgw::core::UpstreamId upstream;
        ibisgw::packet::FlowToken token;
        ibisgw::core::TimePoint startedAt;
        ibisgw::core::TimePoint lastReceivedAt;
        // Whether the last data packet has not been echoed yet.
        bool isAwaitingEcho { false };
        // When the next data packet of the stream is due: one period after the last one was first sent.
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
