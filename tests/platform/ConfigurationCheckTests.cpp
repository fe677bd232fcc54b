#include "ibisgw/runtime/ConfigurationFileCheck.h"
#include "platform/ConfigurationMessage.h"
#include "support/CheckRows.h"
#include "support/TemporaryFile.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace ibisgw;
using core::CheckRule;
using nlohmann::json;
using support::CheckRow;

namespace {

json cleanConfiguration()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","route_type":"unsafe","timeout_ms":1500,
         "target_latency_ms":1500,"priority":1,"service":"huvo11a"},
        {"name":"r-2","hostname":"198.18.0.1","path_prefix":"/8443/","route_type":"safe","timeout_ms":1200,
         "traffic_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]}],
        "services":[{"name":"huvo11a"},{"name":"wuno96b"}],"limits":{"idle_timeout_ms":15000}})");
}

core::CheckReport check(const json& configuration, const json& base = nullptr)
{
    const platform::ConfigurationMessage format;
    const auto reading = format.read(base.dump());
    return runtime::checkConfigurationText(
        format, configuration.dump(), reading.configuration ? &*reading.configuration : nullptr);
}

int run(const std::string& file, const std::string& against, std::string& out)
{
    std::ostringstream stream;
    const auto status
        = runtime::checkConfigurationFile(platform::ConfigurationMessage(), { file, against, false }, stream, stream);
    out = stream.str();
    return status;
}

} // namespace

TEST_SUITE("platform")
{
    TEST_CASE("a check of a route configuration finds each violated rule, and no other")
    {
        CHECK(support::textOf(check(cleanConfiguration())).empty());
        const CheckRow rows[] = {
            { CheckRule::Invalid, "/version", "/version", 0 },
            { CheckRule::Invalid, "/routes/1", "/routes/1/path_prefix", "/8080/" },
            { CheckRule::Invalid, "/routes/0", "/routes/0/service", "nowhere" },
            { CheckRule::Invalid, "/routes/0/route_type", "/routes/0/route_type", "fast" },
            { CheckRule::Shadowed, "/services/2", "/services/2", { { "name", "huvo11a" } } },
            { CheckRule::UnusedService, "/services/2", "/services/2", { { "name", "huvo12a" } } },
            { CheckRule::ZeroWeight, "/routes/1", "/routes/1/traffic_split/1/weight", 0 },
            { CheckRule::TimeoutBelowObjective, "/routes/0", "/routes/0/timeout_ms", 1499 },
            { CheckRule::WarmUpWithoutColdStart, "/services/1", "/services/1/warmup_per_s", 5 },
            { CheckRule::Invalid, "/services/1/warmup_per_s", "/services/1/warmup_per_s", -5 },
        };
        for (const auto& it : rows)
            CHECK(support::textOf(check(it.applyTo(cleanConfiguration()))) == it.expectedText());
    }

    TEST_CASE("a route configuration is compared with another version")
    {
        auto base = cleanConfiguration();
        base["version"] = 6;
        CHECK(support::textOf(check(cleanConfiguration(), base)).empty());
        const CheckRow rows[] = {
            { CheckRule::VersionNotHigher, "/version", "/version", 6 },
            { CheckRule::ChangedTarget, "/routes/1", "/routes/1/traffic_split/1/weight", 11 },
            { CheckRule::ChangedTarget, "/routes/1", "/routes/1/route_type", "upload" },
            { CheckRule::ChangedTarget, "/routes/1", "/routes/1/name", "r-3" },
            { CheckRule::ChangedLimit, "/routes/1", "/routes/1/timeout_ms", 900 },
            { CheckRule::ChangedLimit, "/routes/1", "/routes/1/target_latency_ms", 100 },
            { CheckRule::ChangedLimit, "/routes/1", "/routes/1/priority", 4 },
            { CheckRule::ChangedLimit, "/services/1", "/services/1",
                { { "name", "wuno96b" }, { "warmup_per_s", 5 }, { "cold_start_s", 2 } } },
            { CheckRule::ChangedLimit, "/limits", "/limits/idle_timeout_ms", 900 },
        };
        for (const auto& it : rows)
            CHECK(support::textOf(check(it.applyTo(cleanConfiguration()), base)) == it.expectedText());

        SUBCASE("a route that moves to another address is removed for the callers of the old one")
        {
            auto configuration = cleanConfiguration();
            configuration["routes"][0]["path_prefix"] = "/9090/";
            CHECK(support::textOf(check(configuration, base)) == "removed /routes/0, added /routes/0");
        }
        SUBCASE("services that are removed and added")
        {
            auto configuration = cleanConfiguration();
            configuration["routes"][1]["traffic_split"][1]["service"] = "wuno96c";
            configuration["services"][1]["name"] = "wuno96c";
            CHECK(support::textOf(check(configuration, base))
                == "removed /services/1, changed_target /routes/1, added /services/1");
        }
    }

    TEST_CASE("a configuration file is checked without a daemon, with an exit status for scripts")
    {
        std::string out;
        const support::TemporaryFile file(cleanConfiguration().dump());
        SUBCASE("clean, with warnings, and with errors")
        {
            CHECK(run(file.path(), "", out) == 0);
            CHECK(out == file.path() + " is valid\n");
            CHECK(run(file.path(), file.path(), out) == 1);
            CHECK(out.starts_with(file.path() + ": warning: /version: 7 is not higher"));
            const support::TemporaryFile invalid("{}");
            CHECK(run(invalid.path(), "", out) == 2);
            CHECK(run(file.path(), invalid.path(), out) == 2);
            CHECK(out.find("can't be compared") != std::string::npos);
        }
        SUBCASE("a file above the size that controllers accept is refused in one line")
        {
            const support::TemporaryFile large(std::string((1UL << 20) + 1, ' '));
            CHECK(run(large.path(), "", out) == 2);
            CHECK(std::ranges::count(out, '\n') == 1);
        }
    }
}
