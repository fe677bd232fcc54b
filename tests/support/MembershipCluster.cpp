#include "support/MembershipCluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace support {

using namespace ibisgw;
using membership::MemberState;

MembershipCluster::Daemon::Daemon(MembershipCluster& cluster, std::size_t index)
    : m_cluster(cluster)
    , m_index(index)
{
}

MembershipCluster::Daemon::~Daemon() = default;

void MembershipCluster::Daemon::send(core::NodeId to, const membership::GossipMessage& message)
{
    const auto now = m_cluster.now();
    const auto size = membership::encodedSize(message) + membership::ControlBudget::overheadBytes;
    while (!lastSecond.empty() && lastSecond.front().first < now - std::chrono::seconds(1)) {
        lastSecondBytes -= lastSecond.front().second;
        lastSecond.pop_front();
    }
    lastSecond.emplace_back(now, size);
    lastSecondBytes += size;
    peakSecondBytes = std::max(peakSecondBytes, lastSecondBytes);
    ++messages;
    bytes += size;
    const auto target = to.value & 0xffff;
    if (target >= m_cluster.size())
        return;
    const auto from = m_cluster.id(m_index);
    m_cluster.m_queue.send(m_index, target, [this, target, from, message](core::TimePoint arrival) {
        auto& receiver = m_cluster.daemon(target);
        if (receiver.isRunning && receiver.isPaused)
            receiver.socketBuffer.emplace_back(from, message);
        else if (receiver.isRunning)
            receiver.node->handleMessage(from, message, arrival, receiver);
    });
}

void MembershipCluster::Daemon::announcementReceived(const upstream::Announcement& announcement)
{
    announcements.push_back(announcement);
}

void MembershipCluster::Daemon::flowRecordReceived(const membership::FlowRecordItem& item)
{
    flowRecords.push_back(item);
}

void MembershipCluster::Daemon::revisionInForce(const configuration::AcceptedRevision& revision)
{
    revisions.push_back(revision.revision);
}

void MembershipCluster::Daemon::groupChanged()
{
    ++groupChanges;
}

void MembershipCluster::Daemon::pauseDetected(core::Duration)
{
    ++pauses;
}

MembershipCluster::MembershipCluster(ClusterOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_queue(options.network, m_random)
{
    for (std::size_t n = 0; n < options.zones * options.daemonsPerZone; ++n)
        m_daemons.push_back(std::make_unique<Daemon>(*this, n));
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        startProcess(n);
}

MembershipCluster::~MembershipCluster() = default;

membership::MembershipNode& MembershipCluster::node(std::size_t index)
{
    return *m_daemons[index]->node;
}

core::NodeId MembershipCluster::id(std::size_t index) const
{
    return { (std::uint64_t { 0x0a000000 } << 16) | index };
}

core::Duration MembershipCluster::runUntil(const std::function<bool()>& condition, core::Duration limit)
{
    const auto start = now();
    while (!condition() && now() - start < limit)
        m_queue.runFor(std::chrono::milliseconds(10));
    return now() - start;
}

void MembershipCluster::kill(std::size_t index)
{
    auto& daemon = *m_daemons[index];
    daemon.isRunning = false;
    ++daemon.processEpoch;
    daemon.socketBuffer.clear();
}

void MembershipCluster::restart(std::size_t index)
{
    kill(index);
    startProcess(index);
}

void MembershipCluster::pause(std::size_t index)
{
    m_daemons[index]->isPaused = true;
}

void MembershipCluster::resume(std::size_t index)
{
    auto& daemon = *m_daemons[index];
    daemon.isPaused = false;
    const auto waiting = std::move(daemon.socketBuffer);
    daemon.socketBuffer.clear();
    for (const auto& [from, message] : waiting)
        daemon.node->handleMessage(from, message, now(), daemon);
    daemon.node->tick(now(), daemon);
}

void MembershipCluster::cutZone(std::size_t zone)
{
    for (std::size_t inside = 0; inside < size(); ++inside) {
        for (std::size_t outside = 0; outside < size(); ++outside) {
            if (zoneOf(inside) == zone && zoneOf(outside) != zone)
                m_queue.cutBoth(inside, outside);
        }
    }
}

bool MembershipCluster::hasConverged() const
{
    for (std::size_t n = 0; n < size(); ++n) {
        if (!m_daemons[n]->isRunning)
            continue;
        const auto& members = m_daemons[n]->node->members();
        for (std::size_t other = 0; other < size(); ++other) {
            const bool isInScope = other != n && (zoneOf(other) == zoneOf(n) || m_options.groupSpansZones)
                && m_daemons[other]->isRunning;
            const auto* record = members.find(id(other));
            const bool isAlive = record && record->member.state == MemberState::Alive;
            if (isInScope != isAlive)
                return false;
            if (isAlive && record->member.incarnation != m_daemons[other]->node->self().incarnation)
                return false;
        }
    }
    return true;
}

bool MembershipCluster::allSynchronized() const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(),
        [](const auto& it) { return !it->isRunning || it->node->self().isSynchronized; });
}

