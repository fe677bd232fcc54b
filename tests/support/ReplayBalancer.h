#pragma once

#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/direct/FlowForwarder.h"
#include "ibisgw/direct/LeastWorkSelector.h"
#include "ibisgw/direct/PacedLink.h"
#include "ibisgw/direct/PendingPackets.h"

#include <functional>
#include <memory>

namespace support {

// Balancer process of a load replay: the decisions of the product on segments instead of packets. A restart loses its
// flow table, its configuration and its directory.
class ReplayBalancer {
public:
    using Forward = std::function<void(const ibisgw::direct::FlowSegment&, const ibisgw::direct::ForwardDecision&)>;

    // `linkBytesPerSecond` is the rate of the balancer's link; 0 for no limit.
    ReplayBalancer(std::uint64_t seed, std::uint64_t linkBytesPerSecond, Forward);

    void stop() { m_process.reset(); }
    void restart();
    bool isRunning() const { return m_process != nullptr; }
    // Receives the configuration and the complete directory, and forwards the held packets.
    void receiveState(const std::shared_ptr<const ibisgw::direct::RouteConfiguration>&,
        const std::vector<ibisgw::upstream::InstanceReport>&, ibisgw::core::TimePoint now);
    // A segment that arrives while the process doesn't run is lost.
    void handle(const ibisgw::direct::FlowSegment&, ibisgw::core::TimePoint now);
    void tick(ibisgw::core::TimePoint now);
    // Sends what the link can take. Call every few milliseconds.
    void releasePackets(ibisgw::core::TimePoint now);
    std::uint64_t foundUnresponsive() const;

private:
    using Packet = std::pair<ibisgw::direct::FlowSegment, ibisgw::direct::ForwardDecision>;
    // A probe has no answer if packets wait for the link when it starts and when it ends.
    struct Probe {
        ibisgw::upstream::InstanceId target;
        ibisgw::core::TimePoint endsAt;
    };
    struct Process {
        Process(std::uint64_t seed, std::uint64_t linkBytesPerSecond);

        ibisgw::core::PcgRandomSource random;
        ibisgw::upstream::InstanceDirectory directory;
        ibisgw::direct::LeastWorkSelector selector;
        ibisgw::direct::FlowForwarder forwarder;
        ibisgw::direct::PendingPackets pending;
        ibisgw::direct::PacedLink link;
        // Packets that wait for the link, by number.
        std::unordered_map<std::uint64_t, Packet> queued;
        std::uint64_t queuedCount { 0 };
        std::vector<Probe> probes;
    };

    void handle(const ibisgw::direct::FlowSegment&, ibisgw::core::TimePoint arrivedAt, ibisgw::core::TimePoint now);
    // Whether the link delivers a packet of this size; those that find a full queue are lost.
    bool receive(std::size_t bytes, ibisgw::core::TimePoint now);
    void transmit(const Packet&, ibisgw::core::TimePoint now);
    void tickProbes(ibisgw::core::TimePoint now);
    void retryPending(ibisgw::core::TimePoint now);

    std::uint64_t m_seed;
    std::uint64_t m_linkBytesPerSecond;
    // Bytes that wait for the link on their way in, at m_receivedAt.
    double m_receiveQueue { 0 };
    ibisgw::core::TimePoint m_receivedAt {};
    Forward m_forward;
    std::unique_ptr<Process> m_process;
};

} // namespace support
