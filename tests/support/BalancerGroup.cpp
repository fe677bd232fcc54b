#include "support/BalancerGroup.h"

#include "support/BalancerMember.h"

namespace support {

using namespace ibisgw;
using packet::Packet;

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);

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
        }
        const auto previous = now - tickPeriod;
        const auto period = m_options.announcementPeriod;
        if (now.time_since_epoch() / period != previous.time_since_epoch() / period) {
            for (auto& it : m_upstreams)
                announce(*it);
        }
        schedulePeriodicWork();
    });
}

void BalancerGroup::tellPeers()
{
    std::vector<core::NodeId> running;
    for (const auto& it : m_slots) {
        if (it->member && it->inFabric && !it->isLeaving)
            running.push_back(it->node);
    }
    for (auto& it : m_slots) {
        if (it->member && it->member->balancer())
            it->member->balancer()->setPeers(running, m_queue.now());
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
    m_queue.after(grace, [this, index, starts = slot.starts](auto) {
        if (m_slots[index]->starts == starts)
            m_slots[index]->member.reset();
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
        joining.inFabric = true;
        tellPeers();
    });
}

void BalancerGroup::createMember(Slot& slot)
{
    const balancer::BalancerOptions options { slot.node, m_options.zones[slot.index % m_options.zones.size()],
        m_options.flowCapacity };
    slot.member
        = m_options.makeMember ? m_options.makeMember(options) : std::make_unique<BalancerMember>(options, m_random);
    ++slot.starts;
    slot.inFabric = false;
    slot.isLeaving = false;
    if (auto* created = slot.member->balancer())
        created->applyDocument(m_document, m_queue.now());
}

} // namespace support
