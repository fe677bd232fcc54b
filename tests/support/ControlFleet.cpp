#include "support/ControlFleet.h"

#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/upstream/OverdueMonitor.h"

#include <algorithm>
#include <string>

namespace support {

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration tickPeriod = 20ms;
constexpr core::Duration balancerTickPeriod = 25ms;
// Without an acknowledgement within this time an upstream sends its report to the next controller.
constexpr core::Duration acknowledgementTimeout = 1s;
// The daemons start at random times within this span.
constexpr core::Duration maxStartDelay = 300ms;
// A follower learns of a commit with the next message of the leader.
constexpr core::Duration maxCommitDelay = 200ms;
// Capacity of a controller's socket buffers, as the time until it has processed their content. Further messages from
// daemons are lost.
constexpr core::Duration socketBufferTime = 2s;

constexpr std::uint64_t firstBalancer = 1000;
constexpr std::uint64_t firstUpstream = 100'000;

core::NodeId controllerNode(std::size_t n)
{
    return { n + 1 };
}

core::NodeId balancerNode(std::size_t n)
{
    return { firstBalancer + n };
}

bool isController(core::NodeId node)
{
    return node.value < firstBalancer;
}

std::size_t indexOf(core::NodeId node)
{
    return isController(node) ? node.value - 1 : node.value - firstBalancer;
}

std::string zoneName(std::size_t n)
{
    return "zone-" + std::to_string(n);
}

} // namespace

struct ControlFleet::Controller final : sync::SyncOutput {
    ControlFleet& fleet;
    core::NodeId node;
    upstream::InstanceDirectory directory;
    sync::DirectoryFeed feed;
    sync::DirectorySubscriber subscriber;
    adapters::SyncEncoder encoder;
    upstream::OverdueMonitor overdue;
    upstream::ZoneEvacuations evacuations;
    core::TimePoint busyUntil {};
    core::Duration busyTime { 0 };
    Traffic toBalancers;
    Traffic toControllers;

    Controller(ControlFleet& owner, std::size_t n, sync::SubscriberOptions options)
        : fleet(owner)
        , node(controllerNode(n))
        , feed(n + 1, directory)
        , subscriber(std::move(options), directory)
        , overdue(owner.m_options.reportInterval)
    {
    }

    void send(core::NodeId to, const sync::SyncMessage& message) override
    {
        std::string bytes(encoder.encode(message, fleet.now()));
        auto& traffic = isController(to) ? toControllers : toBalancers;
        ++traffic.messages;
        traffic.bytes += bytes.size();
        busyTime += fleet.m_options.messageCost;
        busyUntil = std::max(busyUntil, fleet.now()) + fleet.m_options.messageCost;
        fleet.deliver(node, to, std::move(bytes));
    }
};

struct ControlFleet::Balancer final : sync::SyncOutput {
    ControlFleet& fleet;
    core::NodeId node;
    upstream::InstanceDirectory directory;
    sync::DirectorySubscriber subscriber;
    core::TimePoint pausedUntil {};
    Traffic sent;

    Balancer(ControlFleet& owner, std::size_t n, sync::SubscriberOptions options)
        : fleet(owner)
        , node(balancerNode(n))
        , subscriber(std::move(options), directory)
    {
    }

    void send(core::NodeId to, const sync::SyncMessage& message) override
    {
        auto bytes = adapters::encodeSyncMessage(message);
        ++sent.messages;
        sent.bytes += bytes.size();
        fleet.deliver(node, to, std::move(bytes));
    }
};

struct ControlFleet::Upstream {
    upstream::InstanceReport report;
    std::size_t controller { 0 };
    std::uint64_t acknowledgedSequence { 0 };
    bool isSilent { false };
};

