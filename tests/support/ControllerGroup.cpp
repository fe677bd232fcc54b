#include "support/ControllerGroup.h"

#include <algorithm>

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;

namespace {

// Number of controllers that the settings list as seeds when the membership is open.
constexpr ControllerGroup::Machine seedCount = 3;

constexpr core::Duration tickInterval = std::chrono::milliseconds(100);

} // namespace

class ControllerGroup::Output final : public RaftOutput {
public:
    Output(ControllerGroup& group, Machine self)
        : m_group(group)
        , m_self(self)
    {
    }

    void send(core::NodeId to, const RaftMessage& message) override
    {
        m_group.m_queue.send(m_self, to.value, [&group = m_group, from = m_self, to, message](core::TimePoint) {
            group.deliver(from, to.value, message);
        });
    }

private:
    ControllerGroup& m_group;
    Machine m_self;
};

ControllerGroup::ControllerGroup(
    std::size_t count, RaftOptions options, MessageQueue& queue, core::RandomSource& random, std::size_t successors)
    : m_options(std::move(options))
    , m_queue(queue)
    , m_random(random)
    , m_successors(successors)
{
    for (Machine machine = 1; machine <= count; ++machine) {
        if (m_options.membershipMode == MembershipMode::Listed || machine <= seedCount)
            m_options.controllers.push_back(nodeOf(machine));
        m_controllers[machine].store = std::make_unique<MemoryLogStore>(random);
    }
}

bool ControllerGroup::isRunning(Machine machine) const
{
    return m_controllers.at(machine).service != nullptr;
}

bool ControllerGroup::isPaused(Machine machine) const
{
    return m_controllers.at(machine).isPaused;
}

ConfigurationService& ControllerGroup::service(Machine machine)
{
    return *m_controllers.at(machine).service;
}

MemoryLogStore& ControllerGroup::store(Machine machine)
{
    return *m_controllers.at(machine).store;
}

void ControllerGroup::start(Machine machine)
{
    auto& controller = m_controllers.at(machine);
    if (controller.service)
        return;
    auto options = m_options;
    options.self = nodeOf(machine);
    if (options.membershipMode == MembershipMode::Open)
        options.mayBootstrapGroup = controller.startCount == 0 && isInitial(machine);
    if (m_successors > 0)
        options.zone = "zone " + std::to_string((machine - 1) % initialSize());
    controller.service = std::make_unique<ConfigurationService>(options, *controller.store, m_random);
    controller.isPaused = false;
    controller.inbox.clear();
    m_checks.recordStart(machine);
    if (!controller.service->start(m_queue.now()))
        controller.service.reset();
    scheduleTick(machine, ++controller.startCount);
}

void ControllerGroup::startAll()
{
    for (const auto& [machine, controller] : m_controllers) {
        if (isInitial(machine))
            start(machine);
    }
}

void ControllerGroup::kill(Machine machine, bool losesUnsynced)
{
    auto& controller = m_controllers.at(machine);
    controller.service.reset();
    controller.store->crash(losesUnsynced);
}

void ControllerGroup::pause(Machine machine)
{
    m_controllers.at(machine).isPaused = true;
}

void ControllerGroup::resume(Machine machine)
{
    auto& controller = m_controllers.at(machine);
    if (!controller.isPaused)
        return;
    controller.isPaused = false;
    for (const auto& [from, message] : std::exchange(controller.inbox, {}))
        deliver(from, machine, message);
}

void ControllerGroup::isolate(Machine machine)
{
    for (const auto& [other, controller] : m_controllers) {
        if (other != machine)
            m_queue.cutBoth(machine, other);
    }
}

ControllerGroup::Machine ControllerGroup::acceptingLeader() const
{
    Machine leader = 0;
    Term term = 0;
    for (const auto& [machine, controller] : m_controllers) {
        if (!controller.service || controller.isPaused)
            continue;
        const auto& raft = controller.service->raft();
        if (raft.isAccepting() && raft.term() > term) {
            leader = machine;
            term = raft.term();
        }
    }
    return leader;
}

std::size_t ControllerGroup::countIntactVoters(const Membership& membership, Machine without) const
{
    return static_cast<std::size_t>(std::ranges::count_if(membership.members, [&](const Member& it) {
        return it.voter && it.node != nodeOf(without) && m_controllers.at(it.node.value).store->disk() == it.disk;
    }));
}

