#include "support/RegisterGroup.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

// Time in which a group elects a leader, removes silent voters and promotes others in their place.
constexpr core::Duration repairDuration = 8s;
// Time after which a new controller counts as one that holds all changes.
constexpr core::Duration catchUpDuration = 4500ms;
constexpr core::Duration commitSaveInterval = 100ms;

struct GroupSize {
    std::size_t controllers { 3 };
    std::size_t zones { 3 };
    std::size_t tolerated { 1 };
};

// Restarts the running controllers, `lost` with empty disks. Without a loss of power only these restart.
void loseDisks(RegisterGroup& group, const std::set<core::NodeId>& lost, bool isPowerLost)
{
    const auto nodes = group.running();
    for (const auto& it : nodes) {
        if (isPowerLost || lost.contains(it))
            group.stop(it);
    }
    for (const auto& it : lost)
        group.wipe(it);
    for (const auto& it : nodes) {
        if (isPowerLost || lost.contains(it))
            group.start(it);
    }
}

std::set<core::NodeId> drawNodes(const RegisterGroup& group, std::size_t count, core::RandomSource& random)
{
    const auto nodes = group.running();
    std::set<core::NodeId> drawn;
    while (drawn.size() < count)
        drawn.insert(nodes[random.below(nodes.size())]);
    return drawn;
}

template <typename T> void shuffle(std::vector<T>& items, core::RandomSource& random)
{
    for (auto n = items.size(); n > 1; --n)
        std::swap(items[n - 1], items[random.below(n)]);
}

void restart(RegisterGroup& group, core::NodeId node)
{
    group.stop(node);
    group.start(node);
}

// Starts a successor of each controller at once, and stops the replaced ones soon one after the other.
void replaceAsPlanned(RegisterGroup& group, std::vector<core::NodeId> replaced, core::RandomSource& random)
{
    for (const auto& it : replaced)
        group.addSuccessor(it);
    group.runFor(catchUpDuration);
    shuffle(replaced, random);
    for (const auto& it : replaced) {
        group.stopAsPlanned(it);
        group.runFor(200ms);
    }
}

} // namespace

