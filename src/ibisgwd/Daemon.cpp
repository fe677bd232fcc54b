#include "ibisgwd/Daemon.h"

#include "ibisgw/adapters/FlowRecordCodec.h"
#include "ibisgw/adapters/GossipCodec.h"
#include "ibisgw/adapters/KeyFile.h"
#include "ibisgw/adapters/Log.h"
#include "ibisgw/adapters/TraceReader.h"
#include "ibisgw/adapters/WallClock.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/membership/GossipMessage.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace ibisgwd {

using namespace ibisgw;
using adapters::Channel;
using adapters::LogLevel;

namespace {

constexpr auto tickPeriod = std::chrono::duration_cast<std::chrono::milliseconds>(membership::tickInterval);

// A planned stop ends after this time even if packets still arrive.
constexpr core::Duration shutdownLimit = std::chrono::seconds(60);

// Maximum number of flow records passed to gossip in a tick. The gossip budget for a tick carries fewer.
constexpr std::size_t maxRecordsPerTick = 32;

// A leaving daemon continues to gossip for this time, so that its departure reaches its peers.
constexpr core::Duration leaveGossipTime = std::chrono::seconds(1);

// Seed for the random source of this process. It must differ between daemons and between starts, because controllers
// generate the identity of their disk from this source.
std::uint64_t randomSeed()
{
    std::random_device device;
    return std::uint64_t { device() } << 32 | device();
}

flow::FlowTokenCodec makeTokenCodec(const adapters::KeyRing& keys)
{
    const auto& current = keys.keys.at(keys.signingKey);
    for (const auto& [number, key] : keys.keys) {
        if (number != keys.signingKey)
            return { current, key };
    }
    return { current, std::nullopt };
}

membership::MembershipSettings makeMembershipSettings(const settings::DaemonSettings& settings, core::NodeId self)
{
    membership::MembershipSettings result;
    result.self.id = self;
    result.self.name = settings.name;
    result.self.zone = settings.zone;
    result.self.region = settings.region;
    result.self.group = settings.group;
    result.self.roles = static_cast<std::uint8_t>(
        (settings.balancer ? membership::balancerRole : 0) | (settings.controller ? membership::controllerRole : 0));
    result.self.incarnation = adapters::wallClockMicroseconds() / 1000;
    for (const auto& it : settings.seeds) {
        if (core::NodeId::fromEndpoint(it) != self)
            result.seeds.push_back(core::NodeId::fromEndpoint(it));
    }
    result.controlBytesPerSecond = settings.controlBytesPerSecond;
    return result;
}

std::vector<core::NodeId> toNodes(const std::vector<core::Endpoint>& endpoints)
{
    std::vector<core::NodeId> nodes;
    nodes.reserve(endpoints.size());
    for (const auto& it : endpoints)
        nodes.push_back(core::NodeId::fromEndpoint(it));
    return nodes;
}

} // namespace

core::Result<std::unique_ptr<Daemon>> Daemon::create(settings::DaemonSettings settings)
{
    BOOST_LEAF_AUTO(control, adapters::UdpSocket::bind(settings.control));
    BOOST_LEAF_AUTO(keys, adapters::readKeyFile(settings.keyFile));
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(settings), control, keys));
    BOOST_LEAF_CHECK(daemon->m_network.start());
    BOOST_LEAF_CHECK(daemon->startRoles(keys));
    BOOST_LEAF_CHECK(daemon->startApi());
    return daemon;
}

Daemon::Daemon(settings::DaemonSettings settings, adapters::UdpSocket control, const adapters::KeyRing& keys)
    : m_settings(std::move(settings))
    , m_random(randomSeed())
    , m_network(m_loop, control, keys, adapters::wallClockMicroseconds(),
          [this](auto sender, auto channel, auto body) { receive(sender, channel, body); })
    , m_membership(makeMembershipSettings(m_settings, m_network.self()), m_random, *this)
    , m_client(m_network, toNodes(m_settings.controllers))
    , m_backend({ m_loop, m_network, m_membership, m_client, m_balancer, m_controller, m_document })
{
}

Daemon::~Daemon() = default;