bool ControllerGroup::holdsInMemberships(const MembershipCheck& check) const
{
    const auto majority = initialSize() / 2 + 1;
    if (m_checks.committedMembership().voterCount() < majority || !check(m_checks.committedMembership()))
        return false;
    return std::ranges::all_of(m_controllers, [&](const auto& it) {
        return !it.second.service || it.second.service->raft().log().membership().voterCount() == 0
            || check(it.second.service->raft().log().membership());
    });
}

bool ControllerGroup::mayLoseDisk(Machine machine) const
{
    return holdsInMemberships([&](const Membership& it) { return countIntactVoters(it, machine) >= it.majority(); });
}

bool ControllerGroup::hasQuorumWithoutDisk(Machine machine) const
{
    const auto hasQuorum = [&](const Membership& it) {
        return countIntactVoters(it, machine) + it.lostVoterAllowance() >= it.majority();
    };
    return holdsInMemberships(hasQuorum)
        && std::ranges::all_of(m_controllers, [&](const auto& it) { return holdsOnDisk(*it.second.store, hasQuorum); });
}

bool ControllerGroup::mayEndForGood(Machine machine) const
{
    const auto hasMajority = [&](const Membership& it) { return countIntactVoters(it, machine) >= it.majority(); };
    return holdsInMemberships(hasMajority) && std::ranges::all_of(m_controllers, [&](const auto& it) {
        return holdsOnDisk(*it.second.store, hasMajority);
    });
}

bool ControllerGroup::holdsOnDisk(const MemoryLogStore& store, const MembershipCheck& check) const
{
    auto stored = store.copy();
    RaftLog log;
    log.reset(std::move(stored.snapshot), std::move(stored.entries));
    if (log.membership().voterCount() == 0)
        return true;
    const auto* replaced = log.membershipIndex() > stored.commitIndex ? log.previousMembership() : nullptr;
    return check(log.membership()) && (!replaced || check(*replaced));
}

bool ControllerGroup::runUntilComplete(core::Duration limit)
{
    return runUntil(
        [this] {
            const auto leader = acceptingLeader();
            if (leader == 0)
                return false;
            const auto voters = service(leader).status().voters.size();
            return (voters == size() || (m_successors > 0 && voters >= initialSize()))
                && service(leader).raft().commitIndex() == service(leader).raft().log().lastIndex();
        },
        limit);
}

bool ControllerGroup::runUntil(const std::function<bool()>& condition, core::Duration limit)
{
    const auto end = m_queue.now() + limit;
    while (!condition()) {
        if (m_queue.now() >= end)
            return false;
        m_queue.step();
    }
    return true;
}

SubmissionOutcome ControllerGroup::submit(Machine machine, const Submission& submission)
{
    Output output(*this, machine);
    auto outcome = service(machine).submit(submission, m_queue.now(), output);
    m_checks.check(machine, service(machine));
    m_checks.recordOutcome(submission, outcome);
    return outcome;
}

std::optional<ReadTicket> ControllerGroup::beginRead(Machine machine)
{
    Output output(*this, machine);
    return service(machine).beginRead(m_queue.now(), output);
}

bool ControllerGroup::remove(Machine leader, Machine removed)
{
    Output output(*this, leader);
    return static_cast<bool>(service(leader).removeController(nodeOf(removed), m_queue.now(), output));
}

void ControllerGroup::deliver(Machine from, Machine to, const RaftMessage& message)
{
    auto& controller = m_controllers.at(to);
    if (!controller.service)
        return;
    if (controller.isPaused) {
        controller.inbox.emplace_back(from, message);
        return;
    }
    Output output(*this, to);
    controller.service->handleMessage(nodeOf(from), message, m_queue.now(), output);
    m_checks.check(to, *controller.service);
}

void ControllerGroup::scheduleTick(Machine machine, std::uint64_t startCount)
{
    m_queue.after(tickInterval, [this, machine, startCount](core::TimePoint now) {
        auto& controller = m_controllers.at(machine);
        if (!controller.service || controller.startCount != startCount)
            return;
        if (!controller.isPaused) {
            Output output(*this, machine);
            controller.service->tick(now, output);
            m_checks.check(machine, *controller.service);
        }
        scheduleTick(machine, startCount);
    });
}

} // namespace support