std::size_t MembershipCluster::countSeeing(std::size_t index, MemberState state) const
{
    return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [&](const auto& it) {
        const auto* record = it->isRunning ? it->node->members().find(id(index)) : nullptr;
        return record && record->member.state == state;
    }));
}

bool MembershipCluster::allInForce(core::Revision revision) const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(),
        [&](const auto& it) { return !it->isRunning || it->node->revisionInForce().revision >= revision; });
}

std::size_t MembershipCluster::peakBytesPerSecond() const
{
    std::size_t worst = 0;
    for (const auto& it : m_daemons)
        worst = std::max(worst, it->peakSecondBytes);
    return worst;
}

double MembershipCluster::messagesPerSecond(core::Duration since) const
{
    std::uint64_t messages = 0;
    for (const auto& it : m_daemons)
        messages += it->messages;
    return static_cast<double>(messages) / static_cast<double>(size()) / core::toSeconds(since);
}

void MembershipCluster::resetTraffic()
{
    for (const auto& it : m_daemons) {
        it->peakSecondBytes = it->lastSecondBytes;
        it->messages = 0;
        it->bytes = 0;
    }
}

void MembershipCluster::startProcess(std::size_t index)
{
    auto& daemon = *m_daemons[index];
    ++daemon.processEpoch;
    daemon.isRunning = true;
    daemon.isPaused = false;
    membership::MembershipSettings settings;
    settings.rules = m_options.rules;
    settings.self.id = id(index);
    settings.self.name = "vm-" + std::to_string(index);
    settings.self.zone = "zone-" + std::to_string(zoneOf(index));
    settings.self.region = "region-1";
    settings.self.group = m_options.groupSpansZones ? "group-1" : "group-" + std::to_string(zoneOf(index));
    // All daemons start in the same millisecond, as after a power cut, so incarnations of different daemons are often
    // equal.
    settings.self.incarnation
        = static_cast<std::uint64_t>(now().time_since_epoch().count() / 1000) + daemon.processEpoch * 1000;
    for (std::size_t zone = 0; zone < m_options.zones; ++zone)
        settings.seeds.push_back(id(zone * m_options.daemonsPerZone));
    if (m_options.daemonsPerZone > 1)
        settings.seeds.push_back(id(zoneOf(index) * m_options.daemonsPerZone + 1));
    daemon.random = std::make_unique<core::PcgRandomSource>(m_random.next());
    daemon.node = std::make_unique<membership::MembershipNode>(settings, *daemon.random, daemon);
    m_queue.after(core::Duration(static_cast<std::int64_t>(m_random.below(50'000))),
        [this, index, processEpoch = daemon.processEpoch](core::TimePoint) {
            if (m_daemons[index]->processEpoch == processEpoch)
                scheduleTick(index);
        });
}

void MembershipCluster::scheduleTick(std::size_t index)
{
    auto& daemon = *m_daemons[index];
    if (!daemon.isPaused)
        daemon.node->tick(now(), daemon);
    m_queue.after(membership::tickInterval, [this, index, processEpoch = daemon.processEpoch](core::TimePoint) {
        if (m_daemons[index]->processEpoch == processEpoch)
            scheduleTick(index);
    });
}

configuration::AcceptedRevision makeAddressRevision(core::Revision revision, std::size_t addresses)
{
    auto services = nlohmann::json::array();
    for (std::size_t n = 0; n < addresses; ++n) {
        services.push_back({
            { "name", "service-" + std::to_string(n) },
            { "organization", "organization-" + std::to_string(n % 20) },
            { "addresses", { "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":443" } },
            { "drainLimitMs", n == revision % addresses ? 1000 + revision : 3'600'000 },
        });
    }
    const auto document = nlohmann::json { { "services", services } }.dump();
    return { revision, document, configuration::hashDocument(document), "operator",
        "change-" + std::to_string(revision) };
}

upstream::Announcement makeAnnouncement(std::size_t number, std::uint64_t sequence)
{
    upstream::Announcement announcement;
    announcement.upstream.value = (std::uint64_t { 0x0a020000 + number } << 16) | 8000;
    announcement.service = "slotdesk";
    announcement.zone = "zone-0";
    announcement.incarnation = 1'700'000'000'000;
    announcement.sequence = sequence;
    announcement.slots = 2;
    announcement.busySlots = static_cast<std::uint16_t>(sequence % 3);
    return announcement;
}

} // namespace support
