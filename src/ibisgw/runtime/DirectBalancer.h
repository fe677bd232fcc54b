#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/adapters/PeerDatagrams.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/direct/EgressPacer.h"
#include "ibisgw/direct/FlowForwarder.h"
#include "ibisgw/direct/LeastWorkSelector.h"
#include "ibisgw/direct/PendingPackets.h"
#include "ibisgw/runtime/ConfigurationFormat.h"
#include "ibisgw/runtime/ConnectProber.h"
#include "ibisgw/runtime/DecisionJournal.h"
#include "ibisgw/runtime/DirectoryJournal.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/IsolationMonitor.h"
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

// Connects a FlowForwarder to its sockets, to the controllers and to the clock.
class DirectBalancer final : private sync::SyncOutput {
public:
    static core::Result<std::unique_ptr<DirectBalancer>> create(const settings::DirectSettings&, adapters::EventLoop&,
        const PacketFormat&, const ConfigurationFormat&, std::uint64_t seed);

    void start();
    // Whether new flows may come: there is a configuration, and the upstreams are known and kept up to date.
    bool isReady() const;
    // Stops taking new flows, goes on forwarding and ends the loop before the grace period is over.
    void beginShutdown();
    void reload(const settings::DirectSettings&);
    EventLog& events() { return m_events; }
    // Prometheus text format.
    std::string renderMetrics();

private:
    DirectBalancer(const settings::DirectSettings&, adapters::EventLoop&, const PacketFormat&,
        const ConfigurationFormat&, std::uint64_t seed, adapters::UdpSocket packets, adapters::UdpSocket peer);

    void send(core::NodeId, const sync::SyncMessage&) override;
    void receivePacket(std::span<const std::byte>);
    void handlePacket(std::span<const std::byte>, core::TimePoint arrivedAt, core::TimePoint now);
    bool mayBeKnownSoon(const direct::ForwardDecision&) const;
    void handlePending(core::TimePoint now);
    void transmit(const direct::FlowSegment&, const direct::ForwardDecision&, std::size_t bytes, core::Endpoint target,
        core::TimePoint now);
    void releasePackets();
    void receiveMessage(core::NodeId sender, std::string_view body);
    void adopt(const sync::ConfigurationTransfer&, core::TimePoint now);
    void tick();
    void noteProbe(upstream::InstanceId, direct::ProbeResult);
    void reportSilence(upstream::InstanceId);
    void tickProbes(core::TimePoint now);
    void resetLostFlows(core::TimePoint now);
    void noteDependencies(core::TimePoint now);

    settings::DirectSettings m_settings;
    adapters::EventLoop& m_loop;
    const PacketFormat& m_packetFormat;
    const ConfigurationFormat& m_configurationFormat;
    core::PcgRandomSource m_random;
    upstream::InstanceDirectory m_directory;
    direct::LeastWorkSelector m_selector;
    direct::FlowForwarder m_forwarder;
    adapters::UdpSocket m_packets;
    adapters::PeerDatagrams m_peers;
    sync::DirectorySubscriber m_subscriber;
    direct::PendingPackets m_pending;
    direct::EgressPacer m_pacer;
    adapters::EventLoop::Timer& m_pacerTimer;
    std::array<std::byte, 2048> m_out;
    EventLog m_events;
    DirectoryJournal m_journal;
    ConnectProber m_prober;
    adapters::MetricsRegistry m_metrics;
    ProcessMonitor m_process;
    DecisionJournal m_decisions;
    // Kept by the registry.
    adapters::LatencyHistogram& m_egressWait;
    adapters::LatencyHistogram& m_configurationDelay;
    // Newest configuration that a controller has named, and when it did so first.
    direct::ConfigurationVersion m_announcedVersion { 0 };
    core::TimePoint m_announcedAt {};
    core::TimePoint m_nextExpiry {};
    core::Duration m_longestStall { 0 };
    // New flows would crowd the first upstreams that become known.
    bool m_hasBeenFilled { false };
    IsolationMonitor m_isolation;
    PauseMonitor m_pause;
    bool m_wasRefreshing { false };
    bool m_wasReady { false };
    bool m_hadControllers { false };
    ShutdownTimer m_shutdown;
    std::uint64_t m_malformedPackets { 0 };
    std::uint64_t m_lostFlows { 0 };
};

} // namespace ibisgw::runtime
