#include "support/RegisterGroup.h"

#include <algorithm>
#include <stdexcept>

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration tickInterval = 20ms;
constexpr core::Duration leaveLimit = 3s;
// Time after which a controller answers an order whose outcome is open.
constexpr core::Duration orderTimeout = 850ms;
// Number of controllers that the settings of each controller list as seeds.
constexpr std::size_t seedCount = 3;

} // namespace

struct RegisterGroup::Output final : RaftOutput {
    Output(RegisterGroup& group, core::NodeId from)
        : group(group)
        , from(from)
    {
    }

    void send(core::NodeId to, const RaftMessage& message) override
    {
        group.m_queue.send(from.value, to.value,
            [&group = group, from = from, to, message](core::TimePoint) { group.deliver(from, to, message); });
    }

    RegisterGroup& group;
    core::NodeId from;
};

RegisterGroup::RegisterGroup(std::size_t controllers, std::size_t toleratedDiskLosses, std::uint64_t seed,
    core::Duration commitSaveInterval, std::size_t zones)
    : m_toleratedDiskLosses(toleratedDiskLosses)
    , m_seed(seed)
    , m_commitSaveInterval(commitSaveInterval)
    , m_random(seed)
    , m_queue({}, m_random)
{
    for (std::size_t n = 1; n <= seedCount; ++n)
        m_seeds.push_back({ n });
    for (std::size_t n = 0; n < controllers; ++n)
        create(zones > 1 ? "zone " + std::to_string(n % zones) : core::ZoneName {}, true);
}

core::NodeId RegisterGroup::create(const core::ZoneName& zone, bool isFirstStart)
{
    const core::NodeId node { m_members.size() + 1 };
    auto& member = m_members[node];
    member.zone = zone;
    member.random = std::make_unique<core::PcgRandomSource>(m_seed + node.value);
    member.store = std::make_unique<MemoryLogStore>(*member.random);
    start(node, isFirstStart);
    return node;
}

core::NodeId RegisterGroup::add(const core::ZoneName& zone)
{
    const auto nodes = running();
    m_seeds.assign(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(std::min(seedCount, nodes.size())));
    return create(zone, false);
}

void RegisterGroup::start(core::NodeId node)
{
    start(node, false);
}

void RegisterGroup::start(core::NodeId node, bool isFirstStart)
{
    RaftOptions options;
    options.self = node;
    options.zone = zoneOf(node);
    options.controllers = m_seeds;
    options.membershipMode = MembershipMode::Open;
    options.mayBootstrapGroup = isFirstStart;
    options.toleratedDiskLosses = m_toleratedDiskLosses;
    options.heartbeatInterval = 120ms;
    options.electionTimeout = 500ms;
    options.diskCheckWait = 300ms;
    options.diskCheckInterval = 100ms;
    options.commitSaveInterval = m_commitSaveInterval;
    auto& member = m_members.at(node);
    member.instance = std::make_unique<ConfigurationRegister>(options, *member.store, *member.random);
    if (!member.instance->start(m_queue.now()))
        throw std::runtime_error("the controller could not be started");
}

void RegisterGroup::stop(core::NodeId node)
{
    auto& member = m_members.at(node);
    member.instance.reset();
    member.store->crash(true);
}

void RegisterGroup::stopAsPlanned(core::NodeId node)
{
    auto& instance = *m_members.at(node).instance;
    instance.beginLeave(m_queue.now());
    const auto end = m_queue.now() + leaveLimit;
    while (m_queue.now() < end && !instance.isLeaveComplete())
        runFor(tickInterval);
    stop(node);
}

void RegisterGroup::wipe(core::NodeId node)
{
    m_members.at(node).store->wipe();
}

void RegisterGroup::deliver(core::NodeId from, core::NodeId to, const RaftMessage& message)
{
    const auto target = m_members.find(to);
    if (m_isolated.contains(from) || m_isolated.contains(to) || m_paused.contains(to) || target == m_members.end()
        || !target->second.instance)
        return;
    Output output(*this, to);
    target->second.instance->handleMessage(from, message, m_queue.now(), output);
}

void RegisterGroup::runFor(core::Duration duration)
{
    const auto end = m_queue.now() + duration;
    while (m_queue.now() < end) {
        m_queue.runFor(tickInterval);
        for (auto& [node, member] : m_members) {
            Output output(*this, node);
            if (member.instance && !m_paused.contains(node))
                member.instance->tick(m_queue.now(), output);
        }
    }
}

core::NodeId RegisterGroup::leader() const
{
    for (const auto& [node, member] : m_members) {
        if (member.instance && !m_isolated.contains(node) && member.instance->raft().role() == RaftRole::Leader)
            return node;
    }
    return {};
}

std::vector<core::NodeId> RegisterGroup::running() const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, member] : m_members) {
        if (member.instance)
            nodes.push_back(node);
    }
    return nodes;
}

template <typename Attempt> bool RegisterGroup::retryAtLeader(core::Duration limit, Attempt attempt)
{
    for (const auto end = m_queue.now() + limit; m_queue.now() < end; runFor(tickInterval)) {
        const auto node = leader();
        if (!node.isValid())
            continue;
        Output output(*this, node);
        if (attempt(*m_members.at(node).instance, output))
            return true;
    }
    return false;
}

bool RegisterGroup::replace(std::uint64_t version, core::Duration limit)
{
    const auto text = "configuration " + std::to_string(version);
    return retryAtLeader(limit, [&](ConfigurationRegister& instance, RaftOutput& output) {
        return instance.replace(version, text, m_queue.now(), output) == ReplaceStatus::Accepted;
    });
}

std::optional<OrderTicket> RegisterGroup::order(core::NodeId node, const EvacuationOrder& order)
{
    Output output(*this, node);
    return m_members.at(node).instance->evacuationOrders().begin(order, m_queue.now(), output);
}

bool RegisterGroup::evacuate(const EvacuationOrder& order, core::Duration limit)
{
    return retryAtLeader(limit, [&](ConfigurationRegister& instance, RaftOutput& output) {
        const auto ticket = instance.evacuationOrders().begin(order, m_queue.now(), output);
        if (!ticket)
            return false;
        const auto end = m_queue.now() + orderTimeout;
        while (m_queue.now() < end && instance.evacuationOrders().statusOf(*ticket) == OrderStatus::Pending)
            runFor(tickInterval);
        return instance.evacuationOrders().statusOf(*ticket) == OrderStatus::Acknowledged;
    });
}

std::uint64_t RegisterGroup::read(core::Duration limit)
{
    std::uint64_t version = 0;
    retryAtLeader(limit, [&](ConfigurationRegister& instance, RaftOutput& output) {
        const auto ticket = instance.beginRead(m_queue.now(), output);
        if (!ticket)
            return false;
        runFor(100ms);
        const bool isReady = instance.readState(*ticket) == ReadState::Ready;
        version = isReady ? instance.version() : 0;
        return isReady;
    });
    return version;
}

} // namespace support
