#include "ibisgw/configuration/ConfigurationRegister.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/MemoryLogStore.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

struct DiscardingOutput final : RaftOutput {
    void send(core::NodeId, const RaftMessage&) override { }
};

RaftOptions singleControllerOptions()
{
    RaftOptions options;
    options.self = { 1 };
    options.controllers = { { 1 } };
    options.membershipMode = MembershipMode::Open;
    options.toleratedDiskLosses = 0;
    options.commitSaveInterval = 100ms;
    return options;
}

void run(ConfigurationRegister& configurationRegister, core::TimePoint& now, core::Duration duration)
{
    DiscardingOutput output;
    for (const auto end = now + duration; now < end; now += 50ms)
        configurationRegister.tick(now, output);
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("a register of one controller")
    {
        core::PcgRandomSource random(3);
        MemoryLogStore store(random);
        core::TimePoint now { 100s };
        DiscardingOutput output;
        ConfigurationRegister configurationRegister(singleControllerOptions(), store, random);
        REQUIRE(configurationRegister.start(now));
        run(configurationRegister, now, 4s);
        REQUIRE(configurationRegister.replace(7, "seven", now, output) == ReplaceStatus::Accepted);

        SUBCASE("an older or equal version is acknowledged and changes nothing")
        {
            CHECK(configurationRegister.replace(7, "other", now, output) == ReplaceStatus::Accepted);
            CHECK(configurationRegister.replace(6, "six", now, output) == ReplaceStatus::Accepted);
            CHECK(configurationRegister.text() == "seven");
            CHECK(configurationRegister.version() == 7);
        }
        SUBCASE("a restarted controller has the accepted version before a leader is elected")
        {
            // Guards against balancers that wait for an election for their configuration after all machines were lost:
            // the saved commit index lets the restarted controller apply the committed entries at once.
            run(configurationRegister, now, 300ms);
            store.crash(true);
            ConfigurationRegister restarted(singleControllerOptions(), store, random);
            REQUIRE(restarted.start(now));
            CHECK(restarted.version() == 7);
        }
        SUBCASE("an entry after the saved commit index is not applied until the leader has committed it")
        {
            // Guards against reads of an entry that a later leader may replace.
            store.crash(true);
            ConfigurationRegister restarted(singleControllerOptions(), store, random);
            REQUIRE(restarted.start(now));
            CHECK(restarted.version() == 0);
            run(restarted, now, 4s);
            CHECK(restarted.version() == 7);
        }
        SUBCASE("the controller recovers from a temporary write failure of the disk")
        {
            store.failNextSync(false);
            CHECK(configurationRegister.replace(8, "eight", now, output) == ReplaceStatus::Unknown);
            CHECK(configurationRegister.raft().role() == RaftRole::Halted);
            store.crash(true);
            run(configurationRegister, now, 6s);
            CHECK(configurationRegister.raft().role() == RaftRole::Leader);
            CHECK(configurationRegister.version() == 7);
            CHECK(configurationRegister.replace(8, "eight", now, output) == ReplaceStatus::Accepted);
        }
    }
}
