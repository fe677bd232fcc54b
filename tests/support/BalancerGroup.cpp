#include "support/BalancerGroup.h"

#include "support/BalancerMember.h"

#include <algorithm>

namespace support {

using namespace ibisgw;
using packet::Packet;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);
// These limits keep the flow records below the budget of 4,096 bytes/s of each balancer. With 8 peers, sending and
// receiving records takes 2 x 8 x (84 + 6 x 14) = 2,688 bytes/s, hand-over 2 x 380 bytes/s. A joining balancer sends no
// records and pulls 1,820 bytes/s from 8 peers.
constexpr std::size_t maxRecordsPerDatagram = 6;
constexpr std::size_t maxHandOversPerSecond = 20;
constexpr std::size_t maxPulledRecordsPerSecond = 130;
// 40 bytes for version, sender, key number, sequence number and authentication code, and 28 bytes for IPv4 and UDP.
constexpr std::size_t datagramHeaderBytes = 40 + 28;

} // namespace

struct BalancerGroup::Output final : balancer::BalancerOutput {
    Output(BalancerGroup& group, core::NodeId self)
        : group(group)
        , self(self)
    {
    }

    void sendToUpstream(core::UpstreamId target, const Packet& packet) override
    {
        for (auto& it : group.m_upstreams) {
            if (it->options().id == target)
                group.m_queue.send(
                    self.value, target.value, [&upstream = *it, packet](auto) { upstream.handlePacket(packet); });
        }
    }

    void sendToCaller(const Packet& packet) override
    {
        group.m_queue.send(self.value, callersMachine, [&group = group, packet](auto) {
            if (group.m_callerHandler)
                group.m_callerHandler(packet);
        });
    }

    void sendToPeer(core::NodeId peer, const Packet& packet) override
    {
        for (auto& it : group.m_slots) {
            if (it->node != peer)
                continue;
            group.m_queue.send(self.value, peer.value, [&group = group, index = it->index, packet](auto now) {
                auto& slot = *group.m_slots[index];
                Output output(group, slot.node);
                if (slot.member)
                    slot.member->handleRelayedPacket(packet, now, output);
            });
        }
    }

    void noteHedged(const balancer::HedgedRequest& it) override
    {
        ++group.m_extraAttempts[{ it.flow, it.request }];
        group.m_wrongExtraAttempts += it.first == it.second ? 1 : 0;
    }

    BalancerGroup& group;
    core::NodeId self;
};

BalancerGroup::BalancerGroup(BalancerGroupOptions options, std::shared_ptr<const configuration::Document> document,
    MessageQueue& queue, core::RandomSource& random)
    : m_options(std::move(options))
    , m_document(std::move(document))
    , m_queue(queue)
    , m_random(random)
{
    for (unsigned n = 0; n < m_options.balancers; ++n) {
        auto slot = std::make_unique<Slot>();
        slot->index = n;
        slot->node = core::NodeId::fromEndpoint({ 0x0a000001 + n, 7000 });
        m_slots.push_back(std::move(slot));
    }
    for (auto& it : m_slots) {
        createMember(*it);
        it->isInFabric = true;
    }
    updatePeers();
    schedulePeriodicWork();
}

BalancerGroup::~BalancerGroup() = default;

FakeUpstream& BalancerGroup::addUpstream(FakeUpstreamOptions options)
{
    m_upstreams.push_back(std::make_unique<FakeUpstream>(std::move(options), m_queue, m_random, m_executions,
        [this](const Packet& packet) { sendFromUpstream(packet); }));
    announce(*m_upstreams.back());
    return *m_upstreams.back();
}

std::optional<unsigned> BalancerGroup::pickFabricTarget(MessageQueue::Machine sender)
{
    std::vector<unsigned> targets;
    for (const auto& it : m_slots) {
        // The fabric detects that a zone is cut off, but not that a single link is cut.
        const bool isReachable = !m_zonesAreCut || !m_queue.isCut(sender, it->node.value);
        if (it->isInFabric && isReachable)
            targets.push_back(it->index);
    }
    if (targets.empty())
        return std::nullopt;
    return targets[m_random.below(targets.size())];
}

