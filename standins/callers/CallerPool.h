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
    // Short flows with one request each, for each second.
    unsigned requestsPerSecond { 0 };
    std::chrono::milliseconds duration { 10000 };
    std::uint32_t deadlineMs { 2000 };
    // Whether the callers echo flow tokens, as QUIC connection identifiers do.
    bool echoToken { true };
};

// Stand-in of many callers behind one socket: each flow has its own address in 127.0.0.0/8.
// Keeps streams open, sends requests on short flows, and counts what became of them.
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
        bool broken { false };
        // Why the flow counts as broken; for the report.
        std::string breakReason;
        std::string upstream;
        ibisgw::packet::FlowToken token;
        ibisgw::core::TimePoint startedAt;
        ibisgw::core::TimePoint lastSent;
        ibisgw::core::TimePoint lastHeard;
    };

    void receive(std::span<const std::byte>);
    void handleReply(CallerFlow&, const ibisgw::packet::Packet&);
    void tick();
    void startFlow(bool isStream);
    void drive(CallerFlow&, ibisgw::core::TimePoint now);
    void driveStream(CallerFlow&, ibisgw::core::TimePoint now);
    void send(CallerFlow&, ibisgw::packet::PacketType);
    void endRequest(CallerFlow&, Outcome);
    static void breakFlow(CallerFlow&, const char* reason);
    static bool refersToPhase(const CallerFlow&, const ibisgw::packet::Packet& refusal);

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
