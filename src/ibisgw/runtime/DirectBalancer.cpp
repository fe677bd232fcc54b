#include "ibisgw/runtime/DirectBalancer.h"

#include "ibisgw/adapters/Log.h"
#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/configuration/DocumentCompression.h"

namespace ibisgw::runtime {

namespace {

using adapters::LogLevel;

constexpr std::chrono::milliseconds tickPeriod { 25 };
// One full packet on a link of 3 Mbit/s.
constexpr std::chrono::milliseconds pacerPeriod { 4 };
constexpr core::Duration expiryInterval = std::chrono::seconds(1);

// The platform notices within two checks, half a second apart, that a balancer takes no new flows.
constexpr core::Duration withdrawalTime = std::chrono::milliseconds(1500);
constexpr core::Duration quietTime = std::chrono::milliseconds(300);

// Kept free at the end of the grace period for the end of the process.
constexpr core::Duration shutdownMargin = std::chrono::seconds(1);

direct::ForwarderOptions forwarderOptions(const settings::DirectSettings& settings)
{
    direct::ForwarderOptions options;
    options.zone = settings.zone;
    options.maxFlowAge = settings.maxFlowAge;
    return options;
}

sync::SubscriberOptions subscriberOptions(
    const settings::DirectSettings& settings, core::NodeId self, core::RandomSource& random)
{
    sync::SubscriberOptions options;
    options.self = self;
    options.process = random.next();
    options.seeds = settings.seedNodes();
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
{
}

void DirectBalancer::start()
{
    m_peers.start();
    m_packets.receive(m_loop, [this](auto datagram, auto) { receivePacket(datagram); });
    m_loop.addPeriodic(tickPeriod, [this] { tick(); });
    tick();
}

bool DirectBalancer::isReady() const
{
    return !m_shutdownAt && m_forwarder.version() > 0 && m_directory.hasReady();
}

void DirectBalancer::beginShutdown()
{
    m_shutdownAt = m_loop.now();
    adapters::log(LogLevel::Info, "stopping; no new flows", { { "open_flows", m_forwarder.openFlows() } });
}

void DirectBalancer::reload(const settings::DirectSettings& settings)
{
    m_settings.seeds = settings.seeds;
    m_subscriber.setSeeds(settings.seedNodes());
}

void DirectBalancer::receivePacket(std::span<const std::byte> packet)
{
    const auto now = m_loop.now();
    const auto segment = m_packetFormat.read(packet);
    if (!segment) {
        ++m_malformedPackets;
        return;
    }
    m_lastPacketAt = now;
    const auto decision = m_forwarder.handle(*segment, now);
    if (decision.action == direct::ForwardAction::Forward) {
        const auto n = m_packetFormat.writeForwarded(packet, decision.token, decision.instance, m_out);
        transmit(*segment, decision, n, decision.target, now);
    } else if (decision.action == direct::ForwardAction::Reset) {
        const auto n = m_packetFormat.writeReset(*segment, m_out);
        transmit(*segment, decision, n, { segment->flow.caller.address, m_packets.localEndpoint().port }, now);
    }
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
    while (const auto packet = m_pacer.next(now))
        m_packets.send(packet->bytes, packet->target);
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
        m_subscriber.fetchConfiguration(m_forwarder.version(), now, *this);
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
        adapters::log(LogLevel::Error, "an accepted configuration cannot be read; upgrade this daemon",
            { { "version", transfer.version } });
        return;
    }
    m_forwarder.apply(std::make_shared<const direct::RouteConfiguration>(std::move(*reading.configuration)), now);
    adapters::log(LogLevel::Info, "configuration in force", { { "version", transfer.version } });
}

void DirectBalancer::send(core::NodeId peer, const sync::SyncMessage& message)
{
    m_peers.send(peer, adapters::PeerChannel::Sync, adapters::encodeSyncMessage(message));
}

void DirectBalancer::tick()
{
    const auto now = m_loop.now();
    m_subscriber.tick(now, *this);
    m_subscriber.fetchConfiguration(m_forwarder.version(), now, *this);
    m_forwarder.tick(now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        m_directory.expire(now);
    }
    if (isShutdownOver(now))
        m_loop.stop();
}

bool DirectBalancer::isShutdownOver(core::TimePoint now) const
{
    if (!m_shutdownAt)
        return false;
    const auto elapsed = now - *m_shutdownAt;
    if (elapsed > m_settings.gracePeriod - shutdownMargin)
        return true;
    return elapsed > withdrawalTime && now - m_lastPacketAt > quietTime;
}

} // namespace ibisgw::runtime