void BalancerGroup::deliverToBalancer(unsigned index, const std::function<void(Slot&)>& deliver)
{
    auto& slot = *m_slots[index];
    if (slot.member)
        deliver(slot);
}

void BalancerGroup::sendFromCaller(const Packet& packet)
{
    const auto target = pickFabricTarget(callersMachine);
    if (!target)
        return;
    m_queue.send(callersMachine, m_slots[*target]->node.value, [this, target, packet](core::TimePoint now) {
        deliverToBalancer(*target, [&](Slot& slot) {
            Output output(*this, slot.node);
            slot.member->handleCallerPacket(packet, now, output);
        });
    });
}

void BalancerGroup::sendFromUpstream(const Packet& packet)
{
    const auto target = pickFabricTarget(packet.upstream.value);
    if (!target)
        return;
    m_queue.send(packet.upstream.value, m_slots[*target]->node.value, [this, target, packet](core::TimePoint now) {
        deliverToBalancer(*target, [&](Slot& slot) {
            Output output(*this, slot.node);
            slot.member->handleUpstreamPacket(packet, now, output);
        });
    });
}

void BalancerGroup::announce(FakeUpstream& upstream)
{
    if (!upstream.isRunning())
        return;
    const auto announcement = upstream.announcement();
    for (auto& it : m_slots) {
        m_queue.send(
            upstream.options().id.value, it->node.value, [this, index = it->index, announcement](core::TimePoint now) {
                deliverToBalancer(index, [&](Slot& slot) { slot.member->handleAnnouncement(announcement, now); });
            });
    }
}

void BalancerGroup::schedulePeriodicWork()
{
    m_queue.after(tickPeriod, [this](core::TimePoint now) {
        for (auto& it : m_slots) {
            Output output(*this, it->node);
            if (it->member)
                it->member->tick(now, output);
        }
        const auto previous = now - tickPeriod;
        const auto period = m_options.announcementPeriod;
        if (now.time_since_epoch() / period != previous.time_since_epoch() / period) {
            for (auto& it : m_upstreams)
                announce(*it);
            startNextSecond();
        }
        schedulePeriodicWork();
    });
}

void BalancerGroup::publishFlowRecords(Slot& slot)
{
    auto* balancer = slot.member ? slot.member->balancer() : nullptr;
    if (!balancer || !m_options.sendsFlowRecords)
        return;
    const auto records = balancer->takeFlowRecords(maxRecordsPerDatagram);
    for (auto& it : m_slots) {
        if (it->index != slot.index && it->member)
            sendFlowRecords(slot, *it, records);
    }
}

void BalancerGroup::sendFlowRecords(Slot& from, Slot& to, const RecordList& records)
{
    // The newest sequence number is piggybacked on membership probes; records need a datagram of their own.
    const auto bytes = flow::flowRecordHeaderBytes
        + (records.empty() ? 0 : datagramHeaderBytes + records.size() * flow::flowRecordWireBytes);
    from.recordBytes += bytes;
    const auto head = from.member->balancer()->flowRecords().head();
    m_queue.send(from.node.value, to.node.value,
        [this, sender = from.index, index = to.index, records, bytes, head](core::TimePoint now) {
            auto* receiver = balancer(index);
            m_slots[index]->recordBytes += bytes;
            if (!receiver)
                return;
            for (const auto& it : records)
                receiver->applyFlowRecord(it, now);
            repairGap(*m_slots[sender], *m_slots[index], head);
        });
}

void BalancerGroup::repairGap(Slot& from, Slot& to, std::uint64_t head)
{
    auto* sender = balancer(from.index);
    // Records that the sender has not sent yet don't count as missing.
    const auto published = sender ? std::min(head, sender->flowRecords().takenHead()) : 0;
    const auto missing = balancer(to.index)->flowRecords().firstMissing(from.node, published);
    if (!missing)
        return;
    auto records = sender->flowRecords().since(*missing);
    if (records.size() > maxRecordsPerDatagram)
        records.resize(maxRecordsPerDatagram);
    const auto bytes = datagramHeaderBytes + records.size() * flow::flowRecordWireBytes;
    from.recordBytes += bytes;
    m_queue.send(from.node.value, to.node.value, [this, index = to.index, records, bytes](core::TimePoint now) {
        m_slots[index]->recordBytes += bytes;
        for (const auto& it : records) {
            if (auto* receiver = balancer(index))
                receiver->applyFlowRecord(it, now);
        }
    });
}