core::Result<void> Daemon::startRoles(const adapters::KeyRing& keys)
{
    if (m_settings.balancer) {
        BOOST_LEAF_ASSIGN(m_balancer,
            BalancerRole::create(m_settings, makeTokenCodec(keys), m_random, m_loop, m_network,
                [this](const auto& announcement) { m_membership.publish(announcement, m_loop.now()); }));
        m_handOvers = std::make_unique<HandOverSender>(m_client, m_balancer->balancer());
    }
    if (m_settings.controller) {
        BOOST_LEAF_ASSIGN(m_controller,
            ControllerRole::create(m_settings, m_random, m_loop, m_network,
                [this](const auto& revision) { m_membership.publishRevision(revision, m_loop.now(), m_network); }));
    }
    return {};
}

core::Result<void> Daemon::startApi()
{
    if (m_settings.admin.port == 0)
        return {};
    adapters::AdminApiOptions options;
    options.listen = m_settings.admin;
    options.tokenFile = m_settings.tokenFile;
    BOOST_LEAF_ASSIGN(m_api, adapters::AdminApi::start(m_loop, m_backend, options));
    return {};
}

void Daemon::run()
{
    if (m_balancer)
        m_balancer->start();
    m_loop.addPeriodic(tickPeriod, [this] { tick(); });
    m_loop.setTerminationHandler([this] { beginShutdown(); });
    adapters::log(LogLevel::Info, "daemon started", { { "control", m_network.self().endpoint().toString() } });
    m_loop.run();
    adapters::log(LogLevel::Info, "daemon stopped");
}

void Daemon::tick()
{
    const auto now = m_loop.now();
    m_membership.tick(now, m_network);
    m_network.tick();
    m_client.tick(now);
    if (m_controller)
        m_controller->tick();
    chargeConsensusBytes();
    if (m_balancer)
        tickBalancer();
    if (!m_shutdownAt)
        return;
    const auto elapsed = now - *m_shutdownAt;
    const bool isQuiet = !m_balancer || (m_balancer->isQuiet() && m_handOvers->isIdle());
    if (elapsed > shutdownLimit || (elapsed > leaveGossipTime && isQuiet))
        m_loop.stop();
}

void Daemon::beginShutdown()
{
    adapters::log(LogLevel::Info, "shutdown requested; leaving the group");
    m_shutdownAt = m_loop.now();
    m_membership.leave(*m_shutdownAt);
    if (m_balancer) {
        updateRing();
        m_balancer->balancer().handOver(*m_shutdownAt);
        m_balancer->withdraw();
    }
}

void Daemon::receive(core::NodeId sender, Channel channel, std::span<const std::byte> body)
{
    if (channel == Channel::Relay && m_balancer) {
        m_balancer->handleRelayed(body);
    } else if (channel == Channel::Gossip) {
        if (const auto message = adapters::decodeGossip(body))
            m_membership.handleMessage(sender, *message, m_loop.now(), m_network);
    } else if (channel == Channel::Consensus && m_controller) {
        m_controller->handleConsensus(sender, body);
    } else if (channel == Channel::Stream) {
        handleControlMessage(sender, body);
    }
}

void Daemon::announcementReceived(const upstream::Announcement& announcement)
{
    if (m_balancer)
        m_balancer->balancer().handleAnnouncement(announcement, m_loop.now());
}

void Daemon::flowRecordReceived(const membership::FlowRecordItem& item)
{
    const auto record = adapters::decodeFlowRecord(item.record, item.origin);
    if (record && m_balancer)
        m_balancer->balancer().applyFlowRecord(*record, m_loop.now());
}

void Daemon::publishFlowRecords()
{
    for (const auto& it : m_balancer->balancer().takeFlowRecords(maxRecordsPerTick))
        m_membership.publish(adapters::encodeFlowRecord(it), m_loop.now());
}

void Daemon::tickBalancer()
{
    const auto now = m_loop.now();
    updateRing();
    updatePartition();
    m_balancer->setReady(m_membership.self().isSynchronized && m_membership.revisionInForce().revision > 0);
    m_balancer->tick();
    m_handOvers->tick(now);
    publishFlowRecords();
}

