#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/adapters/UdpSocket.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace standins {

struct CallerPoolOptions {
    ibisgw::core::Endpoint fabric;
    ibisgw::core::Endpoint service;
    ibisgw::core::KindId streamKind { 1 };
    ibisgw::core::KindId requestKind { 2 };
    unsigned streams { 0 };
    // Rate of short flows with one request each.
    unsigned requestsPerSecond { 0 };
    // New requests start during this time; the pool stops once the last ones have reached their deadline.
    std::chrono::milliseconds duration { 10000 };
    std::uint32_t deadlineMs { 2000 };
    // Whether callers send the token of the flow in each packet, as QUIC endpoints send connection identifiers.
    bool echoToken { true };
};

// Simulates many callers behind one socket: each flow has its own address in 127.0.0.0/8. Keeps streams open, sends
// requests on short flows, and counts their outcomes.
class CallerPool {
public:
    CallerPool(CallerPoolOptions, ibisgw::adapters::UdpSocket);

    void run();
    nlohmann::json report() const;

private:
    enum class Phase {
        Opening,
        Established, // streams only
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
        Phase phase { Phase::Opening };
        Outcome outcome { Outcome::Pending };
        bool isBroken { false };
        // Counted under break_reasons in the report.
        std::string breakReason;
        std::string upstream;
        ibisgw::packet::FlowToken token;
        ibisgw::core::TimePoint startedAt;
        ibisgw::core::TimePoint lastSentAt;
        ibisgw::core::TimePoint lastReceivedAt;
    };

    void receive(std::span<const std::byte>);
    void handleReply(CallerFlow&, const ibisgw::packet::Packet&);
    void tick();
    void startFlow(bool isStream);
    void sendDuePackets(CallerFlow&, ibisgw::core::TimePoint now);
    void sendDueStreamPackets(CallerFlow&, ibisgw::core::TimePoint now);
    void send(CallerFlow&, ibisgw::packet::PacketType);
    void endRequest(CallerFlow&, Outcome);
    static void breakFlow(CallerFlow&, const char* reason);
    static bool appliesToCurrentPhase(const CallerFlow&, const ibisgw::packet::Packet& refusal);

    CallerPoolOptions m_options;
    ibisgw::adapters::UdpSocket m_socket;
    ibisgw::adapters::EventLoop m_loop;
    ibisgw::core::TimePoint m_startedAt;
    std::unordered_map<ibisgw::core::FlowKey, CallerFlow> m_flows;
    std::vector<ibisgw::core::FlowKey> m_active;
    std::uint32_t m_nextAddress;
    std::uint64_t m_requestsStarted { 0 };
    std::uint64_t m_unexpectedReplies { 0 };
    ibisgw::adapters::Datagram m_buffer;
};

} // namespace standins
