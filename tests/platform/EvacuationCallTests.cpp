#include "platform/ControllerFixture.h"

#include <algorithm>
#include <array>
#include <filesystem>

using namespace ibisgw;
using platform_tests::Controller;
using platform_tests::Group;
using platform_tests::ownEndpoint;

namespace {

bool hasMetric(runtime::DirectController& controller, const std::string& line)
{
    return controller.renderMetrics().find("\n" + line + "\n") != std::string::npos;
}

std::string heartbeatFrom(const std::string& zone)
{
    return R"({"service":"slotdesk","address":"10.128.0.9:8080","version":"v1","max_concurrency":2,"state":"ready",)"
           R"("cold_remaining_ms":0,"sequence":4,"zone":")"
        + zone + R"("})";
}

// Three controllers that form a group, on one event loop.
struct ControllerTrio {
    static constexpr std::size_t count = 3;
    static constexpr std::uint16_t peerPort = 17721;
    static constexpr std::uint16_t controlPort = 17722;

    adapters::EventLoop loop;
    platform::ConfigurationMessage format;
    std::array<support::TemporaryFolder, count> folders;
    std::array<std::unique_ptr<runtime::DirectController>, count> controllers;
    std::array<std::unique_ptr<platform::ControlServer>, count> servers;

    ControllerTrio()
    {
        settings::DirectSettings settings;
        settings.firstStart = true;
        settings.zones = { "bern-1" };
        for (std::uint32_t n = 1; n <= count; ++n)
            settings.seeds.push_back(ownEndpoint(controlPort, n));
        for (std::uint32_t n = 0; n < count; ++n) {
            settings.peer = ownEndpoint(peerPort, n + 1);
            settings.control = ownEndpoint(controlPort, n + 1);
            settings.dataFolder = folders[n].path();
            controllers[n] = runtime::DirectController::create(settings, loop, format, n + 1).value();
            REQUIRE(controllers[n]->start());
            servers[n] = platform::ControlServer::start(loop, settings.control, *controllers[n], format).value();
        }
    }

    // Waits until one controller leads and the others have heard of it; returns its number.
    std::size_t awaitLeader()
    {
        std::size_t leader = count;
        support::runUntil(loop, [&] {
            for (std::size_t n = 0; n < count; ++n) {
                if (hasMetric(*controllers[n], "ibisgw_raft_accepting 1"))
                    leader = n;
            }
            return leader < count && hasMetric(*controllers[leader], "ibisgw_raft_voters 3");
        });
        const auto end = loop.now() + std::chrono::milliseconds(500);
        support::runUntil(loop, [&] { return loop.now() >= end; });
        return leader;
    }

    std::string post(std::size_t n, const std::string& path)
    {
        support::HttpProbe probe(loop, servers[n]->localEndpoint());
        probe.send("POST " + path + " HTTP/1.1\r\nHost: controller\r\n\r\n");
        return probe.readToEnd();
    }
};

} // namespace

