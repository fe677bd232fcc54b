#include "support/BalancerGroup.h"

#include "support/BalancerMember.h"

#include <algorithm>

namespace support {

using namespace ibisgw;
using packet::Packet;

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);
constexpr std::size_t maxRecordsPerDatagram = 80;
// Version, sender, key number, sequence and authentication code, and UDP over IPv4.
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
        it->inFabric = true;
    }
    tellPeers();
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

std::optional<unsigned> BalancerGroup::pickFabricTarget()
{
    std::vector<unsigned> targets;
    for (const auto& it : m_slots) {
        if (it->inFabric)
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
    const auto target = pickFabricTarget();
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
    const auto target = pickFabricTarget();
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
            publishFlowRecords(*it);
        }
        const auto previous = now - tickPeriod;
        const auto period = m_options.announcementPeriod;
        if (now.time_since_epoch() / period != previous.time_since_epoch() / period) {
            for (auto& it : m_upstreams)
                announce(*it);
            compareFlowRecordHeads();
        }
        schedulePeriodicWork();
    });
}

void BalancerGroup::publishFlowRecords(Slot& slot)
{
    auto* balancer = slot.member ? slot.member->balancer() : nullptr;
    if (!balancer || !m_options.tellFlowRecords)
        return;
    const auto records = balancer->takeFlowRecords(maxRecordsPerDatagram);
    if (records.empty())
        return;
    for (auto& it : m_slots) {
        if (it->index != slot.index && it->member)
            sendFlowRecords(slot, *it, records);
    }
}

void BalancerGroup::sendFlowRecords(Slot& from, Slot& to, const RecordList& records)
{
    const auto bytes = datagramHeaderBytes + flow::flowRecordHeaderBytes + records.size() * flow::flowRecordWireBytes;
    from.recordBytes += bytes;
    m_queue.send(from.node.value, to.node.value, [this, index = to.index, records, bytes](core::TimePoint now) {
        auto* balancer = this->balancer(index);
        m_slots[index]->recordBytes += bytes;
        for (const auto& it : records) {
            if (balancer)
                balancer->applyFlowRecord(it, now);
        }
    });
}

void BalancerGroup::compareFlowRecordHeads()
{
    for (auto& from : m_slots) {
        m_worstRecordBytes = std::max(m_worstRecordBytes, from->recordBytes);
        from->recordBytes = 0;
        auto* origin = balancer(from->index);
        if (!origin || !m_options.tellFlowRecords)
            continue;
        for (auto& to : m_slots) {
            if (to->index == from->index || !to->member)
                continue;
            from->recordBytes += flow::flowRecordHeaderBytes;
            m_queue.send(from->node.value, to->node.value,
                [this, node = from->node, first = from->index, second = to->index, head = origin->flowRecords().head()](
                    core::TimePoint) {
                    auto* receiver = balancer(second);
                    auto* sender = balancer(first);
                    m_slots[second]->recordBytes += flow::flowRecordHeaderBytes;
                    const auto missing = receiver ? receiver->flowRecords().firstMissing(node, head) : std::nullopt;
                    if (!missing || !sender)
                        return;
                    auto records = sender->flowRecords().since(*missing);
                    if (records.size() > maxRecordsPerDatagram)
                        records.resize(maxRecordsPerDatagram);
                    sendFlowRecords(*m_slots[first], *m_slots[second], records);
                });
        }
    }
}

void BalancerGroup::adoptFlowRecords(Slot& joining)
{
    for (auto& it : m_slots) {
        auto* peer = balancer(it->index);
        if (it->index == joining.index || !peer || !it->inFabric)
            continue;
        const auto records = peer->flowRecords().all();
        joining.recordBytes += records.size() * flow::flowRecordWireBytes;
        it->recordBytes += records.size() * flow::flowRecordWireBytes;
        if (joining.member->balancer())
            joining.member->balancer()->adoptFlowRecords(records, peer->flowRecords().heads());
        return;
    }
}

void BalancerGroup::tellPeers()
{
    std::vector<flow::RingMember> members;
    for (const auto& it : m_slots) {
        if (it->member && (it->inFabric || it->isLeaving))
            members.push_back({ it->node, zoneOf(*it), it->isLeaving });
    }
    for (auto& it : m_slots) {
        if (it->member && it->member->balancer())
            it->member->balancer()->setPeers(members, m_queue.now());
    }
}

balancer::Balancer* BalancerGroup::balancer(unsigned index)
{
    auto& member = m_slots[index]->member;
    return member ? member->balancer() : nullptr;
}

void BalancerGroup::killBalancer(unsigned index)
{
    m_slots[index]->member.reset();
    m_queue.after(m_options.fabricDetectionDelay, [this, index](auto) {
        if (!m_slots[index]->member)
            m_slots[index]->inFabric = false;
    });
    m_queue.after(m_options.detectionDelay, [this](auto) { tellPeers(); });
}

void BalancerGroup::stopBalancer(unsigned index, core::Duration grace)
{
    auto& slot = *m_slots[index];
    slot.inFabric = false;
    slot.isLeaving = true;
    tellPeers();
    if (auto* leaving = balancer(index))
        leaving->handOver(m_queue.now());
    m_queue.after(grace, [this, index, starts = slot.starts](auto) {
        if (m_slots[index]->starts != starts)
            return;
        m_slots[index]->member.reset();
        tellPeers();
    });
}

void BalancerGroup::startBalancer(unsigned index)
{
    auto& slot = *m_slots[index];
    createMember(slot);
    m_queue.after(m_options.joinDelay, [this, index, starts = slot.starts](auto) {
        auto& joining = *m_slots[index];
        if (!joining.member || joining.starts != starts)
            return;
        adoptFlowRecords(joining);
        joining.inFabric = true;
        tellPeers();
    });
}

core::ZoneName BalancerGroup::zoneOf(const Slot& slot) const
{
    return m_options.zones[slot.index % m_options.zones.size()];
}

void BalancerGroup::createMember(Slot& slot)
{
    balancer::BalancerOptions options { slot.node, zoneOf(slot), m_options.flowCapacity };
    options.rules = m_options.rules;
    options.firstRecordSequence = static_cast<std::uint64_t>(m_queue.now().time_since_epoch().count());
    slot.member
        = m_options.makeMember ? m_options.makeMember(options) : std::make_unique<BalancerMember>(options, m_random);
    ++slot.starts;
    slot.inFabric = false;
    slot.isLeaving = false;
    if (auto* created = slot.member->balancer())
        created->applyDocument(m_document, m_queue.now());
}

} // namespace support
