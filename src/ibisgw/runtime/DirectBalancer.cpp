#include "ibisgw/runtime/DirectBalancer.h"

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/runtime/LogFields.h"
#include "ibisgw/runtime/Subscription.h"

namespace ibisgw::runtime {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 25 };
// Transmission time of one full packet on a link of 3 Mbit/s.
constexpr std::chrono::milliseconds pacerPeriod { 4 };
constexpr core::Duration expiryInterval = std::chrono::seconds(1);

// The platform checks readiness every half second and needs up to two checks to stop sending new flows here.
constexpr core::Duration withdrawalDetectionTime = std::chrono::milliseconds(1500);
constexpr core::Duration quietPeriod = std::chrono::milliseconds(300);

// A longer gap between two ticks means that the process was paused.
constexpr core::Duration stallThreshold = std::chrono::milliseconds(100);

// Reserved at the end of the grace period for process exit, before the platform kills the process.
constexpr core::Duration shutdownMargin = std::chrono::seconds(1);

direct::ForwarderOptions forwarderOptions(const settings::DirectSettings& settings)
{
    direct::ForwarderOptions options;
    options.zone = settings.zone;
    options.limits.maxFlowAge = settings.maxFlowAge;
    options.linkBytesPerSecond = settings.linkBytesPerSecond;
    return options;
}

} // namespace

core::Result<std::unique_ptr<DirectBalancer>> DirectBalancer::create(const settings::DirectSettings& settings,
    adapters::EventLoop& loop, const PacketFormat& packetFormat, const ConfigurationFormat& configurationFormat,
    std::uint64_t seed)
{
    BOOST_LEAF_AUTO(packets, adapters::UdpSocket::bind(settings.packets));
    BOOST_LEAF_AUTO(peer, adapters::UdpSocket::bind(settings.peer));
    return std::unique_ptr<DirectBalancer>(
        new DirectBalancer(settings, loop, packetFormat, configurationFormat, seed, packets, peer));
}

DirectBalancer::DirectBalancer(const settings::DirectSettings& settings, adapters::EventLoop& loop,
    const PacketFormat& packetFormat, const ConfigurationFormat& configurationFormat, std::uint64_t seed,
    adapters::UdpSocket packets, adapters::UdpSocket peer)
    : m_settings(settings)
    , m_loop(loop)
    , m_packetFormat(packetFormat)
    , m_configurationFormat(configurationFormat)
    , m_random(seed)
    , m_forwarder(forwarderOptions(settings), m_directory, m_selector, m_random)
    , m_packets(packets)
    , m_peers(loop, peer, static_cast<std::uint32_t>(m_random.next()),
          [this](core::NodeId sender, adapters::PeerChannel channel, std::string_view body) {
              if (channel == adapters::PeerChannel::Sync)
                  receiveMessage(sender, body);
          })
    , m_subscriber(subscriberOptions(settings, m_peers.self(), m_random), m_directory)
    , m_link({ settings.linkBytesPerSecond }, m_forwarder.congestion(), m_forwarder.admission())
    , m_pacerTimer(loop.addTimer(pacerPeriod, [this] { releasePackets(); }))
    , m_events(settings.logLinesPerSecond)
    , m_prober([this](upstream::InstanceId id, direct::ProbeResult result) { handleProbeResult(id, result); })
    , m_processMonitor(m_metrics, tickPeriod)
    , m_decisionLogger(m_events, packetFormat, m_metrics, settings.logLinesPerSecond)
    , m_egressWait(
          m_metrics.latency("ibisgw_egress_wait_seconds", "Wait of packets that the link could not take at once"))
    , m_configurationDelay(m_metrics.latency(
          "ibisgw_configuration_delay_seconds", "From hearing of an accepted configuration to its coming into force"))
    , m_shutdownTimer({ withdrawalDetectionTime, quietPeriod, settings.gracePeriod - shutdownMargin })
{
}

void DirectBalancer::start()
{
    m_peers.setGateway(m_settings.peerGateway);
    m_peers.start();
    m_packets.receive(m_loop, [this](auto datagram, auto) { receivePacket(datagram); });
    m_loop.addPeriodic(tickPeriod, [this] { tick(); });
    tick();
}

bool DirectBalancer::isReady() const
{
    return !m_shutdownTimer.hasBegun() && !m_isolationMonitor.isIsolated() && m_forwarder.version() > 0
        && m_configurationMonitor.mayPlaceFlows() && m_directory.hasReadyInstance() && m_hasReceivedDirectory;
}

void DirectBalancer::beginShutdown()
{
    const auto now = m_loop.now();
    m_shutdownTimer.begin(now);
    m_events.record(Event::Stopping, now, [this] {
        return nlohmann::json { { "open_flows", m_forwarder.openFlows() } };
    });
}

