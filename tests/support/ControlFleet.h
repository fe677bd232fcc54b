#pragma once

#include "ibisgw/adapters/SyncEncoder.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/sync/DirectoryFeed.h"
#include "ibisgw/sync/DirectorySubscriber.h"
#include "support/MessageQueue.h"

#include <memory>
#include <vector>

namespace support {

struct ControlFleetOptions {
    std::size_t controllers { 5 };
    std::size_t balancers { 30 };
    std::size_t upstreams { 300 };
    std::size_t zones { 5 };
    ibisgw::core::Duration reportInterval { std::chrono::milliseconds(1200) };
    // Time that a controller is busy with one report of an upstream, and with each message it receives or sends.
    ibisgw::core::Duration reportCost { std::chrono::microseconds(400) };
    ibisgw::core::Duration messageCost { std::chrono::microseconds(100) };
    double loss { 0.0 };
    std::uint64_t seed { 1 };
};

// Controllers, balancers and upstreams that report themselves, in virtual time. A controller handles one thing after
// the other, so what comes faster than it works waits in its sockets, and an upstream that waits for more than a
// second asks the next controller. Shows how the traffic between daemons grows with the fleet.
class ControlFleet {
public:
    explicit ControlFleet(ControlFleetOptions);
    ~ControlFleet();

    void runFor(ibisgw::core::Duration);
    ibisgw::core::TimePoint now() const { return m_queue.now(); }

    // The controller handles nothing for a while; what arrives meanwhile waits.
    void pause(std::size_t controller, ibisgw::core::Duration);
    // The controller neither sends nor receives anything until it is healed.
    void cutController(std::size_t controller);
    // Only the other controllers are out of reach of the controller.
    void cutFromControllers(std::size_t controller);
    void heal();
    // The upstream says nothing more.
    void silence(std::size_t upstream);
    // The upstream tells the controller that it is draining.
    void drain(std::size_t upstream, std::size_t controller);

    // Number of the controller that the balancer follows.
    std::size_t followedBy(std::size_t balancer) const;
    bool isKnownToDrain(std::size_t balancer, std::size_t upstream) const;
    // Upstreams that the balancer holds for overdue.
    std::size_t overdueAt(std::size_t balancer) const;
    // Reports of upstreams that all balancers together have got.
    std::uint64_t itemsReceived() const { return m_itemsReceived; }
    // Balancers that know all upstreams that report themselves.
    std::size_t filledBalancers() const;
    // Marks of upstreams as overdue that balancers hold although the upstream reports itself.
    std::size_t falselyOverdue() const;

    struct Traffic {
        std::uint64_t messages { 0 };
        std::uint64_t bytes { 0 };
    };
    // What one controller has sent to balancers, and to controllers, since the last reset; the largest of all.
    Traffic busiestToBalancers() const;
    Traffic busiestToControllers() const;
    // What one balancer has sent since the last reset.
    Traffic busiestBalancer() const;
    // Share of the time that the busiest controller was busy since the last reset.
    double busiestController() const;
    void resetTraffic();

private:
    struct Controller;
    struct Balancer;
    struct Upstream;

    void startController(std::size_t);
    void startBalancer(std::size_t);
    void scheduleReport(std::size_t upstream, ibisgw::core::Duration);
    void report(std::size_t upstream, std::size_t controller);
    void receiveReport(std::size_t upstream, std::size_t controller, const ibisgw::upstream::InstanceReport&);
    void tickController(std::size_t);
    void handleAt(std::size_t controller, ibisgw::core::Duration cost, MessageQueue::Action);
    void deliver(ibisgw::core::NodeId from, ibisgw::core::NodeId to, std::string bytes);
    bool hearsMajority(std::size_t controller) const;
    ibisgw::sync::FeedHead headOf(std::size_t controller) const;

    ControlFleetOptions m_options;
    ibisgw::core::PcgRandomSource m_random;
    MessageQueue m_queue;
    ibisgw::core::TimePoint m_resetAt {};
    std::uint64_t m_itemsReceived { 0 };
    std::vector<std::unique_ptr<Controller>> m_controllers;
    std::vector<std::unique_ptr<Balancer>> m_balancers;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
};

} // namespace support