void Daemon::updatePartition()
{
    bool isControllerAlive = false;
    for (const auto& [id, record] : m_membership.members().records()) {
        const bool isController = (record.member.roles & membership::controllerRole) != 0;
        isControllerAlive |= isController && record.member.state == membership::MemberState::Alive;
    }
    m_hasSeenController |= isControllerAlive;
    // Controllers of other scopes are not in the member list, so a daemon that has never seen a controller there cannot
    // conclude that it is partitioned.
    const bool isPartitioned = m_membership.isIsolated() || (m_hasSeenController && !isControllerAlive);
    m_balancer->balancer().setPartitioned(isPartitioned, m_loop.now());
}

// Charges the bytes of consensus messages to the control budget that gossip shares. Requests caused by operators are
// not charged: polling the status used up the whole budget, so that members were suspected and documents did not
// arrive.
void Daemon::chargeConsensusBytes()
{
    const auto sent = m_network.consensusBytesSent();
    m_membership.chargeBytes(static_cast<std::size_t>(sent - m_chargedConsensusBytes), m_loop.now());
    m_chargedConsensusBytes = sent;
}

void Daemon::updateRing()
{
    const auto& self = m_membership.self();
    // A balancer without the complete flow records of its group must not act as a home.
    if (!self.isSynchronized && !m_shutdownAt)
        return;
    std::vector<flow::RingMember> ring;
    ring.push_back({ self.id, self.zone, m_shutdownAt.has_value() });
    for (const auto& [id, record] : m_membership.members().records()) {
        const auto& member = record.member;
        const bool isRunning = member.state != membership::MemberState::Dead && member.isSynchronized;
        // A suspected member is no home either, so that opens do not wait until it is declared dead.
        const bool isLeaving = member.state != membership::MemberState::Alive;
        if (member.group == self.group && member.isBalancer() && isRunning)
            ring.push_back({ id, member.zone, isLeaving });
    }
    std::ranges::sort(ring);
    if (ring == m_ring)
        return;
    m_ring = ring;
    m_balancer->balancer().setPeers(std::move(ring), m_loop.now());
}

void Daemon::revisionInForce(const configuration::AcceptedRevision& revision)
{
    const auto json = nlohmann::json::parse(revision.document, nullptr, false);
    auto reading = configuration::readDocument(json);
    if (!reading.document) {
        adapters::log(LogLevel::Error, "an accepted document cannot be read; upgrade this daemon",
            { { "revision", revision.revision } });
        return;
    }
    m_document = std::make_shared<const configuration::Document>(std::move(*reading.document));
    if (m_balancer)
        m_balancer->balancer().applyDocument(m_document, m_loop.now());
    adapters::log(LogLevel::Info, "revision in force", { { "revision", revision.revision } });
}

void Daemon::pauseDetected(core::Duration duration)
{
    adapters::log(LogLevel::Warning, "the process was paused; rejoining as a new incarnation",
        { { "seconds", core::toSeconds(duration) } });
}

void Daemon::handleControlMessage(core::NodeId sender, std::span<const std::byte> body)
{
    if (const auto reply = adapters::decodeControlReply(body))
        m_client.handleReply(*reply, m_loop.now());
    else if (const auto request = adapters::decodeControlRequest(body))
        answerRequest(sender, *request);
}

void Daemon::answerRequest(core::NodeId sender, const adapters::ControlRequest& request)
{
    adapters::ControlReply reply;
    reply.number = request.number;
    if (request.call == adapters::ControlCall::DrainBalancer) {
        if (!m_shutdownAt)
            beginShutdown();
    } else if (request.call == adapters::ControlCall::FindSpans) {
        reply.spans = adapters::readTrace({ m_settings.traceFile }, request.traceId);
    } else if (request.call == adapters::ControlCall::HandOver) {
        for (const auto& it : request.flows) {
            if (m_balancer)
                m_balancer->balancer().adoptFlow(it, m_loop.now());
        }
    } else {
        if (m_controller)
            m_controller->handleRequest(sender, request);
        return;
    }
    const auto body = adapters::encodeControlReply(reply);
    m_network.sendStream(sender, Channel::Stream, std::as_bytes(std::span(body)));
}

} // namespace ibisgwd
