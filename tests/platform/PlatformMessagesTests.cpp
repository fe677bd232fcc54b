#include "ibisgw/core/PcgRandomSource.h"
#include "platform/ConfigurationMessage.h"
#include "platform/DatagramFormat.h"
#include "platform/InstanceMessage.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <array>

using namespace ibisgw;
using nlohmann::json;
using platform::readHeartbeat;

namespace {

std::vector<std::byte> bytesOf(std::initializer_list<int> values)
{
    std::vector<std::byte> bytes;
    for (const auto it : values)
        bytes.push_back(static_cast<std::byte>(it));
    return bytes;
}

// Example in the platform's protocol documentation: an opening packet from 100.64.0.7:40001 to 198.18.0.1:443.
std::vector<std::byte> examplePacket()
{
    return bytesOf({ 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00,
        0xd5, 0xc3, 0xb2, 0xa1, 0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64, 0x41, 0x9c });
}

json exampleHeartbeat()
{
    return { { "service", "huvo11a" }, { "address", "10.128.0.9:8080" }, { "zone", "bern" }, { "version", "v1" },
        { "max_concurrency", 2 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 4 },
        { "born", 1779980662000 } };
}

json exampleConfiguration()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8080/","route_type":"unsafe","timeout_ms":1500,
         "target_latency_ms":150,"priority":1,"service":"huvo11a","max_attempts":2},
        {"name":"r-2","hostname":"198.18.0.1","path_prefix":"/8443/","route_type":"safe","timeout_ms":1200,
         "target_latency_ms":120,"priority":2,"traffic_split":[{"service":"huvo11a","weight":90},
         {"service":"wuno96b","weight":10}],"max_attempts":2}],
        "services":[{"name":"huvo11a"},{"name":"wuno96b"}],"limits":{"idle_timeout_ms":15000}})");
}

std::vector<core::Problem> problemsOf(const json& configuration)
{
    const auto reading = platform::ConfigurationMessage().read(configuration.dump());
    return reading.configuration ? direct::findProblems(*reading.configuration) : reading.problems;
}

} // namespace

