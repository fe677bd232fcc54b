#include "ibisgw/runtime/DirectBalancer.h"

#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/configuration/DocumentCompression.h"
#include "ibisgw/runtime/LogFields.h"
#include "ibisgw/runtime/Subscription.h"

namespace ibisgw::runtime {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 25 };
// One full packet on a link of 3 Mbit/s.
constexpr std::chrono::milliseconds pacerPeriod { 4 };
constexpr core::Duration expiryInterval = std::chrono::seconds(1);

// The platform notices within two checks, half a second apart, that a balancer takes no new flows.
constexpr core::Duration withdrawalTime = std::chrono::milliseconds(1500);
constexpr core::Duration quietTime = std::chrono::milliseconds(300);

// A turn of the event loop that came this late tells of a pause of the process.
constexpr core::Duration stallLimit = std::chrono::milliseconds(100);

// Kept free at the end of the grace period for the end of the process.
constexpr core::Duration shutdownMargin = std::chrono::seconds(1);

direct::ForwarderOptions forwarderOptions(const settings::DirectSettings& settings)
{
    direct::ForwarderOptions options;
    options.zone = settings.zone;
    options.limits.maxFlowAge = settings.maxFlowAge;
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
    , m_pacer({ settings.linkBytesPerSecond })
    , m_pacerTimer(loop.addTimer(pacerPeriod, [this] { releasePackets(); }))
    , m_events(settings.logLinesPerSecond)
    , m_prober(loop, [this](upstream::InstanceId id, direct::ProbeResult result) { noteProbe(id, result); })
    , m_process(m_metrics, tickPeriod)
    , m_decisions(m_events, packetFormat, m_metrics, settings.logLinesPerSecond)
    , m_egressWait(
          m_metrics.latency("ibisgw_egress_wait_seconds", "Wait of packets that the link could not take at once"))
    , m_configurationDelay(m_metrics.latency(
          "ibisgw_configuration_delay_seconds", "From hearing of an accepted configuration to its coming into force"))
    , m_shutdown({ withdrawalTime, quietTime, settings.gracePeriod - shutdownMargin })
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
    return !m_shutdown.hasBegun() && !m_isolation.isIsolated() && m_forwarder.version() > 0 && m_directory.hasReady()
        && m_hasBeenFilled;
}

void DirectBalancer::beginShutdown()
{
    const auto now = m_loop.now();
    m_shutdown.begin(now);
    m_events.record(Event::Stopping, now, [this] {
        return nlohmann::json { { "open_flows", m_forwarder.openFlows() } };
    });
}

void DirectBalancer::reload(const settings::DirectSettings& settings)
{
    m_settings.seeds = settings.seeds;
    m_subscriber.setSeeds(settings.seedNodes());
    m_events.setLinesPerSecond(settings.logLinesPerSecond);
    m_decisions.setLinesPerSecond(settings.logLinesPerSecond);
}

void DirectBalancer::receivePacket(std::span<const std::byte> packet)
{
    const auto now = m_loop.now();
    m_shutdown.noteWork(now);
    m_pause.noteTurn(now);
    handlePacket(packet, now, now);
}

void DirectBalancer::handlePacket(std::span<const std::byte> packet, core::TimePoint arrivedAt, core::TimePoint now)
{
    const auto segment = m_packetFormat.read(packet);
    if (!segment) {
        ++m_malformedPackets;
        return;
    }
    if (segment->isOpening && m_pause.isRefreshing(now) && m_pending.add(packet, arrivedAt, now))
        return;
    const auto decision = m_forwarder.handle(*segment, now);
    if (mayBeKnownSoon(decision) && m_pending.add(packet, arrivedAt, now))
        return;
    m_decisions.note(*segment, decision, packet, m_forwarder.version(), now);
    if (decision.action == direct::ForwardAction::Forward) {
        const auto n = m_packetFormat.writeForwarded(packet, decision.token, decision.instance, m_out);
        transmit(*segment, decision, n, decision.target, now);
    } else if (decision.action == direct::ForwardAction::Reset) {
        const auto n = m_packetFormat.writeReset(*segment, m_out);
        transmit(*segment, decision, n, { segment->flow.caller.address, m_packets.localEndpoint().port }, now);
    }
}