void DirectBalancer::reload(const settings::DirectSettings& settings)
{
    m_settings.seeds = settings.seeds;
    m_subscriber.setSeeds(settings.seedNodes());
    m_events.setLinesPerSecond(settings.logLinesPerSecond);
    m_decisionLogger.setLinesPerSecond(settings.logLinesPerSecond);
}

void DirectBalancer::receivePacket(std::span<const std::byte> packet)
{
    const auto now = m_loop.now();
    m_shutdownTimer.recordWork(now);
    m_link.noteReceived(packet.size(), now);
    recordActivity(now);
    handlePacket(packet, now, now);
}

// After a pause the controllers have stopped sending changes, and those of the pause are missing here.
void DirectBalancer::recordActivity(core::TimePoint now)
{
    m_forwarder.congestion().noteActivity(now);
    if (!m_pauseMonitor.recordActivity(now, m_loop.uptime()))
        return;
    m_forwarder.coldStarts().discardPermits();
    m_subscriber.requestUpdates(now);
    m_subscriber.tick(now, *this);
}

void DirectBalancer::handlePacket(std::span<const std::byte> packet, core::TimePoint arrivedAt, core::TimePoint now)
{
    const auto segment = m_packetFormat.read(packet);
    if (!segment) {
        ++m_malformedPackets;
        return;
    }
    if (segment->isOpening && m_pauseMonitor.isRefreshing(now) && m_pending.add(packet, arrivedAt, now))
        return;
    const auto decision = m_forwarder.handle(*segment, now);
    if (direct::mayBecomeForwardable(decision.reason, m_hasReceivedDirectory) && m_pending.add(packet, arrivedAt, now))
        return;
    m_decisionLogger.log(*segment, decision, packet, m_forwarder.version(), now);
    if (decision.action == direct::ForwardAction::Forward) {
        const auto n = m_packetFormat.writeForwarded(packet, decision.token, decision.instance, m_packetBuffer);
        transmit(*segment, decision, n, decision.target, now);
    } else if (decision.action == direct::ForwardAction::Reset) {
        const auto n = m_packetFormat.writeReset(*segment, m_packetBuffer);
        transmit(*segment, decision, n, { segment->flow.caller.address, m_packets.localEndpoint().port }, now);
    }
}

void DirectBalancer::retryPendingPackets(core::TimePoint now)
{
    for (const auto& it : m_pending.take())
        handlePacket(it.bytes, it.arrivedAt, now);
}

// Sends the first `bytes` bytes of the packet buffer: immediately if the pacer admits them, otherwise after queueing.
void DirectBalancer::transmit(const direct::FlowSegment& segment, const direct::ForwardDecision& decision,
    std::size_t bytes, core::Endpoint target, core::TimePoint now)
{
    const auto out = std::span(m_packetBuffer).first(bytes);
    if (m_link.admit(bytes, now)) {
        m_packets.send(out, target);
        return;
    }
    // Lets the pacer drop copies of a packet that is queued or was just sent. Packets without data are not compared.
    const auto identity = segment.payloadBytes == 0 ? 0 : core::rendezvousWeight(segment.flow.hash(), segment.sequence);
    m_link.enqueue({ decision.egressClass, target, identity, { out.begin(), out.end() } }, now);
    m_pacerTimer.start();
}

void DirectBalancer::releasePackets()
{
    const auto now = m_loop.now();
    while (const auto packet = m_link.next(now)) {
        m_packets.send(packet->bytes, packet->target);
        m_egressWait.record(now - packet->queuedAt);
    }
    if (!m_link.pacer().isEmpty())
        m_pacerTimer.start();
}

void DirectBalancer::tick()
{
    const auto now = m_loop.now();
    recordActivity(now);
    m_link.tick(now);
    m_congestionLogger.log(m_forwarder.congestion(), m_events, now);
    m_subscriber.tick(now, *this);
    applyEvacuations(now);
    m_subscriber.fetchConfiguration(m_forwarder.version(), now, *this);
    m_forwarder.tick(now);
    updateProbes(now);
    resetLostFlows(now);
    reportFailures(now);
    logZoneOutages(now);
    logColdStarts(now);
    m_changeLogger.logChanges(m_directory, m_events, now);
    m_decisionLogger.flush(m_forwarder.version(), now);
    updateReadiness(now);
    if (m_pending.hasExpired(now) || (m_wasRefreshing && !m_pauseMonitor.isRefreshing(now)))
        retryPendingPackets(now);
    m_wasRefreshing = m_pauseMonitor.isRefreshing(now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        m_directory.expire(now);
        adapters::flushLog();
    }
    if (m_shutdownTimer.isOver(now))
        m_loop.stop();
}