TEST_SUITE("configuration")
{
    // Guards against controllers that have successors and are gone without notice, but still count as voters: the
    // successors then have no quorum, and elect no leader any more.
    TEST_CASE("controllers with successors may be gone at any pace, and the tolerated disks lost right after it")
    {
        constexpr std::uint64_t seeds = 20;
        const auto sizes
            = { GroupSize { 3, 3, 1 }, GroupSize { 4, 4, 1 }, GroupSize { 5, 5, 2 }, GroupSize { 7, 7, 3 } };
        for (const auto& size : sizes) {
            CAPTURE(size.controllers);
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                CAPTURE(seed);
                core::PcgRandomSource random(seed);
                RegisterGroup group(size.controllers, size.tolerated, 90 * seed, commitSaveInterval, size.zones);
                group.runFor(4s);
                REQUIRE(group.replace(1));
                auto replaced = group.running();
                const bool startTogether = random.chance(0.5);
                for (const auto& it : replaced) {
                    group.addSuccessor(it);
                    if (!startTogether)
                        group.runFor(catchUpDuration);
                }
                group.runFor(catchUpDuration);
                REQUIRE(group.replace(2));

                shuffle(replaced, random);
                const auto longestGap = random.below(2000);
                for (const auto& it : replaced) {
                    group.stop(it);
                    group.runFor(random.below(longestGap + 1) * 1ms);
                }
                std::uint64_t accepted = 2;
                if (random.chance(0.5)) {
                    CHECK(group.replace(3));
                    accepted = 3;
                }
                loseDisks(group, drawNodes(group, size.tolerated, random), random.chance(0.5));
                CHECK(group.read() >= accepted);
                CHECK(group.replace(4));
                group.runFor(repairDuration);
                if (group.leader().isValid())
                    CHECK(group.membership().voterCount() == size.controllers);
            }
        }
    }

    // Guards against a vote of a controller that is expected to go: the loss of a disk in the moments until it is
    // removed would leave no quorum.
    TEST_CASE("a successor takes the vote of the controller of its zone")
    {
        RegisterGroup group(3, 1, 5, commitSaveInterval, 3);
        group.runFor(4s);
        const auto leader = group.leader();
        const auto replaced = leader == core::NodeId { 2 } ? core::NodeId { 3 } : core::NodeId { 2 };
        const auto successor = group.addSuccessor(replaced);
        group.runFor(2s);
        const auto& membership = group.membership();
        REQUIRE(membership.find(successor));
        CHECK(membership.find(successor)->voter);
        REQUIRE(membership.find(replaced));
        CHECK(!membership.find(replaced)->voter);
        CHECK(membership.voterCount() == 3);

        SUBCASE("which votes again if the successor is gone for good")
        {
            group.stop(successor);
            group.runFor(repairDuration);
            CHECK(group.membership().find(replaced)->voter);
            CHECK(!group.membership().find(successor));

            group.start(successor);
            group.runFor(repairDuration);
            CHECK(group.membership().find(successor)->voter);
            CHECK(!group.membership().find(replaced)->voter);
        }
        SUBCASE("which votes in place of a voter of another zone that is gone for good")
        {
            const core::NodeId gone { 6 - leader.value - replaced.value };
            group.stop(gone);
            group.runFor(repairDuration);
            CHECK(group.membership().voterCount() == 3);
            CHECK(group.membership().find(replaced)->voter);

            group.start(gone);
            group.runFor(repairDuration);
            CHECK(group.membership().voterCount() == 3);
            CHECK(!group.membership().find(replaced)->voter);
        }
        SUBCASE("except for the leader, which goes on to lead")
        {
            group.addSuccessor(leader);
            group.runFor(2s);
            CHECK(group.leader() == leader);
            CHECK(group.membership().find(leader)->voter);
            CHECK(group.membership().voterCount() == 4);
        }
    }

    // Guards against a successor in a zone with several controllers that takes the vote of one that stays.
    TEST_CASE("in a zone with two controllers both keep their votes until both have successors")
    {
        RegisterGroup group(6, 2, 8, commitSaveInterval, 3);
        group.runFor(6s);
        REQUIRE(group.membership().voterCount() == 6);
        const auto zone = group.zoneOf(group.leader()) == "zone 0" ? "zone 1" : "zone 0";
        std::vector<core::NodeId> old;
        for (const auto& it : group.running()) {
            if (group.zoneOf(it) == zone)
                old.push_back(it);
        }
        const auto first = group.add(zone);
        group.runFor(2s);
        CHECK(group.membership().find(first)->voter);
        CHECK(group.membership().voterCount() == 7);

        const auto second = group.add(zone);
        group.runFor(2s);
        CHECK(group.membership().find(second)->voter);
        CHECK(group.membership().voterCount() == 6);
        for (const auto& it : old)
            CHECK(!group.membership().find(it)->voter);
    }

    // Guards against controllers that never find the group again, because all others that they knew of were replaced
    // while they were partitioned. The group then runs on with too few voters to bear the loss of a disk.
    TEST_CASE("controllers that were partitioned while the others were replaced join the group again")
    {
        constexpr std::uint64_t seeds = 20;
        for (const auto& size : { GroupSize { 3, 3, 1 }, GroupSize { 4, 4, 1 }, GroupSize { 5, 5, 2 } }) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                CAPTURE(size.controllers);
                CAPTURE(seed);
                core::PcgRandomSource random(seed);
                RegisterGroup group(size.controllers, size.tolerated, 110 * seed, commitSaveInterval, size.zones);
                group.runFor(4s);
                REQUIRE(group.replace(1));
                auto others = group.running();
                const auto partitioned = drawNodes(group, size.tolerated, random);
                std::erase_if(others, [&](core::NodeId it) { return partitioned.contains(it); });
                for (const auto& it : partitioned)
                    group.isolate(it);
                replaceAsPlanned(group, others, random);
                group.runFor(random.below(8000) * 1ms);
                REQUIRE(group.replace(2));

                // The addresses must not be lost with the memory of either side.
                const bool restartsPartitioned = random.chance(0.5);
                const bool restartsOthers = random.chance(0.5);
                for (const auto& it : group.running()) {
                    if (partitioned.contains(it) ? restartsPartitioned : restartsOthers)
                        restart(group, it);
                }
                for (const auto& it : partitioned)
                    group.reconnect(it);
                group.runFor(12s);
                REQUIRE(group.replace(3));
                group.runFor(500ms);
                CHECK(group.membership().voterCount() == size.controllers);
                for (const auto& it : partitioned) {
                    const auto* member = group.membership().find(it);
                    CHECK((member && member->voter));
                    CHECK(group.find(it)->version() == 3);
                }
                loseDisks(group, drawNodes(group, size.tolerated, random), random.chance(0.5));
                CHECK(group.read() == 3);
                CHECK(group.replace(4));
            }
        }
    }

    // Guards against a removed controller whose only way back is the memory of the leader that removed it.
    TEST_CASE("controllers that were removed for their silence are remembered up to a limit")
    {
        Membership membership { .group = 1 };
        membership.admit({ .node = { 1 }, .disk = 11 }, true);
        for (std::uint64_t n = 2; n <= 40; ++n) {
            membership.admit({ .node = { n }, .disk = 10 + n }, false);
            const auto admission = membership.find({ n })->admission;
            membership.removeAsAbsent({ n });
            CHECK(!membership.find({ n }));
            CHECK(membership.absent.back().node == core::NodeId { n });
            CHECK(membership.absent.size() <= 14);

            // It is still older than a controller that was admitted meanwhile.
            membership.admit({ .node = { n }, .disk = 100 + n }, false);
            CHECK(membership.find({ n })->admission == admission);
            CHECK(std::ranges::find(membership.absent, core::NodeId { n }, &Member::node) == membership.absent.end());
            membership.removeAsAbsent({ n });
        }
        CHECK(membership.members.size() == 1);
    }

    // Guards against new seeds that only a restart brings to the agreement.
    TEST_CASE("a new controller whose seeds are all gone joins once its settings name others")
    {
        RegisterGroup group(3, 1, 9, commitSaveInterval, 3);
        group.runFor(4s);
        REQUIRE(group.replace(1));
        group.setSeeds({ { 91 }, { 92 }, { 93 } });
        const auto added = group.addWithPresentSeeds(group.zoneOf({ 1 }));
        group.runFor(repairDuration);
        REQUIRE(!group.membership().find(added));
        group.reloadSeeds(added, { { 2 } });
        group.runFor(2s);
        CHECK(group.membership().find(added));
    }
}