// Controllers answer within milliseconds after a start; upstreams may be known to them a moment earlier than here.
bool DirectBalancer::mayBeKnownSoon(const direct::ForwardDecision& decision) const
{
    using direct::ForwardReason;
    if (decision.reason == ForwardReason::NoUpstream)
        return !m_hasBeenFilled;
    return decision.reason == ForwardReason::NoConfiguration || decision.reason == ForwardReason::UnknownToken;
}

void DirectBalancer::handlePending(core::TimePoint now)
{
    for (const auto& it : m_pending.take())
        handlePacket(it.bytes, it.arrivedAt, now);
}

// Sends the first bytes of the output buffer, at once or when the link has room.
void DirectBalancer::transmit(const direct::FlowSegment& segment, const direct::ForwardDecision& decision,
    std::size_t bytes, core::Endpoint target, core::TimePoint now)
{
    const auto out = std::span(m_out).first(bytes);
    if (m_pacer.admit(bytes, now)) {
        m_packets.send(out, target);
        return;
    }
    const auto identity = segment.payloadBytes == 0 ? 0 : core::rendezvousWeight(segment.flow.hash(), segment.sequence);
    m_pacer.enqueue({ decision.egressClass, target, identity, { out.begin(), out.end() } }, now);
    m_pacerTimer.start();
}

void DirectBalancer::releasePackets()
{
    const auto now = m_loop.now();
    while (const auto packet = m_pacer.next(now)) {
        m_packets.send(packet->bytes, packet->target);
        m_egressWait.record(now - packet->queuedAt);
    }
    if (!m_pacer.isEmpty())
        m_pacerTimer.start();
}

void DirectBalancer::receiveMessage(core::NodeId sender, std::string_view body)
{
    const auto now = m_loop.now();
    const auto message = adapters::decodeSyncMessage(body);
    if (!message)
        return;
    if (const auto* update = std::get_if<sync::DirectoryUpdate>(&*message)) {
        m_subscriber.handle(sender, *update, now, *this);
        m_hasBeenFilled = m_hasBeenFilled || m_subscriber.isFilled();
        if (update->version > m_announcedVersion) {
            m_announcedVersion = update->version;
            m_announcedAt = now;
        }
        m_subscriber.fetchConfiguration(m_forwarder.version(), now, *this);
        if (!update->items.empty())
            handlePending(now);
    } else if (const auto* transfer = std::get_if<sync::ConfigurationTransfer>(&*message)) {
        adopt(*transfer, now);
    }
}

void DirectBalancer::adopt(const sync::ConfigurationTransfer& transfer, core::TimePoint now)
{
    if (transfer.version <= m_forwarder.version())
        return;
    const auto text = configuration::decompressDocument(transfer.compressedText);
    auto reading = text ? m_configurationFormat.read(*text) : ConfigurationReading {};
    if (!reading.configuration) {
        m_events.record(Event::Failed, now, [&] {
            return nlohmann::json { { "version", transfer.version },
                { "reason", "an accepted configuration cannot be read; upgrade this daemon" } };
        });
        return;
    }
    if (m_announcedVersion > m_forwarder.version())
        m_configurationDelay.record(now - m_announcedAt);
    m_forwarder.apply(std::make_shared<const direct::RouteConfiguration>(std::move(*reading.configuration)), now);
    m_events.record(Event::ConfigurationInForce, now, [&] {
        return nlohmann::json { { "version", transfer.version } };
    });
    handlePending(now);
}

void DirectBalancer::send(core::NodeId peer, const sync::SyncMessage& message)
{
    m_peers.send(peer, adapters::PeerChannel::Sync, adapters::encodeSyncMessage(message));
}

