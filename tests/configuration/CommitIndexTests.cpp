#include "ibisgw/configuration/ConfigurationRegister.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/MemoryLogStore.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

struct NoOutput final : RaftOutput {
    void send(core::NodeId, const RaftMessage&) override { }
};

RaftOptions singleOptions()
{
    RaftOptions options;
    options.self = { 1 };
    options.controllers = { { 1 } };
    options.membershipMode = MembershipMode::Open;
    options.toleratedDiskLosses = 0;
    options.commitSaveInterval = 100ms;
    return options;
}

void run(ConfigurationRegister& instance, core::TimePoint& now, core::Duration duration)
{
    NoOutput output;
    for (const auto end = now + duration; now < end; now += 50ms)
        instance.tick(now, output);
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("a register of one controller")
    {
        core::PcgRandomSource random(3);
        MemoryLogStore store(random);
        core::TimePoint now { 100s };
        NoOutput output;
        ConfigurationRegister instance(singleOptions(), store, random);
        REQUIRE(instance.start(now));
        run(instance, now, 4s);
        REQUIRE(instance.replace(7, "seven", now, output) == ReplaceStatus::Accepted);

        SUBCASE("an older or equal version is acknowledged and changes nothing")
        {
            CHECK(instance.replace(7, "other", now, output) == ReplaceStatus::Accepted);
            CHECK(instance.replace(6, "six", now, output) == ReplaceStatus::Accepted);
            CHECK(instance.text() == "seven");
            CHECK(instance.version() == 7);
        }
        SUBCASE("a controller that starts knows at once what was accepted, before there is a leader")
        {
            // Guards against balancers that wait for an election after a loss of all machines.
            run(instance, now, 300ms);
            store.crash(true);
            ConfigurationRegister restarted(singleOptions(), store, random);
            REQUIRE(restarted.start(now));
            CHECK(restarted.version() == 7);
        }
        SUBCASE("an entry whose commit was not saved is not shown until it is known to be committed")
        {
            store.crash(true);
            ConfigurationRegister restarted(singleOptions(), store, random);
            REQUIRE(restarted.start(now));
            CHECK(restarted.version() == 0);
            run(restarted, now, 4s);
            CHECK(restarted.version() == 7);
        }
        SUBCASE("a disk that refuses a write for a while does not stop the controller for good")
        {
            store.failNextSync(false);
            CHECK(instance.replace(8, "eight", now, output) == ReplaceStatus::Unknown);
            CHECK(instance.raft().role() == RaftRole::Halted);
            store.crash(true);
            run(instance, now, 6s);
            CHECK(instance.raft().role() == RaftRole::Leader);
            CHECK(instance.version() == 7);
            CHECK(instance.replace(8, "eight", now, output) == ReplaceStatus::Accepted);
        }
    }
}
