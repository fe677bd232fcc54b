#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/adapters/PeerDatagrams.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/direct/FlowForwarder.h"
#include "ibisgw/direct/LeastWorkSelector.h"
#include "ibisgw/direct/PacedLink.h"
#include "ibisgw/direct/PendingPackets.h"
#include "ibisgw/runtime/ConfigurationFormat.h"
#include "ibisgw/runtime/ConfigurationMonitor.h"
#include "ibisgw/runtime/ConnectProber.h"
#include "ibisgw/runtime/DecisionLogger.h"
#include "ibisgw/runtime/DirectoryChangeLogger.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/IsolationMonitor.h"
#include "ibisgw/runtime/LinkCongestionLogger.h"
#include "ibisgw/runtime/PacketFormat.h"
#include "ibisgw/runtime/PauseMonitor.h"
#include "ibisgw/runtime/ProcessMonitor.h"
#include "ibisgw/runtime/ShutdownTimer.h"
#include "ibisgw/settings/DirectSettings.h"
#include "ibisgw/sync/DirectorySubscriber.h"

#include <array>
#include <memory>
#include <optional>

namespace ibisgw::runtime {

// Balancer process of the direct-return mode: runs a FlowForwarder on UDP sockets and timers, keeps its upstream
// directory and configuration in sync with the controllers, and probes upstreams.
class DirectBalancer final : private sync::SyncOutput {
public:
    static core::Result<std::unique_ptr<DirectBalancer>> create(const settings::DirectSettings&, adapters::EventLoop&,
        const PacketFormat&, const ConfigurationFormat&, std::uint64_t seed);

    void start();
    // Whether the platform may send new flows here: the process is not shutting down, a configuration is in force and
    // not known to be possibly outdated, and the upstream directory is complete and kept current by a controller.
    bool isReady() const;
    // Reports this balancer as not ready, continues to forward packets, and stops the event loop before the grace
    // period ends.
    void beginShutdown();
    void reload(const settings::DirectSettings&);
    EventLog& events() { return m_events; }
    // Returns the metrics in the Prometheus text format.
    std::string renderMetrics();

private:
    DirectBalancer(const settings::DirectSettings&, adapters::EventLoop&, const PacketFormat&,
        const ConfigurationFormat&, std::uint64_t seed, adapters::UdpSocket packets, adapters::UdpSocket peer);

    void send(core::NodeId, const sync::SyncMessage&) override;
    void receivePacket(std::span<const std::byte>);
    void recordActivity(core::TimePoint now);
    void handlePacket(std::span<const std::byte>, core::TimePoint arrivedAt, core::TimePoint now);
    void retryPendingPackets(core::TimePoint now);
    void transmit(const direct::FlowSegment&, const direct::ForwardDecision&, std::size_t bytes, core::Endpoint target,
        core::TimePoint now);
    void releasePackets();
    void receiveMessage(core::NodeId sender, std::string_view body);
    void applyConfiguration(const sync::ConfigurationTransfer&, core::TimePoint now);
    void applyEvacuations(core::TimePoint now);
    void tick();
    void handleProbeResult(upstream::InstanceId, direct::ProbeResult);
    void reportUnresponsive(upstream::InstanceId);
    void updateProbes(core::TimePoint now);
    void resetLostFlows(core::TimePoint now);
    void logZoneOutages(core::TimePoint now);
    void logColdStarts(core::TimePoint now);
    void reportFailures(core::TimePoint now);
    void handle(const sync::FailureMarks&, core::TimePoint now);
    void handle(core::NodeId sender, const sync::ColdStartOffer&, core::TimePoint now);
    void updateReadiness(core::TimePoint now);

    settings::DirectSettings m_settings;
    adapters::EventLoop& m_loop;
    const PacketFormat& m_packetFormat;
    const ConfigurationFormat& m_configurationFormat;
    core::PcgRandomSource m_random;
    upstream::InstanceDirectory m_directory;
    direct::LeastWorkSelector m_selector { m_random.next() };
    direct::FlowForwarder m_forwarder;
    adapters::UdpSocket m_packets;
    adapters::PeerDatagrams m_peers;
    sync::DirectorySubscriber m_subscriber;
    direct::PendingPackets m_pending;
    direct::PacedLink m_link;
    adapters::EventLoop::Timer& m_pacerTimer;
    std::array<std::byte, 2048> m_packetBuffer;
    EventLog m_events;
    DirectoryChangeLogger m_changeLogger;
    LinkCongestionLogger m_congestionLogger;
    ConnectProber m_prober;
    adapters::MetricsRegistry m_metrics;
    ProcessMonitor m_processMonitor;
    DecisionLogger m_decisionLogger;
    // Owned by the metrics registry.
    adapters::LatencyHistogram& m_egressWait;
    adapters::LatencyHistogram& m_configurationDelay;
    // Newest configuration version that a controller has announced, and when it was first announced.
    direct::ConfigurationVersion m_announcedVersion { 0 };
    core::TimePoint m_announcedAt {};
    core::TimePoint m_nextExpiry {};
    core::Duration m_longestStall { 0 };
    // Whether a controller has sent the complete directory. Before that, all new flows would be placed on the first few
    // upstreams received.
    bool m_hasReceivedDirectory { false };
    IsolationMonitor m_isolationMonitor;
    ConfigurationMonitor m_configurationMonitor;
    PauseMonitor m_pauseMonitor;
    bool m_wasRefreshing { false };
    bool m_wasReady { false };
    bool m_hadReachableController { false };
    ShutdownTimer m_shutdownTimer;
    std::uint64_t m_malformedPackets { 0 };
    std::uint64_t m_lostFlowsReset { 0 };
};

} // namespace ibisgw::runtime