ControlFleet::ControlFleet(ControlFleetOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_queue({ 1ms, 2ms, options.loss, 0.0 }, m_random)
    , m_resetAt(m_queue.now())
{
    for (std::size_t n = 0; n < options.controllers; ++n) {
        auto subscription = subscriberOptions(controllerNode(n));
        subscription.isController = true;
        subscription.interval = 400ms;
        m_controllers.push_back(std::make_unique<Controller>(*this, n, subscription));
        startController(n);
    }
    for (std::size_t n = 0; n < options.balancers; ++n) {
        m_balancers.push_back(makeBalancer(n));
        startBalancer(n);
    }
    for (std::size_t n = 0; n < options.upstreams; ++n) {
        auto& entry = *m_upstreams.emplace_back(std::make_unique<Upstream>());
        entry.report.id = { firstUpstream + n };
        entry.report.incarnation = 1000;
        entry.report.service = "service";
        entry.report.zone = zoneName(n % options.zones);
        entry.report.address = { 0x0a000000 + static_cast<std::uint32_t>(n), 8080 };
        entry.report.slots = 2;
        entry.controller = m_random.below(options.controllers);
        scheduleReport(n, core::Duration(m_random.below(static_cast<std::uint64_t>(options.reportInterval.count()))));
    }
}

ControlFleet::~ControlFleet() = default;

void ControlFleet::runFor(core::Duration duration)
{
    m_queue.runFor(duration);
}

sync::SubscriberOptions ControlFleet::subscriberOptions(core::NodeId self)
{
    sync::SubscriberOptions options;
    for (std::size_t n = 0; n < std::min<std::size_t>(3, m_options.controllers); ++n)
        options.seeds.push_back(controllerNode(n));
    options.self = self;
    options.process = m_random.next();
    return options;
}

std::unique_ptr<ControlFleet::Balancer> ControlFleet::makeBalancer(std::size_t n)
{
    auto options = subscriberOptions(balancerNode(n));
    options.zone = zoneName(n % m_options.zones);
    return std::make_unique<Balancer>(*this, n, std::move(options));
}

void ControlFleet::startController(std::size_t n)
{
    m_queue.after(core::Duration(m_random.below(static_cast<std::uint64_t>(maxStartDelay.count()))),
        [this, n](core::TimePoint) { tickController(n); });
}

void ControlFleet::startBalancer(std::size_t n)
{
    const auto delay = core::Duration(m_random.below(static_cast<std::uint64_t>(maxStartDelay.count())));
    m_queue.after(delay, [this, n](core::TimePoint now) {
        auto& balancer = *m_balancers[n];
        if (now >= balancer.pausedUntil)
            balancer.subscriber.tick(now, balancer);
        m_queue.after(balancerTickPeriod, [this, n](core::TimePoint) { startBalancer(n); });
    });
}

void ControlFleet::tickController(std::size_t n)
{
    enqueueWork(n, {}, [this, n](core::TimePoint now) {
        auto& controller = *m_controllers[n];
        controller.subscriber.tick(now, controller);
        controller.overdue.tick(controller.directory, reachesMajority(n), now);
        controller.feed.publish(headOf(n), now, controller);
        m_queue.after(tickPeriod, [this, n](core::TimePoint) { tickController(n); });
    });
}

void ControlFleet::enqueueWork(std::size_t n, core::Duration cost, MessageQueue::Action action)
{
    auto& controller = *m_controllers[n];
    const auto start = std::max(m_queue.now(), controller.busyUntil);
    controller.busyUntil = start + cost;
    controller.busyTime += cost;
    if (controller.busyUntil <= m_queue.now())
        action(m_queue.now());
    else
        m_queue.at(controller.busyUntil, std::move(action));
}

void ControlFleet::deliver(core::NodeId from, core::NodeId to, std::string bytes)
{
    m_queue.send(from.value, to.value, [this, from, to, bytes = std::move(bytes)](core::TimePoint now) {
        const auto n = indexOf(to);
        if (!isController(to)) {
            if (now < m_balancers[n]->pausedUntil)
                return;
            const auto message = adapters::decodeSyncMessage(bytes);
            const auto& update = std::get<sync::DirectoryUpdate>(*message);
            m_itemsReceived += update.items.size();
            m_balancers[n]->subscriber.handle(from, update, now, *m_balancers[n]);
            return;
        }
        if (m_controllers[n]->busyUntil - now > socketBufferTime)
            return;
        enqueueWork(n, m_options.messageCost, [this, from, n, bytes](core::TimePoint processedAt) {
            auto& controller = *m_controllers[n];
            const auto message = adapters::decodeSyncMessage(bytes);
            if (const auto* it = std::get_if<sync::Subscription>(&*message)) {
                if (it->isController)
                    controller.subscriber.addController(from);
                controller.feed.handle(from, *it, headOf(n), processedAt, controller);
            } else {
                controller.subscriber.handle(from, std::get<sync::DirectoryUpdate>(*message), processedAt, controller);
            }
        });
    });
}

void ControlFleet::scheduleReport(std::size_t upstream, core::Duration delay)
{
    m_queue.after(delay, [this, upstream](core::TimePoint) {
        auto& entry = *m_upstreams[upstream];
        if (entry.isSilent)
            return;
        ++entry.report.sequence;
        report(upstream, entry.controller);
        scheduleReport(upstream, m_options.reportInterval);
    });
}

void ControlFleet::report(std::size_t upstream, std::size_t controller)
{
    const auto sent = m_upstreams[upstream]->report;
    m_upstreams[upstream]->controller = controller;
    m_queue.send(sent.id.value, controllerNode(controller).value, [this, upstream, controller, sent](core::TimePoint) {
        enqueueWork(controller, m_options.reportCost,
            [this, upstream, controller, sent](core::TimePoint) { receiveReport(upstream, controller, sent); });
    });
    m_queue.after(acknowledgementTimeout, [this, upstream, controller, sent](core::TimePoint) {
        const auto& entry = *m_upstreams[upstream];
        if (entry.acknowledgedSequence < sent.sequence && entry.report.sequence == sent.sequence && !entry.isSilent)
            report(upstream, (controller + 1) % m_options.controllers);
    });
}

void ControlFleet::receiveReport(std::size_t upstream, std::size_t n, const upstream::InstanceReport& report)
{
    auto& controller = *m_controllers[n];
    const auto outcome = controller.directory.apply(report, {}, now());
    if (outcome == upstream::ReportOutcome::Changed && report.state != upstream::InstanceState::Ready)
        controller.feed.publish(headOf(n), now(), controller);
    m_queue.send(controller.node.value, report.id.value, [this, upstream, report](core::TimePoint) {
        auto& entry = *m_upstreams[upstream];
        entry.acknowledgedSequence = std::max(entry.acknowledgedSequence, report.sequence);
    });
}

bool ControlFleet::reachesMajority(std::size_t controller) const
{
    return m_controllers[controller]->subscriber.reachableControllers(now()) >= m_options.controllers / 2;
}

sync::FeedStatus ControlFleet::headOf(std::size_t controller) const
{
    const bool isCurrent = m_controllers[controller]->subscriber.hasCompleteDirectory() && reachesMajority(controller);
    sync::FeedStatus head { 1, {}, 1, zoneName(controller % m_options.zones), isCurrent };
    head.evacuations = m_controllers[controller]->evacuations;
    head.loggedEvacuationRevision = head.evacuations.revision;
    for (std::size_t n = 0; n < m_options.controllers; ++n)
        head.controllers.push_back(controllerNode(n));
    return head;
}

void ControlFleet::pause(std::size_t controller, core::Duration duration)
{
    auto& entry = *m_controllers[controller];
    entry.busyUntil = std::max(entry.busyUntil, now()) + duration;
}

void ControlFleet::cutController(std::size_t controller)
{
    cutFromControllers(controller);
    for (std::size_t n = 0; n < m_balancers.size(); ++n)
        m_queue.cutBoth(controllerNode(controller).value, balancerNode(n).value);
    for (const auto& it : m_upstreams)
        m_queue.cutBoth(controllerNode(controller).value, it->report.id.value);
}

void ControlFleet::cutFromControllers(std::size_t controller)
{
    for (std::size_t n = 0; n < m_controllers.size(); ++n) {
        if (n != controller)
            m_queue.cutBoth(controllerNode(controller).value, controllerNode(n).value);
    }
}

void ControlFleet::heal()
{
    m_queue.healAll();
}

void ControlFleet::stopReports(std::size_t upstream)
{
    m_upstreams[upstream]->isSilent = true;
}

void ControlFleet::drain(std::size_t upstream, std::size_t controller)
{
    auto& entry = *m_upstreams[upstream];
    entry.report.state = upstream::InstanceState::Draining;
    ++entry.report.sequence;
    report(upstream, controller);
}

void ControlFleet::commit(const upstream::ZoneEvacuations& evacuations)
{
    for (const auto& it : m_controllers) {
        const auto delay = core::Duration(m_random.below(static_cast<std::uint64_t>(maxCommitDelay.count())));
        m_queue.after(
            delay, [&controller = *it, evacuations](core::TimePoint) { controller.evacuations = evacuations; });
    }
}

void ControlFleet::pauseBalancer(std::size_t balancer, core::Duration duration)
{
    m_balancers[balancer]->pausedUntil = now() + duration;
}

void ControlFleet::restartBalancer(std::size_t balancer)
{
    m_balancers[balancer] = makeBalancer(balancer);
}

std::size_t ControlFleet::balancersWith(const upstream::ZoneEvacuations& evacuations) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_balancers, [&](const auto& it) { return it->subscriber.evacuations() == evacuations; }));
}