void BalancerGroup::startNextSecond()
{
    for (auto& it : m_slots) {
        m_maxRecordBytesPerSecond = std::max(m_maxRecordBytesPerSecond, it->recordBytes);
        it->recordBytes = 0;
    }
    for (auto& it : m_slots)
        publishFlowRecords(*it);
    for (auto& it : m_slots)
        publishHandOvers(*it);
}

void BalancerGroup::publishHandOvers(Slot& slot)
{
    auto* balancer = slot.member ? slot.member->balancer() : nullptr;
    if (!balancer || !m_options.sendsFlowRecords)
        return;
    for (const auto& it : balancer->takeHandOvers(maxHandOversPerSecond)) {
        for (auto& target : m_slots) {
            if (target->node != it.target)
                continue;
            slot.recordBytes += flow::flowHandOverWireBytes;
            target->recordBytes += flow::flowHandOverWireBytes;
            // The daemon retransmits a hand-over until it is acknowledged; here each one is simply sent twice.
            for (const core::Duration delay : { 0ms, 500ms }) {
                m_queue.after(delay, [this, it, from = slot.node.value, to = target->index](auto) {
                    m_queue.send(from, m_slots[to]->node.value, [this, it, to](core::TimePoint now) {
                        if (auto* receiver = this->balancer(to))
                            receiver->adoptFlow(it, now);
                    });
                });
            }
        }
    }
}

void BalancerGroup::continueJoin(unsigned index, unsigned startCount, const RecordList& records, std::size_t adopted)
{
    auto& joining = *m_slots[index];
    if (!joining.member || joining.startCount != startCount)
        return;
    auto* receiver = joining.member->balancer();
    const auto end = std::min(records.size(), adopted + maxPulledRecordsPerSecond);
    joining.recordBytes += (end - adopted) * flow::flowRecordWireBytes;
    for (auto& it : m_slots) {
        if (it->isInFabric)
            it->recordBytes += (end - adopted) * flow::flowRecordWireBytes / (m_slots.size() - 1);
    }
    if (receiver)
        receiver->adoptFlowRecords({ records.begin() + static_cast<std::ptrdiff_t>(adopted),
                                       records.begin() + static_cast<std::ptrdiff_t>(end) },
            {});
    if (end < records.size()) {
        m_queue.after(1s, [=, this](auto) { continueJoin(index, startCount, records, end); });
        return;
    }
    joining.isInFabric = true;
    updatePeers();
}

void BalancerGroup::updatePeers()
{
    for (auto& it : m_slots) {
        if (!it->member || !it->member->balancer())
            continue;
        std::vector<flow::RingMember> members;
        for (const auto& peer : m_slots) {
            // A cut between two balancers makes neither unreachable for the other, as in SWIM other members probe
            // indirectly.
            const bool isReachable = !m_zonesAreCut || zoneOf(*it) == zoneOf(*peer);
            if (peer->member && (peer->isInFabric || peer->isLeaving) && isReachable)
                members.push_back({ peer->node, zoneOf(*peer), peer->isLeaving });
        }
        it->member->balancer()->setPeers(members, m_queue.now());
    }
}

void BalancerGroup::cutZones()
{
    m_zonesAreCut = true;
    std::vector<std::pair<MessageQueue::Machine, core::ZoneName>> machines;
    for (const auto& it : m_slots)
        machines.emplace_back(it->node.value, zoneOf(*it));
    for (const auto& it : m_upstreams)
        machines.emplace_back(it->options().id.value, it->options().zone);
    for (const auto& [machine, zone] : machines) {
        for (const auto& [other, otherZone] : machines) {
            if (zone != otherZone)
                m_queue.cut(machine, other);
        }
    }
    m_queue.after(m_options.detectionDelay, [this](auto) { updatePeers(); });
}

