#include "support/RegisterGroup.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

const EvacuationOrder startBasel { EvacuationAction::Start, "basel" };
const EvacuationOrder finishBasel { EvacuationAction::Finish, "basel" };
const EvacuationOrder startBern { EvacuationAction::Start, "bern" };

// Longer than the election of a leader.
constexpr core::Duration electionDuration = 4s;

OrderStatus statusOf(const RegisterGroup& group, core::NodeId node, const OrderTicket& ticket)
{
    return group.find(node)->evacuationOrders().statusOf(ticket);
}

// Whether the controller acknowledges the order at any time within the duration.
bool isAcknowledgedWithin(RegisterGroup& group, core::NodeId node, const OrderTicket& ticket, core::Duration duration)
{
    bool isAcknowledged = statusOf(group, node, ticket) == OrderStatus::Acknowledged;
    for (const auto end = group.now() + duration; group.now() < end;) {
        group.runFor(1ms);
        isAcknowledged = isAcknowledged || statusOf(group, node, ticket) == OrderStatus::Acknowledged;
    }
    return isAcknowledged;
}

void restartAll(RegisterGroup& group, const std::vector<core::NodeId>& withEmptyDisks)
{
    const auto nodes = group.running();
    for (const auto& it : nodes)
        group.stop(it);
    for (const auto& it : withEmptyDisks)
        group.wipe(it);
    for (const auto& it : nodes)
        group.start(it);
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("orders to evacuate zones at a leader")
    {
        RegisterGroup group(3, 1, 1, 100ms);
        group.runFor(electionDuration);
        const auto leader = group.leader();
        REQUIRE(group.evacuate(startBasel));
        REQUIRE(group.find(leader)->evacuations() == upstream::ZoneEvacuations { 1, { "basel" } });

        SUBCASE("a repeat is acknowledged and changes nothing")
        {
            CHECK(group.evacuate(startBasel));
            CHECK(group.find(leader)->loggedEvacuationRevision() == 1);
            CHECK(group.evacuate(finishBasel));
            CHECK(group.evacuate(finishBasel));
            CHECK(group.find(leader)->evacuations() == upstream::ZoneEvacuations { 2, {} });
        }
        SUBCASE("a configuration and an evacuation leave each other alone")
        {
            CHECK(group.replace(5));
            CHECK(group.find(leader)->evacuations().revision == 1);
            CHECK(group.evacuate(startBern));
            CHECK(group.find(leader)->version() == 5);
        }
        SUBCASE("a controller that does not lead takes none")
        {
            for (const auto& it : group.running())
                CHECK(group.order(it, startBern).has_value() == (it == leader));
        }
        // Guards against a second order that starts from the committed set and so revokes the first one.
        SUBCASE("two different orders at once are both in force")
        {
            const auto first = group.order(leader, startBern);
            const auto second = group.order(leader, finishBasel);
            REQUIRE(first);
            REQUIRE(second);
            CHECK(group.find(leader)->evacuations().revision == 1);
            CHECK(group.find(leader)->loggedEvacuationRevision() == 3);
            group.runFor(100ms);
            CHECK(statusOf(group, leader, *first) == OrderStatus::Acknowledged);
            CHECK(statusOf(group, leader, *second) == OrderStatus::Acknowledged);
            CHECK(group.find(leader)->evacuations() == upstream::ZoneEvacuations { 3, { "bern" } });
        }
        // Guards against an acknowledgement of a set that is only in the log of the leader: the followers confirm the
        // leadership by a reply that refuses the entry after one that they lack.
        SUBCASE("a repeat waits until the set that it finds is committed")
        {
            group.setDelay(30ms);
            REQUIRE(group.evacuate(finishBasel));
            group.setLoss(1);
            REQUIRE(group.order(leader, startBern));
            group.setLoss(0);
            const auto repeat = group.order(leader, startBern);
            REQUIRE(repeat);
            while (statusOf(group, leader, *repeat) == OrderStatus::Pending)
                group.runFor(1ms);
            CHECK(statusOf(group, leader, *repeat) == OrderStatus::Acknowledged);
            CHECK(group.find(leader)->evacuations().contains("bern"));
        }
    }

    // Guards against an order that is forgotten or half done with its leader.
    TEST_CASE("a leader ends with an order in progress")
    {
        RegisterGroup group(3, 1, 2, 100ms);
        group.runFor(electionDuration);
        const auto leader = group.leader();
        REQUIRE(group.order(leader, startBasel));
        group.runFor(1ms);
        group.stop(leader);
        CHECK(group.evacuate(startBasel));
        CHECK(group.find(group.leader())->evacuations() == upstream::ZoneEvacuations { 1, { "basel" } });
        group.start(leader);
        group.runFor(electionDuration);
        CHECK(group.find(leader)->evacuations() == upstream::ZoneEvacuations { 1, { "basel" } });
    }

    // Guards against a leader that takes the set of another leader, with the same revision, for its own.
    TEST_CASE("a leader loses its term before its order is committed, and another one writes the same revision")
    {
        constexpr std::uint64_t seeds = 20;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            RegisterGroup group(3, 1, seed, 100ms);
            group.runFor(electionDuration);
            const auto deposed = group.leader();
            group.isolate(deposed);
            const auto ticket = group.order(deposed, startBasel);
            REQUIRE(ticket);
            REQUIRE(group.evacuate(startBern));
            group.reconnect(deposed);
            CHECK_FALSE(isAcknowledgedWithin(group, deposed, *ticket, electionDuration));
            CHECK(group.find(deposed)->evacuations() == upstream::ZoneEvacuations { 1, { "bern" } });
            // Nor when it leads again.
            for (int n = 0; n < 20 && group.leader() != deposed; ++n) {
                const auto other = group.leader();
                group.pause(other);
                group.isolate(other);
                CHECK_FALSE(isAcknowledgedWithin(group, deposed, *ticket, electionDuration));
                group.reconnect(other);
                group.resume(other);
                group.runFor(electionDuration);
            }
            CHECK(group.leader() == deposed);
            CHECK(statusOf(group, deposed, *ticket) == OrderStatus::Unknown);
        }
    }

    // Guards against a leader that was suspended and acknowledges the repeat of an order that its successor has
    // revoked.
    TEST_CASE("a deposed leader acknowledges no repeat")
    {
        constexpr std::uint64_t seeds = 20;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            RegisterGroup group(3, 1, seed, 100ms);
            group.runFor(electionDuration);
            const auto deposed = group.leader();
            REQUIRE(group.evacuate(startBasel));
            group.pause(deposed);
            group.isolate(deposed);
            REQUIRE(group.evacuate(finishBasel));
            group.reconnect(deposed);
            group.resume(deposed);
            const auto ticket = group.order(deposed, startBasel);
            REQUIRE(ticket);
            CHECK_FALSE(isAcknowledgedWithin(group, deposed, *ticket, electionDuration));
            CHECK(group.find(deposed)->evacuations() == upstream::ZoneEvacuations { 2, {} });
        }
    }

    // Guards against an acknowledged order that is lost with disks or with all power.
    TEST_CASE("an acknowledged order survives the loss of disks and of all power")
    {
        for (const std::size_t controllers : { 3, 6 }) {
            CAPTURE(controllers);
            const auto tolerated = (controllers - 1) / 2;
            RegisterGroup group(controllers, tolerated, 3, 100ms);
            group.runFor(electionDuration);
            REQUIRE(group.evacuate(startBasel));
            std::vector<core::NodeId> lost { group.leader() };
            for (const auto& it : group.running()) {
                if (lost.size() < tolerated && it != lost.front())
                    lost.push_back(it);
            }
            upstream::ZoneEvacuations expected { 1, { "basel" } };

            SUBCASE("right after it")
            {
                restartAll(group, lost);
            }
            SUBCASE("after a snapshot")
            {
                // A snapshot is taken after 256 entries.
                for (std::uint64_t version = 1; version <= 300; ++version)
                    REQUIRE(group.replace(version));
                restartAll(group, lost);
            }
            SUBCASE("all controllers start again one after the other, and the first without the others")
            {
                group.runFor(200ms);
                const auto nodes = group.running();
                for (const auto& it : nodes)
                    group.stop(it);
                for (const auto& it : nodes) {
                    group.start(it);
                    CHECK(group.find(it)->evacuations() == expected);
                    group.runFor(100ms);
                }
            }
            CHECK(group.evacuate(startBasel, 20s));
            CHECK(group.find(group.leader())->evacuations() == expected);
            group.runFor(electionDuration);
            for (const auto& it : group.running())
                CHECK(group.find(it)->evacuations() == expected);
        }
    }

    // Guards against a minority that acknowledges what the others do not know.
    TEST_CASE("a minority acknowledges nothing")
    {
        RegisterGroup group(4, 1, 4, 100ms);
        group.runFor(electionDuration);
        REQUIRE(group.evacuate(startBasel));
        const auto leader = group.leader();
        for (const auto& it : group.running()) {
            if (it != leader && group.running().size() > 2)
                group.stop(it);
        }
        CHECK_FALSE(group.evacuate(startBasel));
        CHECK_FALSE(group.evacuate(startBern));
    }
}
