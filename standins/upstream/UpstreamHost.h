#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/adapters/UdpSocket.h"

#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace standins {

struct UpstreamHostOptions {
    std::string service;
    std::string zone;
    ibisgw::core::Endpoint fabric;
    std::uint16_t slots { 2 };
    // Limit of requests that wait for a slot; further ones are refused as not run.
    std::size_t queueLimit { 8 };
    std::chrono::milliseconds serviceTime { 50 };
    std::chrono::milliseconds warmUp { 0 };
    // Announcements carry the load of this long ago, which simulates stale load reports.
    std::chrono::milliseconds reportLag { 1000 };
    // Limit of a drain; flows that are still open then are abandoned.
    std::chrono::milliseconds drainLimit { 30000 };
    // File with one line for each executed request: caller address, request identifier, kind.
    std::string journalFile;
};

// Simulates an upstream: accepts flows, echoes stream data, runs requests in a few slots, sheds load, honours deadlines
// and cancellation, announces its state and load, and drains on SIGTERM or SIGUSR1.
class UpstreamHost {
public:
    UpstreamHost(UpstreamHostOptions, ibisgw::adapters::UdpSocket);

    void run();

private:
    enum class RequestState {
        Waiting,
        Running,
        Answered,
        Refused,
    };
    struct FlowState {
        std::map<ibisgw::core::RequestId, RequestState> requests;
    };
    struct PendingRequest {
        ibisgw::core::FlowKey flow;
        ibisgw::core::KindId kind { 0 };
        ibisgw::core::RequestId request { 0 };
        std::optional<ibisgw::core::TimePoint> deadline;
        ibisgw::core::TimePoint finishesAt;
    };
    struct LoadSample {
        ibisgw::core::TimePoint at;
        std::uint16_t busySlots { 0 };
    };

    void receive(std::span<const std::byte>);
    void handleRequest(const ibisgw::packet::Packet&);
    void resendOutcome(const ibisgw::packet::Packet&, RequestState);
    void cancel(const ibisgw::packet::Packet&);
    void closeFlow(const ibisgw::core::FlowKey&);
    void tick();
    void startWaiting(ibisgw::core::TimePoint now);
    void finishRunning(ibisgw::core::TimePoint now);
    void setRequestState(const PendingRequest&, RequestState);
    void announce();
    ibisgw::upstream::UpstreamState currentState(ibisgw::core::TimePoint now) const;
    void reply(ibisgw::packet::PacketType, const ibisgw::core::FlowKey&, ibisgw::core::KindId, ibisgw::core::RequestId,
        ibisgw::packet::RefusalKind = ibisgw::packet::RefusalKind::None);
    bool isDrained(ibisgw::core::TimePoint now) const;

    UpstreamHostOptions m_options;
    ibisgw::adapters::UdpSocket m_socket;
    ibisgw::adapters::EventLoop m_loop;
    ibisgw::core::UpstreamId m_id;
    ibisgw::core::Incarnation m_incarnation;
    std::string m_address;
    ibisgw::core::TimePoint m_startedAt;
    std::uint64_t m_sequence { 0 };
    std::unordered_map<ibisgw::core::FlowKey, FlowState> m_flows;
    std::deque<PendingRequest> m_waiting;
    std::vector<PendingRequest> m_running;
    std::deque<LoadSample> m_loadHistory;
    std::optional<ibisgw::core::TimePoint> m_drainStartedAt;
    std::ofstream m_journal;
    ibisgw::adapters::Datagram m_buffer;
};

} // namespace standins
