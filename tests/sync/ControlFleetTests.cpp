#include "support/ControlFleet.h"

#include <doctest/doctest.h>

using namespace support;
using namespace std::chrono_literals;

namespace {

ControlFleetOptions smallFleet()
{
    ControlFleetOptions options;
    options.balancers = 10;
    options.upstreams = 40;
    return options;
}

std::size_t balancersWithDrain(const ControlFleet& fleet, const ControlFleetOptions& options, std::size_t upstream)
{
    std::size_t count = 0;
    for (std::size_t n = 0; n < options.balancers; ++n)
        count += fleet.isListedAsDraining(n, upstream) ? 1 : 0;
    return count;
}

} // namespace

TEST_SUITE("sync")
{
    TEST_CASE("each balancer follows the changes of one controller")
    {
        const auto options = smallFleet();
        ControlFleet fleet(options);
        fleet.runFor(5s);
        REQUIRE(fleet.balancersWithAllUpstreams() == options.balancers);
        const auto itemsBefore = fleet.itemsReceived();

        SUBCASE("the followed controller is in the zone of the balancer")
        {
            for (std::size_t n = 0; n < options.balancers; ++n)
                CHECK(fleet.subscribedController(n) == n % options.controllers);
        }
        // Guards against traffic that grows with the product of balancers and controllers, because each controller
        // sends each change to each balancer (found in a run with 300 machines).
        SUBCASE("each change reaches each balancer once")
        {
            constexpr std::size_t changes = 10;
            for (std::size_t n = 0; n < changes; ++n) {
                fleet.drain(n, n % options.controllers);
                fleet.runFor(300ms);
            }
            for (std::size_t n = 0; n < changes; ++n)
                CHECK(balancersWithDrain(fleet, options, n) == options.balancers);
            // When an update and a subscription cross on their way, the update is repeated; 20 % are allowed for this.
            CHECK(fleet.itemsReceived() - itemsBefore <= changes * options.balancers * 12 / 10);
        }
        SUBCASE("when the followed controller is unreachable, balancers follow another one and receive missed changes")
        {
            fleet.cutController(0);
            fleet.drain(1, 1);
            fleet.runFor(1500ms);
            CHECK(balancersWithDrain(fleet, options, 1) == options.balancers);
        }
        // Guards against a balancer that places flows on an upstream whose departure another controller has
        // acknowledged, because the followed controller is partitioned from the rest of the group.
        SUBCASE("when the followed controller loses contact with the others, balancers follow another one")
        {
            fleet.cutFromControllers(0);
            fleet.runFor(3s);
            fleet.drain(1, 1);
            fleet.runFor(500ms);
            CHECK(balancersWithDrain(fleet, options, 1) == options.balancers);
        }
    }

    TEST_CASE("all changes reach all balancers although 10 % of the messages are lost")
    {
        auto options = smallFleet();
        options.loss = 0.1;
        ControlFleet fleet(options);
        fleet.runFor(10s);
        REQUIRE(fleet.balancersWithAllUpstreams() == options.balancers);
        for (std::size_t n = 0; n < 20; ++n)
            fleet.drain(n, n % options.controllers);
        fleet.runFor(4s);
        for (std::size_t n = 0; n < 20; ++n)
            CHECK(balancersWithDrain(fleet, options, n) == options.balancers);
    }

    // Guards against balancers that open flows in a zone long after its evacuation was acknowledged, because the update
    // with the order was lost, or they were paused or not running when it was sent.
    TEST_CASE("all balancers hold a new set of evacuated zones within 5 s, although 10 % of the messages are lost")
    {
        const ibisgw::upstream::ZoneEvacuations ordered { 1, { "zone-1" } };
        const ibisgw::upstream::ZoneEvacuations revoked { 2, {} };
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            CAPTURE(seed);
            auto options = smallFleet();
            options.balancers = 30;
            options.loss = 0.1;
            options.seed = seed;
            ControlFleet fleet(options);
            fleet.runFor(5s);
            fleet.pauseBalancer(3, 2s);
            fleet.cutController(0);
            fleet.commit(ordered);
            fleet.runFor(1s);
            fleet.restartBalancer(7);
            fleet.runFor(4s);
            CHECK(fleet.balancersWith(ordered) == options.balancers);
            fleet.heal();
            fleet.commit(revoked);
            fleet.runFor(5s);
            CHECK(fleet.balancersWith(revoked) == options.balancers);
        }
    }

    // Guards against a start in which each upstream causes dozens of messages at each controller: with 300 machines the
    // controllers were busy for seconds, and upstreams became overdue while their reports waited in the queue.
    TEST_CASE("a fleet starts while all its upstreams send their first reports")
    {
        ControlFleetOptions options;
        options.balancers = 95;
        options.upstreams = 1000;
        ControlFleet fleet(options);
        fleet.runFor(3s);
        CHECK(fleet.balancersWithAllUpstreams() == options.balancers);
        CHECK(fleet.falseOverdueMarks() == 0);
        // The controller sends each report once to each other controller, in about 100 bytes, and the renewals of three
        // seconds.
        CHECK(fleet.busiestToControllers().bytes < options.upstreams * 300);

        fleet.resetTraffic();
        fleet.runFor(10s);
        constexpr double shareLimit = 0.4;
        CHECK(fleet.busiestControllerLoad() < shareLimit);
    }

    // Guards against a controller that marks all upstreams as overdue after it was suspended for seconds, because it
    // received no reports meanwhile.
    TEST_CASE("a controller that was suspended marks no upstream as overdue that still sends reports")
    {
        const auto options = smallFleet();
        ControlFleet fleet(options);
        fleet.runFor(5s);
        fleet.pause(2, 6s);
        for (int n = 0; n < 100; ++n) {
            fleet.runFor(100ms);
            REQUIRE(fleet.falseOverdueMarks() == 0);
        }
        SUBCASE("an upstream that stops sending reports is still marked")
        {
            fleet.stopReports(3);
            fleet.runFor(6s);
            CHECK(fleet.overdueCountAt(0) == 1);
        }
    }
}