TEST_SUITE("platform")
{
    TEST_CASE("an operator evacuates a zone at the only controller of a group")
    {
        Controller it(Group::Alone, { "basel-1", "bern-1" });
        support::runUntil(it.loop, [&] { return hasMetric(*it.controller, "ibisgw_raft_accepting 1"); });
        support::runUntil(it.loop, [&] { return it.post("/Evacuations.Start/bern-1", "").status == 200; });
        CHECK(it.post("/Evacuations.Start/bern-1", "").body == "{}");
        CHECK(hasMetric(*it.controller, "ibisgw_evacuated_zones 1"));
        CHECK(hasMetric(*it.controller, "ibisgw_evacuation_revision 1"));

        SUBCASE("and revokes the order, twice")
        {
            CHECK(it.post("/Evacuations.Finish/bern-1", "").status == 200);
            CHECK(it.post("/Evacuations.Finish/bern-1", "").status == 200);
            CHECK(hasMetric(*it.controller, "ibisgw_evacuated_zones 0"));
            CHECK(hasMetric(*it.controller, "ibisgw_evacuation_revision 2"));
            CHECK(it.controller->events().count(runtime::Event::EvacuationsInForce) == 2);
        }
        SUBCASE("with a name in percent-encoding")
        {
            CHECK(it.post("/Evacuations.Start/%62asel%2D1", "").status == 200);
            CHECK(hasMetric(*it.controller, "ibisgw_evacuated_zones 2"));
        }
        // Guards against a misspelled name that is acknowledged and evacuates nothing.
        SUBCASE("a zone that the deployment does not have is refused")
        {
            const auto answer = it.post("/Evacuations.Start/bern-2", "");
            CHECK(answer.status == 400);
            CHECK(answer.json()["error"].is_string());
            CHECK(it.post("/Evacuations.Finish/bern-2", "").status == 400);
        }
        // Guards against an evacuation that nobody can revoke.
        SUBCASE("a zone that is evacuated is known even if the settings list it no longer")
        {
            it.settings.zones = { "basel-1" };
            it.controller->reload(it.settings);
            CHECK(it.post("/Evacuations.Finish/bern-1", "").status == 200);
            CHECK(it.post("/Evacuations.Start/bern-1", "").status == 400);
        }
        // Guards against the refusal of a valid order while the list in the settings is older than the zone.
        SUBCASE("a zone with upstreams is known even if the settings do not list it")
        {
            REQUIRE(it.post("/Instances.Heartbeat/i-7f3a91c2", heartbeatFrom("chur-1")).status == 200);
            CHECK(it.post("/Evacuations.Start/chur-1", "").status == 200);
        }
        // Guards against a controller that starts with all others and has nothing to distribute.
        SUBCASE("a controller that starts on the same disk knows the set before it has heard of any other")
        {
            it.runFor(std::chrono::milliseconds(300));
            support::TemporaryFolder copy;
            std::filesystem::copy(it.folder.path(), copy.path(), std::filesystem::copy_options::recursive);
            auto settings = it.settings;
            settings.dataFolder = copy.path();
            settings.peer.port = 0;
            adapters::EventLoop loop;
            const auto restarted = runtime::DirectController::create(settings, loop, it.format, 2).value();
            REQUIRE(restarted->start());
            CHECK(hasMetric(*restarted, "ibisgw_evacuation_revision 1"));
            CHECK(hasMetric(*restarted, "ibisgw_raft_accepting 0"));
        }
        SUBCASE("a name that is missing, too long or malformed is refused")
        {
            for (const auto* path : { "/Evacuations.Start", "/Evacuations.Start/", "/Evacuations.Finish/%4",
                     "/Evacuations.Finish/%zz", "/Evacuations.Finish/bern%" }) {
                CAPTURE(path);
                const auto answer = it.post(path, "");
                CHECK(answer.status == 400);
                CHECK(answer.json()["error"].is_string());
            }
            CHECK(it.post("/Evacuations.Start/" + std::string(300, 'a'), "").status == 400);
            CHECK(it.post("/Evacuations.Starts/bern-1", "").status == 404);
        }
        CHECK(it.controller->events().count(runtime::Event::EvacuationOrdered) >= 2);
    }

    // Guards against the refusal of a valid order by a controller that has not seen the zone yet.
    TEST_CASE("without a list of zones a zone is known by its upstreams")
    {
        Controller it(Group::Alone);
        support::runUntil(it.loop, [&] { return hasMetric(*it.controller, "ibisgw_raft_accepting 1"); });
        CHECK(it.post("/Evacuations.Start/bern-1", "").status == 503);
        REQUIRE(it.post("/Instances.Heartbeat/i-7f3a91c2", heartbeatFrom("bern-1")).status == 200);
        CHECK(it.post("/Evacuations.Start/bern-1", "").status == 200);
    }

    // Guards against an acknowledgement by a controller that cannot know what the others have agreed on.
    TEST_CASE("a controller without a group acknowledges no evacuation")
    {
        Controller it(Group::None, { "bern-1" });
        CHECK(it.post("/Evacuations.Start/bern-1", "").status == 503);
        CHECK(it.post("/Evacuations.Finish/bern-1", "").status == 503);
        CHECK(it.post("/Evacuations.Start/bern-2", "").status == 400);
    }

    TEST_CASE("a controller that does not lead redirects the operator to the leader, which acknowledges")
    {
        ControllerTrio trio;
        const auto leader = trio.awaitLeader();
        const auto location
            = "http://" + trio.servers[leader]->localEndpoint().toString() + "/Evacuations.Start/bern%2D1\r\n";
        for (std::size_t n = 0; n < ControllerTrio::count; ++n) {
            if (n == leader)
                continue;
            const auto answer = trio.post(n, "/Evacuations.Start/bern%2D1");
            CHECK(answer.starts_with("HTTP/1.1 307"));
            CHECK(answer.find(location) != std::string::npos);
        }
        CHECK(trio.post(leader, "/Evacuations.Start/bern-1").starts_with("HTTP/1.1 200"));
        support::runUntil(trio.loop, [&] {
            return std::ranges::all_of(
                trio.controllers, [](const auto& it) { return hasMetric(*it, "ibisgw_evacuation_revision 1"); });
        });
    }
}
