#include "ibisgw/settings/DaemonSettings.h"
#include "support/ProblemList.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace ibisgw;
using nlohmann::json;

namespace {

json balancerSettings()
{
    return { { "name", "balancer-0" }, { "zone", "bern" }, { "caller_side", "127.0.0.1:0" },
        { "upstream_side", "127.0.0.1:0" }, { "control", "127.0.0.1:7000" }, { "key_file", "keys.json" } };
}

std::string problemPaths(const json& settings)
{
    const auto reading = settings::readSettings(settings);
    CHECK(reading.settings.has_value() == reading.problems.empty());
    return support::pathsOf(reading.problems);
}

} // namespace

TEST_SUITE("settings")
{
    TEST_CASE("settings of a balancer")
    {
        auto settings = balancerSettings();

        SUBCASE("port 0 is allowed for the sockets, and absent fields keep their defaults")
        {
            const auto reading = settings::readSettings(settings);
            REQUIRE(reading.settings);
            CHECK(reading.settings->balancer);
            CHECK(reading.settings->controlBytesPerSecond == 4096);
        }
        SUBCASE("all faults are reported at once, including a misspelled field")
        {
            // Guards against a misspelled field that leaves the default value in force.
            settings.erase("caller_side");
            settings["control"] = "localhost";
            settings["flow_capacity"] = 0;
            settings["trace_sampling_rate"] = 1.5;
            settings["seeds"] = { "127.0.0.1:7000", 7 };
            settings["controll_bytes_per_second"] = 9;
            CHECK(problemPaths(settings)
                == "/caller_side /control /controll_bytes_per_second /flow_capacity /seeds/1 /trace_sampling_rate");
        }
        SUBCASE("a daemon without a role is rejected")
        {
            // Guards against a daemon that starts and does nothing.
            settings["balancer"] = false;
            CHECK(problemPaths(settings) == "/balancer");
        }
    }

    TEST_CASE("settings of a controller")
    {
        json settings = { { "name", "controller-0" }, { "zone", "bern" }, { "balancer", false }, { "controller", true },
            { "control", "127.0.0.1:7000" }, { "key_file", "keys.json" }, { "data_folder", "data" },
            { "controllers", { "127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002" } } };

        SUBCASE("no packet sockets are required")
        {
            CHECK(problemPaths(settings).empty());
        }
        SUBCASE("the data folder is required")
        {
            // Guards against a controller that loses its vote at a restart.
            settings.erase("data_folder");
            CHECK(problemPaths(settings) == "/data_folder");
        }
        SUBCASE("the list of controllers must contain the controller itself")
        {
            // Guards against a controller that never reaches a majority.
            settings["control"] = "127.0.0.1:7009";
            CHECK(problemPaths(settings) == "/controllers");
            settings.erase("controllers");
            CHECK(problemPaths(settings) == "/controllers");
        }
    }

    TEST_CASE("settings that are not a JSON object are reported without an exception")
    {
        for (const json& it : { json(), json(1), json::array() })
            CHECK(problemPaths(it).starts_with("(root)"));
    }
}