void BalancerGroup::healZones()
{
    m_zonesAreCut = false;
    m_queue.healAll();
    m_queue.after(m_options.detectionDelay, [this](auto) { updatePeers(); });
}

balancer::Balancer* BalancerGroup::balancer(unsigned index)
{
    auto& member = m_slots[index]->member;
    return member ? member->balancer() : nullptr;
}

void BalancerGroup::killBalancer(unsigned index)
{
    m_slots[index]->member.reset();
    // The kill may come during a planned stop. It ends that stop, for which a later start would wait.
    m_slots[index]->isLeaving = false;
    m_queue.after(m_options.fabricDetectionDelay, [this, index](auto) {
        if (!m_slots[index]->member)
            m_slots[index]->isInFabric = false;
    });
    m_queue.after(m_options.detectionDelay, [this](auto) { updatePeers(); });
}

void BalancerGroup::stopBalancer(unsigned index, core::Duration grace)
{
    auto& slot = *m_slots[index];
    slot.isInFabric = false;
    slot.isLeaving = true;
    updatePeers();
    if (auto* leaving = balancer(index))
        leaving->handOver(m_queue.now());
    m_queue.after(grace, [this, index, startCount = slot.startCount](auto) { finishStop(index, startCount); });
}

void BalancerGroup::finishStop(unsigned index, unsigned startCount)
{
    auto& slot = *m_slots[index];
    if (slot.startCount != startCount || !slot.member)
        return;
    if (auto* leaving = balancer(index); leaving && leaving->pendingHandOvers() > 0) {
        m_queue.after(1s, [=, this](auto) { finishStop(index, startCount); });
        return;
    }
    slot.member.reset();
    slot.isLeaving = false;
    updatePeers();
}

void BalancerGroup::startBalancer(unsigned index)
{
    auto& slot = *m_slots[index];
    if (slot.isLeaving) {
        m_queue.after(1s, [=, this](auto) { startBalancer(index); });
        return;
    }
    createMember(slot);
    m_queue.after(m_options.joinDelay, [this, index, startCount = slot.startCount](auto) {
        auto& joining = *m_slots[index];
        if (!joining.member || joining.startCount != startCount)
            return;
        RecordList records;
        for (auto& it : m_slots) {
            auto* peer = balancer(it->index);
            if (it->index == index || !peer || !it->isInFabric)
                continue;
            records = peer->flowRecords().all();
            // Records with higher sequence numbers reach the joining balancer by normal publication.
            joining.member->balancer()->adoptFlowRecords({}, peer->flowRecords().heads());
            break;
        }
        continueJoin(index, startCount, records, 0);
    });
}

core::ZoneName BalancerGroup::zoneOf(const Slot& slot) const
{
    return m_options.zones[slot.index % m_options.zones.size()];
}

void BalancerGroup::applyDocument(std::shared_ptr<const configuration::Document> document, core::Duration maxDelay)
{
    m_document = std::move(document);
    for (auto& it : m_slots) {
        const auto delay = core::Duration(m_random.below(static_cast<std::uint64_t>(maxDelay.count()) + 1));
        m_queue.after(delay, [this, index = it->index, applied = m_document](core::TimePoint now) {
            // A balancer that was restarted in the meantime has the newest document already.
            if (auto* receiver = balancer(index); receiver && applied == m_document)
                receiver->applyDocument(applied, now);
        });
    }
}

void BalancerGroup::createMember(Slot& slot)
{
    balancer::BalancerOptions options { slot.node, zoneOf(slot), m_options.flowCapacity };
    options.rules = m_options.rules;
    options.makeSelector = m_options.makeSelector;
    options.firstRecordSequence = static_cast<std::uint64_t>(m_queue.now().time_since_epoch().count());
    slot.member
        = m_options.makeMember ? m_options.makeMember(options) : std::make_unique<BalancerMember>(options, m_random);
    ++slot.startCount;
    slot.isInFabric = false;
    slot.isLeaving = false;
    if (auto* created = slot.member->balancer())
        created->applyDocument(m_document, m_queue.now());
}

} // namespace support
