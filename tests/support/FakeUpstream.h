#pragma once

#include "ibisgw/packet/Packet.h"
#include "ibisgw/upstream/Announcement.h"
#include "support/ExecutionLog.h"
#include "support/MessageQueue.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace support {

struct FakeUpstreamOptions {
    ibisgw::core::UpstreamId id;
    ibisgw::core::ServiceName service;
    ibisgw::core::Endpoint serviceAddress;
    ibisgw::core::ZoneName zone { "a" };
    std::uint16_t slots { 2 };
    std::size_t queueLimit { 4 };
    // Mean execution time of a request; execution times are distributed exponentially.
    ibisgw::core::Duration meanServiceTime { std::chrono::milliseconds(100) };
    // Share of the flows whose open is refused although the announcements report the state Ready.
    double openRefusalShare { 0 };
    // Announces 0 busy slots and 0 open flows whatever the real load is.
    bool reportsZeroLoad { false };
};

// Simulated upstream in virtual time. It opens flows, echoes data packets, executes requests in a fixed number of slots
// and refuses requests when its queue is full. It keeps the state of the requests of each flow, so that a repeated
// request is not executed twice; this state is lost on a restart.
class FakeUpstream {
public:
    using Reply = std::function<void(const ibisgw::packet::Packet&)>;

    FakeUpstream(FakeUpstreamOptions, MessageQueue&, ibisgw::core::RandomSource&, ExecutionLog&, Reply);

    void handlePacket(const ibisgw::packet::Packet&);
    // The next announcement, with the current state and load. Each call increments the sequence number.
    ibisgw::upstream::Announcement announcement();

    void drain() { m_state = ibisgw::upstream::UpstreamState::Draining; }
    // Cancels a drain, as when an operator cancels a planned stop.
    void resume() { m_state = ibisgw::upstream::UpstreamState::Ready; }
    // While the upstream is shedding load, it refuses to open new flows (as not run). The announcements report the
    // state.
    void setShedding(bool);
    // Sets the share of new flows whose open is refused; the announcements don't show it.
    void refuseOpens(double share) { m_options.openRefusalShare = share; }
    void kill();
    // Starts a new process with a higher incarnation and without flows.
    void restart();
    bool isRunning() const { return m_running; }

    const FakeUpstreamOptions& options() const { return m_options; }
    std::size_t openFlows() const { return m_flows.size(); }
    std::size_t busySlots() const { return m_busySlots; }
    std::size_t waitingRequests() const { return m_waiting.size(); }
    std::uint64_t opensReceived() const { return m_opensReceived; }
    std::uint64_t executions() const { return m_executions; }
    std::uint64_t refusals() const { return m_refusals; }
    std::uint64_t openRefusals() const { return m_openRefusals; }
    // Requests that were cancelled before their execution began.
    std::uint64_t cancellations() const { return m_cancellations; }
    // When the last new flow was opened. Tests use it to measure for how long a draining upstream still gets new flows.
    std::optional<ibisgw::core::TimePoint> lastOpenAt() const { return m_lastOpenAt; }

private:
    enum class RequestState {
        Waiting,
        Running,
        Answered,
        Refused,
    };
    struct QueuedRequest {
        ibisgw::packet::Packet packet;
        std::optional<ibisgw::core::TimePoint> deadline;
    };

    void handleOpen(const ibisgw::packet::Packet&);
    void handleCancel(const ibisgw::packet::Packet&);
    void handleRequest(const ibisgw::packet::Packet&);
    void startQueuedRequests();
    void finish(const ibisgw::packet::Packet&);
    void reply(ibisgw::packet::PacketType, const ibisgw::packet::Packet&,
        ibisgw::packet::RefusalKind = ibisgw::packet::RefusalKind::None);
    ibisgw::core::Duration drawServiceTime();

    FakeUpstreamOptions m_options;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    ExecutionLog& m_log;
    Reply m_reply;
    bool m_running { true };
    ibisgw::core::Incarnation m_incarnation { 1 };
    std::uint64_t m_sequence { 0 };
    ibisgw::upstream::UpstreamState m_state { ibisgw::upstream::UpstreamState::Ready };
    std::unordered_map<ibisgw::core::FlowKey, std::map<ibisgw::core::RequestId, RequestState>> m_flows;
    std::deque<QueuedRequest> m_waiting;
    std::size_t m_busySlots { 0 };
    std::uint64_t m_opensReceived { 0 };
    std::uint64_t m_executions { 0 };
    std::uint64_t m_refusals { 0 };
    std::uint64_t m_openRefusals { 0 };
    std::uint64_t m_cancellations { 0 };
    std::optional<ibisgw::core::TimePoint> m_lastOpenAt;
};

} // namespace support
