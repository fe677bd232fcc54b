#include "ibisgw/settings/DirectSettings.h"
#include "support/ProblemList.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <regex>

using namespace ibisgw;
using nlohmann::json;
using settings::DirectRole;

namespace {

json controllerSettings()
{
    return { { "name", "controller-0" }, { "zone", "bern-1" }, { "peer", "127.0.0.1:7000" },
        { "control", "127.0.0.1:7001" }, { "data_folder", "data" } };
}

// The template with the values that the platform inserts: each section is repeated for two zones.
std::string renderTemplate(std::string text)
{
    const std::regex section(R"(\{\{#zones\}\}(.*)\{\{@\}\}(.*)\{\{,\}\}\{\{/zones\}\})");
    text = std::regex_replace(text, section, "$1basel-1$2,$1bern-1$2");
    const std::pair<const char*, const char*> values[] { { R"(\{\{seeds\|json\}\})", R"(["10.0.0.1:7001"])" },
        { R"(\{\{bind_addresses.control\|json\}\})", R"("10.0.0.1:7001")" }, { R"(\{\{bootstrap\|json\}\})", "true" },
        { R"(\{\{[a-z_]+\|json\}\})", R"("name")" }, { R"(\{\{ip\}\})", "10.0.0.1" },
        { R"(\{\{[a-z_.0-9]+\}\})", "1" } };
    for (const auto& [pattern, value] : values)
        text = std::regex_replace(text, std::regex(pattern), value);
    return text;
}

} // namespace

TEST_SUITE("settings")
{
    TEST_CASE("the zones in the settings of a controller in direct-return mode")
    {
        auto settings = controllerSettings();

        SUBCASE("are not known without the field")
        {
            const auto reading = settings::readDirectSettings(settings, DirectRole::Controller);
            REQUIRE(reading.settings);
            CHECK(reading.settings->zones.empty());
        }
        SUBCASE("are read as a list of names")
        {
            settings["zones"] = { "basel-1", "bern-1" };
            const auto reading = settings::readDirectSettings(settings, DirectRole::Controller);
            REQUIRE(reading.settings);
            CHECK(reading.settings->zones == std::vector<core::ZoneName> { "basel-1", "bern-1" });
        }
        // Guards against a list that lacks a zone because one of its entries was dropped silently.
        SUBCASE("are refused if one is no name or is listed twice")
        {
            settings["zones"] = { "basel-1", "bern 1", 7, "basel-1" };
            const auto reading = settings::readDirectSettings(settings, DirectRole::Controller);
            CHECK(support::pathsOf(reading.problems) == "/zones/1 /zones/2 /zones/3");
        }
    }

    // Guards against a template whose field the controller refuses, so that no controller starts.
    TEST_CASE("the template of the settings of a controller renders to valid settings")
    {
        std::ifstream in(std::string(IBISGW_SOURCE_DIR) + "/deploy/controller.json.template");
        const auto text = renderTemplate({ std::istreambuf_iterator<char>(in), {} });
        const auto reading = settings::readDirectSettings(json::parse(text, nullptr, false), DirectRole::Controller);
        CAPTURE(text);
        CHECK(support::pathsOf(reading.problems).empty());
        REQUIRE(reading.settings);
        CHECK(reading.settings->zones == std::vector<core::ZoneName> { "basel-1", "bern-1" });
    }
}