void DirectBalancer::tick()
{
    const auto now = m_loop.now();
    m_pause.noteTurn(now);
    m_subscriber.tick(now, *this);
    m_subscriber.fetchConfiguration(m_forwarder.version(), now, *this);
    m_forwarder.tick(now);
    tickProbes(now);
    resetLostFlows(now);
    m_journal.note(m_directory, m_events, now);
    m_decisions.flush(m_forwarder.version(), now);
    noteDependencies(now);
    if (m_pending.hasExpired(now) || (m_wasRefreshing && !m_pause.isRefreshing(now)))
        handlePending(now);
    m_wasRefreshing = m_pause.isRefreshing(now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        m_directory.expire(now);
        adapters::flushLog();
    }
    if (m_shutdown.isOver(now))
        m_loop.stop();
}

void DirectBalancer::tickProbes(core::TimePoint now)
{
    // Probes that ran while this process stood still have timed out for no fault of the upstream.
    const auto gap = m_process.noteTurn(now);
    m_longestStall = std::max(m_longestStall, gap);
    if (gap > stallLimit) {
        m_prober.abandon();
        m_forwarder.responses().discardProbes();
    }
    m_prober.tick(now);
    for (const auto& it : m_forwarder.responses().takeProbes(now)) {
        if (const auto* record = m_directory.find(it))
            m_prober.probe(it, record->report.address, now);
        else
            m_forwarder.responses().forget(it);
    }
}

void DirectBalancer::resetLostFlows(core::TimePoint now)
{
    const auto lost = m_forwarder.takeLostFlows(now);
    for (const auto& it : lost) {
        const auto n = m_packetFormat.writeReset(it, m_out);
        transmit(it, {}, n, { it.flow.caller.address, m_packets.localEndpoint().port }, now);
    }
    m_lostFlows += lost.size();
    if (!lost.empty())
        m_events.record(Event::LostFlowsReset, now, [&] { return nlohmann::json { { "flows", lost.size() } }; });
}

void DirectBalancer::noteProbe(upstream::InstanceId id, direct::ProbeResult result)
{
    const auto now = m_loop.now();
    auto& responses = m_forwarder.responses();
    const bool wasUnresponsive = responses.isUnresponsive(id);
    responses.noteProbe(id, result, now);
    if (responses.isUnresponsive(id) == wasUnresponsive)
        return;
    if (!wasUnresponsive)
        reportSilence(id);
    m_events.record(wasUnresponsive ? Event::UpstreamResponsive : Event::UpstreamUnresponsive, now, [&] {
        const auto* record = m_directory.find(id);
        return nlohmann::json { { "upstream", textOf(id) }, { "probe", static_cast<int>(result) },
            { "address", record ? record->report.address.toString() : std::string() } };
    });
}

// Other balancers would find out only with requests of their own callers.
void DirectBalancer::reportSilence(upstream::InstanceId id)
{
    const auto* record = m_directory.find(id);
    if (record && !record->isOverdue && m_subscriber.followed().isValid())
        send(m_subscriber.followed(), sync::SilenceReport { id, record->report.incarnation });
}

void DirectBalancer::noteDependencies(core::TimePoint now)
{
    const bool hasControllers = m_subscriber.reachableControllers(now) > 0;
    m_isolation.note(hasControllers, now);
    if (isReady() != m_wasReady) {
        m_wasReady = isReady();
        m_events.record(m_wasReady ? Event::Ready : Event::NotReady, now, [this] {
            return nlohmann::json { { "version", m_forwarder.version() }, { "upstreams", m_directory.records().size() },
                { "stopping", m_shutdown.hasBegun() } };
        });
    }
    if (hasControllers != m_hadControllers) {
        m_hadControllers = hasControllers;
        m_events.record(hasControllers ? Event::ControllersRegained : Event::ControllersLost, now);
    }
}

} // namespace ibisgw::runtime