TEST_SUITE("platform")
{
    TEST_CASE("packets")
    {
        const platform::DatagramFormat format;
        const auto packet = examplePacket();
        const auto segment = format.read(packet);
        REQUIRE(segment);

        SUBCASE("the example in the protocol documentation is parsed field by field")
        {
            CHECK(segment->flow.caller.toString() == "100.64.0.7:40001");
            CHECK(segment->flow.service.toString() == "198.18.0.1:443");
            CHECK(segment->isOpening);
            CHECK(segment->sequence == 0x11223344);
            CHECK(segment->token == 0);
            CHECK(segment->payloadBytes == 0);
        }
        SUBCASE("a forwarded packet is prefixed with the upstream, and only its token is replaced")
        {
            std::array<std::byte, 64> out {};
            const auto n = format.writeForwarded(packet, 0xa1b2c3d4, { 0x7f3a91c2 }, out);
            REQUIRE(n == packet.size() + 8);
            const auto prefix = bytesOf({ 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2, 0xd4, 0xc3, 0xb2, 0xa1 });
            CHECK(std::equal(prefix.begin(), prefix.end(), out.begin()));
            CHECK(std::equal(packet.begin() + 4, packet.end(), out.begin() + 12));
        }
        SUBCASE("a reset equals the example in the protocol documentation")
        {
            std::array<std::byte, 64> out {};
            const auto n = format.writeReset(*segment, out);
            const auto expected = bytesOf({ 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0x07, 0x00,
                0x40, 0x64, 0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01 });
            REQUIRE(n == expected.size());
            CHECK(std::equal(expected.begin(), expected.end(), out.begin()));
        }
        SUBCASE("a datagram that is too short, too long or has a wrong length field is rejected")
        {
            auto broken = packet;
            broken.pop_back();
            CHECK_FALSE(format.read(broken));
            broken = packet;
            broken.push_back(std::byte { 1 });
            CHECK_FALSE(format.read(broken));
            CHECK_FALSE(format.read(std::vector<std::byte>(2000)));
        }
    }

    TEST_CASE("heartbeats")
    {
        const upstream::InstanceId id { 0x7f3a91c2 };
        SUBCASE("an upstream identifier is converted by its hexadecimal digits")
        {
            CHECK(platform::readInstanceId("i-7f3a91c2") == id);
            CHECK_FALSE(platform::readInstanceId("i-"));
            CHECK_FALSE(platform::readInstanceId("i-xyz"));
            CHECK_FALSE(platform::readInstanceId("i-11112222333344445"));
        }
        SUBCASE("all fields are read")
        {
            const auto report = readHeartbeat(id, exampleHeartbeat().dump());
            REQUIRE(report);
            CHECK(report->service == "huvo11a");
            CHECK(report->address.toString() == "10.128.0.9:8080");
            CHECK(report->incarnation == 1779980662000);
            CHECK(report->slots == 2);
        }
        SUBCASE("a heartbeat with a missing or invalid field is rejected")
        {
            for (const auto* name :
                { "service", "address", "zone", "version", "max_concurrency", "state", "sequence" }) {
                auto heartbeat = exampleHeartbeat();
                heartbeat.erase(name);
                CHECK_FALSE(readHeartbeat(id, heartbeat.dump()));
                heartbeat[name] = json::array();
                CHECK_FALSE(readHeartbeat(id, heartbeat.dump()));
            }
            auto heartbeat = exampleHeartbeat();
            heartbeat["state"] = "sleeping";
            CHECK_FALSE(readHeartbeat(id, heartbeat.dump()));
            heartbeat = exampleHeartbeat();
            heartbeat["born"] = 1.5;
            CHECK_FALSE(readHeartbeat(id, heartbeat.dump()));
            CHECK_FALSE(readHeartbeat(id, "\xff\xfe"));
        }
    }

    TEST_CASE("configurations")
    {
        SUBCASE("routes, services and limits are read")
        {
            const auto reading = platform::ConfigurationMessage().read(exampleConfiguration().dump());
            REQUIRE(reading.configuration);
            const auto& configuration = *reading.configuration;
            CHECK(configuration.version == 7);
            REQUIRE(configuration.routes.size() == 2);
            CHECK(configuration.routes[0].address.toString() == "198.18.0.1:8080");
            CHECK(configuration.routes[1].targets[1].weight == 10);
            CHECK(configuration.idleTimeout == std::chrono::seconds(15));
            CHECK(direct::findProblems(configuration).empty());
        }
        SUBCASE("an invalid configuration is rejected")
        {
            auto configuration = exampleConfiguration();
            configuration["routes"][0]["service"] = "nowhere";
            CHECK_FALSE(problemsOf(configuration).empty());
            configuration = exampleConfiguration();
            configuration["routes"][1]["path_prefix"] = "/8080/";
            CHECK_FALSE(problemsOf(configuration).empty());
            configuration = exampleConfiguration();
            configuration["routes"][0]["timeout_ms"] = 0;
            CHECK_FALSE(problemsOf(configuration).empty());
            configuration = exampleConfiguration();
            configuration["routes"][1]["traffic_split"][0].erase("weight");
            CHECK_FALSE(problemsOf(configuration).empty());
            configuration["version"] = "7";
            CHECK_FALSE(problemsOf(configuration).empty());
        }
        SUBCASE("the limit of cold starts is a number of new requests per second")
        {
            const auto serviceWith = [](const json& warmUp, const json& coldStart) {
                auto configuration = exampleConfiguration();
                configuration["services"][1].update({ { "warmup_per_s", warmUp }, { "cold_start_s", coldStart } });
                return platform::ConfigurationMessage().read(configuration.dump());
            };
            const auto reading = serviceWith(2.5, 4);
            REQUIRE(reading.configuration);
            CHECK(reading.configuration->services[0] == direct::ServiceConfiguration { "huvo11a" });
            CHECK(reading.configuration->services[1]
                == direct::ServiceConfiguration { "wuno96b", 2.5, std::chrono::seconds(4) });
            CHECK(serviceWith(0, 4).configuration->services[1].warmUpPerSecond == 0);
            for (const json& invalid : { json(-1), json("20"), json(true), json(nullptr), json::array({ 1 }) }) {
                const auto rejected = serviceWith(invalid, 4);
                CHECK_FALSE(rejected.configuration);
                REQUIRE(rejected.problems.size() == 1);
                CHECK(rejected.problems[0].path == "/services/1/warmup_per_s");
                // Without a limit, other members of services are ignored as before.
                CHECK(serviceWith(0, invalid).configuration);
                CHECK_FALSE(serviceWith(1, invalid).configuration);
            }
            auto text = exampleConfiguration().dump();
            text.replace(text.find(R"({"name":"wuno96b"})"), 1, R"({"warmup_per_s":1e999,)");
            CHECK_FALSE(platform::ConfigurationMessage().read(text).configuration);
        }
        // Guards against a configuration that is rejected whole because one kind of route is unknown, so that the
        // deployment serves nothing (gnsm-gate scored 0).
        SUBCASE("each kind of route is read")
        {
            const std::pair<const char*, direct::RouteKind> kinds[] { { "safe", direct::RouteKind::Idempotent },
                { "unsafe", direct::RouteKind::NonIdempotent }, { "upload", direct::RouteKind::Upload },
                { "download", direct::RouteKind::Download } };
            for (const auto& [name, kind] : kinds) {
                auto configuration = exampleConfiguration();
                configuration["routes"][0]["route_type"] = name;
                const auto reading = platform::ConfigurationMessage().read(configuration.dump());
                REQUIRE(reading.configuration);
                CHECK(reading.configuration->routes[0].kind == kind);
            }
        }
        SUBCASE("an unknown kind of route rejects the whole configuration and reports its path and the known kinds")
        {
            auto configuration = exampleConfiguration();
            configuration["routes"][1]["route_type"] = "broadcast";
            const auto reading = platform::ConfigurationMessage().read(configuration.dump());
            CHECK_FALSE(reading.configuration);
            REQUIRE(reading.problems.size() == 1);
            CHECK(reading.problems[0].path == "/routes/1/route_type");
            CHECK(reading.problems[0].message == "has an unknown value; use one of: safe, unsafe, upload, download");
        }
        SUBCASE("a truncated text is rejected at every length")
        {
            const auto text = exampleConfiguration().dump();
            for (std::size_t n = 0; n < text.size(); ++n)
                CHECK_FALSE(platform::ConfigurationMessage().read(text.substr(0, n)).configuration);
        }
    }

    TEST_CASE("100,000 corrupted inputs are parsed or rejected, and none crashes the process")
    {
        core::PcgRandomSource random(2026);
        const platform::DatagramFormat format;
        const platform::ConfigurationMessage configurations;
        const auto heartbeat = exampleHeartbeat().dump();
        const auto configuration = exampleConfiguration().dump();
        const auto corrupt = [&random](std::string text) {
            const auto changes = 1 + random.below(4);
            for (std::uint64_t n = 0; n < changes && !text.empty(); ++n) {
                const auto at = random.below(text.size());
                if (random.chance(0.3))
                    text.erase(at, 1 + random.below(8));
                else
                    text[at] = static_cast<char>(random.below(256));
            }
            return text;
        };
        for (int n = 0; n < 100'000; ++n) {
            std::vector<std::byte> packet(random.below(80));
            for (auto& it : packet)
                it = static_cast<std::byte>(random.below(256));
            format.read(packet);
            if (n % 4 == 0)
                readHeartbeat({ 1 }, corrupt(heartbeat));
            if (n % 16 == 0)
                configurations.read(corrupt(configuration));
        }
    }
}