std::size_t ControlFleet::subscribedController(std::size_t balancer) const
{
    return indexOf(m_balancers[balancer]->subscriber.followedController());
}

bool ControlFleet::isListedAsDraining(std::size_t balancer, std::size_t upstream) const
{
    const auto* record = m_balancers[balancer]->directory.find(m_upstreams[upstream]->report.id);
    return record && record->report.state == upstream::InstanceState::Draining;
}

std::size_t ControlFleet::overdueCountAt(std::size_t balancer) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_balancers[balancer]->directory.records(), [](const auto& it) { return it.second.isOverdue; }));
}

std::size_t ControlFleet::balancersWithAllUpstreams() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_balancers, [this](const auto& balancer) {
        return std::ranges::all_of(m_upstreams,
            [&balancer](const auto& it) { return it->isSilent || balancer->directory.find(it->report.id); });
    }));
}

std::size_t ControlFleet::falseOverdueMarks() const
{
    std::size_t count = 0;
    for (const auto& balancer : m_balancers) {
        for (const auto& it : m_upstreams) {
            const auto* record = balancer->directory.find(it->report.id);
            count += !it->isSilent && record && record->isOverdue ? 1 : 0;
        }
    }
    return count;
}

ControlFleet::Traffic ControlFleet::busiestToBalancers() const
{
    return (*std::ranges::max_element(m_controllers, {}, [](const auto& it) {
        return it->toBalancers.bytes;
    }))->toBalancers;
}

ControlFleet::Traffic ControlFleet::busiestToControllers() const
{
    return (*std::ranges::max_element(m_controllers, {}, [](const auto& it) {
        return it->toControllers.bytes;
    }))->toControllers;
}

ControlFleet::Traffic ControlFleet::busiestBalancer() const
{
    return (*std::ranges::max_element(m_balancers, {}, [](const auto& it) { return it->sent.bytes; }))->sent;
}

double ControlFleet::busiestControllerLoad() const
{
    const auto busiest = std::ranges::max_element(m_controllers, {}, [](const auto& it) { return it->busyTime; });
    return core::toSeconds((*busiest)->busyTime) / core::toSeconds(now() - m_resetAt);
}

void ControlFleet::resetTraffic()
{
    m_resetAt = now();
    for (auto& it : m_controllers) {
        it->busyTime = {};
        it->toBalancers = it->toControllers = {};
    }
    for (auto& it : m_balancers)
        it->sent = {};
}

} // namespace support