void DirectBalancer::updateProbes(core::TimePoint now)
{
    // Probes that were running while this process was paused have timed out through no fault of the upstream.
    const auto gap = m_processMonitor.recordTick(now);
    m_longestStall = std::max(m_longestStall, gap);
    if (gap > stallThreshold) {
        m_prober.cancelAll();
        m_forwarder.responses().discardProbes();
    }
    m_prober.tick(now);
    for (const auto& it : m_forwarder.responses().takeProbes(now)) {
        if (const auto* record = m_directory.find(it))
            m_prober.probe(it, record->report.address, now);
        else
            m_forwarder.responses().remove(it);
    }
}

void DirectBalancer::resetLostFlows(core::TimePoint now)
{
    const auto lost = m_forwarder.takeLostFlows(now);
    for (const auto& it : lost) {
        const auto n = m_packetFormat.writeReset(it, m_packetBuffer);
        transmit(it, {}, n, { it.flow.caller.address, m_packets.localEndpoint().port }, now);
    }
    m_lostFlowsReset += lost.size();
    if (!lost.empty())
        m_events.record(Event::LostFlowsReset, now, [&] { return nlohmann::json { { "flows", lost.size() } }; });
}

void DirectBalancer::reportFailures(core::TimePoint now)
{
    const auto controller = m_subscriber.followedController();
    for (const auto& it : m_forwarder.unansweredRequests().takeReports(now)) {
        const auto* record = m_directory.find(it);
        if (record && controller.isValid())
            send(controller, sync::FailureReport { { it, record->report.incarnation }, {} });
    }
}

void DirectBalancer::logZoneOutages(core::TimePoint now)
{
    for (const auto& it : m_forwarder.zoneOutages().takeChanges()) {
        m_events.record(it.isSuspected ? Event::ZoneSuspected : Event::ZoneRecovered, now, [&] {
            return nlohmann::json { { "service", it.service }, { "zone", it.zone } };
        });
    }
}

void DirectBalancer::logColdStarts(core::TimePoint now)
{
    for (const auto& it : m_forwarder.coldStarts().takeChanges()) {
        m_events.record(Event::ColdStartLimited, now, [&] {
            return nlohmann::json { { "upstream", textOf(it.instance) }, { "service", it.service },
                { "limited", it.isLimited } };
        });
    }
}

void DirectBalancer::handleProbeResult(upstream::InstanceId id, direct::ProbeResult result)
{
    const auto now = m_loop.now();
    auto& responses = m_forwarder.responses();
    const bool wasUnresponsive = responses.isUnresponsive(id);
    m_forwarder.noteProbe(id, result, now);
    if (responses.isUnresponsive(id) == wasUnresponsive)
        return;
    if (!wasUnresponsive)
        reportUnresponsive(id);
    m_events.record(wasUnresponsive ? Event::UpstreamResponsive : Event::UpstreamUnresponsive, now, [&] {
        const auto* record = m_directory.find(id);
        return nlohmann::json { { "upstream", textOf(id) }, { "probe", static_cast<int>(result) },
            { "address", record ? record->report.address.toString() : std::string() } };
    });
}

// Reports an unresponsive upstream to the controller that this balancer follows. Without the report, other balancers
// would detect the failure only through failing requests of their own callers.
void DirectBalancer::reportUnresponsive(upstream::InstanceId id)
{
    const auto* record = m_directory.find(id);
    if (record && !record->isOverdue && m_subscriber.followedController().isValid())
        send(m_subscriber.followedController(), sync::UnresponsiveReport { id, record->report.incarnation });
}

void DirectBalancer::updateReadiness(core::TimePoint now)
{
    const bool hasReachableController = m_subscriber.reachableControllers(now) > 0;
    m_isolationMonitor.update(hasReachableController, now);
    const auto check = m_subscriber.checkConfiguration(m_forwarder.version(), m_forwarder.evacuations().revision, now);
    m_configurationMonitor.update(check, now);
    m_forwarder.setPlacing(m_configurationMonitor.mayPlaceFlows());
    if (isReady() != m_wasReady) {
        m_wasReady = isReady();
        m_events.record(m_wasReady ? Event::Ready : Event::NotReady, now, [this] {
            return nlohmann::json { { "version", m_forwarder.version() }, { "upstreams", m_directory.records().size() },
                { "stopping", m_shutdownTimer.hasBegun() },
                { "unconfirmed", !m_configurationMonitor.mayPlaceFlows() } };
        });
    }
    if (hasReachableController != m_hadReachableController) {
        m_hadReachableController = hasReachableController;
        m_events.record(hasReachableController ? Event::ControllersRegained : Event::ControllersLost, now);
    }
}

} // namespace ibisgw::runtime
