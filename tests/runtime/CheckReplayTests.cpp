#include "ibisgw/configuration/DocumentCheck.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/direct/ConfigurationCheck.h"
#include "ibisgw/runtime/ConfigurationFileCheck.h"
#include "platform/ConfigurationMessage.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <sstream>

using namespace ibisgw;
using core::Severity;
using nlohmann::json;

namespace {

// Duration of a run by hand; without it, a fixed number of rounds takes a few seconds.
const char* const secondsVariable = "IBISGW_CHECK_REPLAY_SECONDS";
constexpr std::uint64_t defaultRounds = 8000;

const char* const document = R"({"organizations": [{"name": "g"}], "zones": [{"name": "bern", "region": "ch"},
    {"name": "biel", "region": "ch"}], "evacuated_zones": ["biel"], "services": [{"name": "a", "organization": "g",
    "addresses": ["127.0.0.1:1", "127.0.0.1:2"], "zones": ["bern", "biel"], "cross_zone": false, "drain_limit_ms": 5,
    "drained_upstreams": ["10.0.0.1:80"], "hedging": {"max_share": 0.1}, "kinds": [{"id": 1, "name": "p",
    "idempotent": true, "placement": "sticky", "deadline_ms": 900, "retry_limit": 2, "concurrency_limit": 100,
    "queue_limit": 4, "on_partition": "serve"}]}, {"name": "b", "organization": "g", "addresses": ["127.0.0.1:3"],
    "kinds": [{"id": 2, "name": "q"}]}]})";
const char* const routes = R"({"version": 7, "routes": [{"name": "r", "hostname": "198.18.0.1", "path_prefix": "/80/",
    "route_type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 1, "service": "s"},
    {"name": "t", "hostname": "198.18.0.1", "path_prefix": "/81/", "route_type": "safe", "timeout_ms": 1200,
    "traffic_split": [{"service": "s", "weight": 90}, {"service": "u", "weight": 10}]}],
    "services": [{"name": "s"}, {"name": "u"}], "limits": {"idle_timeout_ms": 15000}})";

json randomValue(core::RandomSource& random)
{
    const json values[] = { nullptr, true, -1, 0, 1, 70000, 1.5, 1e300, "", "x/~y", "\xff\xfe", "bern", "s", "\x1b[2J",
        "127.0.0.1:1", json::array(), json::array({ 1, nullptr, json::object() }), json::object(),
        std::numeric_limits<std::uint64_t>::max(), std::string(5000, 'x') };
    return values[random.below(std::size(values))];
}

// Replaces a value by a number for a number, by another value of the same document or by any value, or removes a
// member.
std::string changeValue(const json& valid, core::RandomSource& random)
{
    auto changed = valid;
    const auto flat = valid.flatten();
    const auto pick = [&] {
        auto it = flat.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random.below(flat.size())));
        auto pointer = json::json_pointer(it.key());
        for (auto n = random.below(3); n > 0 && !pointer.empty(); --n)
            pointer.pop_back();
        return pointer;
    };
    const auto target = pick();
    auto& value = changed[target];
    if (random.chance(0.2) && !target.empty() && changed[target.parent_pointer()].is_object())
        changed[target.parent_pointer()].erase(target.back());
    else if (random.chance(0.8) && value.is_number())
        value = random.below(random.chance(0.5) ? 4 : 2000);
    else
        value = random.chance(0.7) ? json(valid[pick()]) : randomValue(random);
    return core::formatJson(changed);
}

// Replaces, removes or repeats some bytes, or cuts off the rest.
std::string damageBytes(std::string text, core::RandomSource& random)
{
    const auto at = random.below(text.size() + 1);
    const auto size = random.chance(0.05) ? text.size() : random.below(20);
    const auto copy = text.substr(random.below(text.size() + 1), random.below(20));
    const std::string byte(1, static_cast<char>(random.below(256)));
    return text.replace(at, size, random.chance(0.5) ? byte : copy);
}

std::string mutate(const std::string& text, core::RandomSource& random)
{
    auto mutated = text;
    for (auto n = 1 + random.below(2); n > 0; --n) {
        std::vector<core::Problem> ignored;
        const auto parsed = core::parseJson(mutated, ignored);
        mutated = parsed && random.chance(0.9) && !parsed->empty() && parsed->is_object()
            ? changeValue(*parsed, random)
            : damageBytes(mutated, random);
    }
    return mutated;
}

// The report has errors exactly if daemons reject the text, and it can be printed in both forms.
void verify(const core::CheckReport& report, bool isRejected)
{
    REQUIRE((report.count(Severity::Error) > 0) == isRejected);
    for (const auto& [rule, problem] : report.findings()) {
        REQUIRE_FALSE(problem.message.empty());
        if (core::severityOf(rule) != Severity::Error)
            REQUIRE((problem.path.starts_with("/") && problem.message.find("; ") != std::string::npos));
    }
    const int expected = isRejected ? 2 : report.count(Severity::Warning) > 0 ? 1 : 0;
    for (const bool isJson : { false, true }) {
        std::ostringstream out;
        REQUIRE(adapters::printCheckReport(core::toJson(report), { "f", "", isJson }, out, out) == expected);
        REQUIRE(out.str().find('\x1b') == std::string::npos);
    }
}

// Checks a mutated document against the unchanged one, and the other way round if daemons accept it.
bool replayDocument(core::RandomSource& random)
{
    const auto text = mutate(document, random);
    const auto base = configuration::readDocument(json::parse(document)).document.value();
    std::vector<core::Problem> problems;
    const auto parsed = core::parseJson(text, problems);
    const auto reading = parsed ? configuration::readDocument(*parsed) : configuration::DocumentReadResult {};
    verify(configuration::checkDocumentText(text, { &base, { core::Endpoint { 1, 1 } } }), !reading.document);
    if (!reading.document)
        return false;
    verify(configuration::checkDocument(base, { &*reading.document }), false);
    REQUIRE(configuration::checkDocument(*reading.document, { &*reading.document }).count(Severity::Difference) == 0);
    return true;
}

bool replayRoutes(core::RandomSource& random)
{
    const platform::ConfigurationMessage format;
    const auto base = format.read(routes).configuration.value();
    const auto text = mutate(routes, random);
    const auto reading = format.read(text);
    const bool isAccepted = reading.configuration && direct::findProblems(*reading.configuration).empty();
    verify(runtime::checkConfigurationText(format, text, &base), !isAccepted);
    if (!isAccepted)
        return false;
    verify(direct::checkConfiguration(base, &*reading.configuration), false);
    REQUIRE(
        direct::checkConfiguration(*reading.configuration, &*reading.configuration).count(Severity::Difference) == 0);
    return true;
}

} // namespace

TEST_SUITE("runtime")
{
    // Guards against a crash, a hang or a wrong verdict for damaged files.
    TEST_CASE("a check of mutated configurations ends with the verdict of the daemons")
    {
        using Clock = std::chrono::steady_clock;
        const char* const seconds = std::getenv(secondsVariable);
        const auto end = Clock::now() + std::chrono::seconds(seconds ? std::atoi(seconds) : 0);
        core::PcgRandomSource random(seconds ? 29 : 28);
        std::uint64_t rounds = 0;
        std::uint64_t accepted = 0;
        for (; seconds ? Clock::now() < end : rounds < defaultRounds; ++rounds)
            accepted += (replayDocument(random) ? 1 : 0) + (replayRoutes(random) ? 1 : 0);
        MESSAGE(rounds, " rounds, ", accepted, " accepted");
        // Guards against mutations that are all rejected, which would leave the comparison untested.
        CHECK(accepted > rounds / 10);
    }
}
