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
    // Processing time of a controller for each report of an upstream, and for each message that it receives or sends.
    ibisgw::core::Duration reportCost { std::chrono::microseconds(400) };
    ibisgw::core::Duration messageCost { std::chrono::microseconds(100) };
    double loss { 0.0 };
    std::uint64_t seed { 1 };
};

// Simulation of controllers, balancers and upstreams in virtual time, to measure how the traffic between daemons grows
// with their number. Upstreams report their state to a controller, and controllers distribute it to balancers and to
// each other. A controller processes one message at a time; other messages wait in its socket buffers. An upstream that
// gets no acknowledgement within a second sends its report to the next controller.
class ControlFleet {
public:
    explicit ControlFleet(ControlFleetOptions);
    ~ControlFleet();

    void runFor(ibisgw::core::Duration);
    ibisgw::core::TimePoint now() const { return m_queue.now(); }

    // Suspends the controller for a while; messages that arrive meanwhile wait until it resumes.
    void pause(std::size_t controller, ibisgw::core::Duration);
    // Cuts the controller off from all other daemons and upstreams until heal().
    void cutController(std::size_t controller);
    // Cuts the controller off from the other controllers only, until heal().
    void cutFromControllers(std::size_t controller);
    // Removes all cuts.
    void heal();
    // The upstream sends no more reports.
    void stopReports(std::size_t upstream);
    // The upstream reports to the controller that it is draining.
    void drain(std::size_t upstream, std::size_t controller);

    // All controllers learn within 200 ms that the set is committed.
    void commit(const ibisgw::upstream::ZoneEvacuations&);
    // Suspends the balancer for a while; messages that arrive meanwhile are lost.
    void pauseBalancer(std::size_t balancer, ibisgw::core::Duration);
    // Starts the process of the balancer again, with an empty state.
    void restartBalancer(std::size_t balancer);
    // Number of balancers that have received this set of evacuated zones.
    std::size_t balancersWith(const ibisgw::upstream::ZoneEvacuations&) const;

    // Index of the controller that the balancer is subscribed to.
    std::size_t subscribedController(std::size_t balancer) const;
    // Whether the balancer's directory lists the upstream as draining.
    bool isListedAsDraining(std::size_t balancer, std::size_t upstream) const;
    // Number of upstreams that are marked as overdue in the balancer's directory.
    std::size_t overdueCountAt(std::size_t balancer) const;
    // Number of directory items (reports of upstreams) that all balancers together have received.
    std::uint64_t itemsReceived() const { return m_itemsReceived; }
    // Number of balancers whose directory holds all upstreams that still send reports.
    std::size_t balancersWithAllUpstreams() const;
    // Number of overdue marks in the directories of all balancers for upstreams that still send reports.
    std::size_t falseOverdueMarks() const;

    struct Traffic {
        std::uint64_t messages { 0 };
        std::uint64_t bytes { 0 };
    };
    // What the busiest controller, by bytes, has sent to balancers or to other controllers since resetTraffic().
    Traffic busiestToBalancers() const;
    Traffic busiestToControllers() const;
    // What the busiest balancer, by bytes, has sent since resetTraffic().
    Traffic busiestBalancer() const;
    // Share of the time since resetTraffic() in which the busiest controller was processing messages.
    double busiestControllerLoad() const;
    void resetTraffic();

private:
    struct Controller;
    struct Balancer;
    struct Upstream;

    void startController(std::size_t);
    std::unique_ptr<Balancer> makeBalancer(std::size_t);
    void startBalancer(std::size_t);
    void scheduleReport(std::size_t upstream, ibisgw::core::Duration);
    void report(std::size_t upstream, std::size_t controller);
    void receiveReport(std::size_t upstream, std::size_t controller, const ibisgw::upstream::InstanceReport&);
    void tickController(std::size_t);
    // Runs the action on the controller once it has processed what it received before, and accounts the cost.
    void enqueueWork(std::size_t controller, ibisgw::core::Duration cost, MessageQueue::Action);
    void deliver(ibisgw::core::NodeId from, ibisgw::core::NodeId to, std::string bytes);
    // Whether the controller and the controllers that it can reach are a majority.
    bool reachesMajority(std::size_t controller) const;
    ibisgw::sync::SubscriberOptions subscriberOptions(ibisgw::core::NodeId self);
    ibisgw::sync::FeedStatus headOf(std::size_t controller) const;

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
