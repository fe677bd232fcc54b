#include "ibisgw/adapters/UpstreamDirectoryFile.h"
#include "platform/ControllerFixture.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>

using namespace ibisgw;
using platform_tests::Controller;
using platform_tests::Group;

namespace {

std::string configurationNamed(const std::string& route)
{
    return R"({"version":9,"routes":[{"name":")" + route
        + R"(","hostname":"198.18.0.1","path_prefix":"/80/","route_type":"safe","timeout_ms":1500,)"
          R"("service":"atelier"}],"services":[{"name":"atelier"}]})";
}

std::string withoutByte(std::string text, std::size_t index)
{
    return text.erase(index, 1);
}

} // namespace

TEST_SUITE("platform")
{
    // Guards against controllers that end, one after the other, by a configuration that is not UTF-8: the reason of the
    // refusal quoted its bytes, and the answer could not be written as JSON.
    TEST_CASE("a configuration that is not UTF-8 is refused with a reason")
    {
        Controller it;
        const auto text = configurationNamed("z\xc3\xbcrich");
        const auto character = text.find('\xc3');

        SUBCASE("cut within a character")
        {
            const auto answer = it.post("/Config.Replace", text.substr(0, character + 1));
            CHECK(answer.status == 400);
            CHECK(answer.json()["error"].is_string());
        }
        SUBCASE("a name in Latin-1")
        {
            CHECK(it.post("/Config.Replace", withoutByte(text, character)).status == 400);
        }
        SUBCASE("a member name that is no text occurs twice")
        {
            CHECK(it.post("/Config.Replace", R"({"a\u0000":1,"a\u0000":2})").status == 400);
        }
        SUBCASE("the whole configuration is not refused")
        {
            CHECK(it.post("/Config.Replace", text).status == 503);
        }
        CHECK(it.post("/Config.Replace", "{").status == 400);
    }

    // Guards against controllers that end, and followers that lose track, by one odd entry among the heartbeats.
    TEST_CASE("an odd heartbeat of another writer is refused and leaves the other hosts alone")
    {
        Controller it;
        const std::string path = "/Instances.Heartbeat/i-7f3a91c2";
        const auto heartbeat = [](const std::string& member, const std::string& value) {
            std::map<std::string, std::string> members { { "service", R"("slotdesk")" },
                { "address", R"("10.128.0.9:8080")" }, { "zone", R"("a")" }, { "version", R"("v1")" },
                { "max_concurrency", "2" }, { "state", R"("ready")" }, { "cold_remaining_ms", "0" },
                { "sequence", "4" }, { "born", "1779980662000" } };
            members[member] = value;
            std::string text;
            for (const auto& [name, content] : members)
                text.append(text.empty() ? "{\"" : ",\"").append(name).append("\":").append(content);
            return text + "}";
        };
        const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
        const auto longText = '"' + std::string(100'000, 'a') + '"';
        REQUIRE(it.post(path, heartbeat("sequence", "3")).status == 200);

        SUBCASE("very deeply nested")
        {
            CHECK(it.post(path, nested(200'000)).status == 400);
            CHECK(it.post(path, std::string(200'000, '[')).status == 400);
            CHECK(it.post(path, heartbeat("labels", nested(100))).status == 400);
            CHECK(it.post(path, heartbeat("zone", nested(100))).status == 400);
        }
        SUBCASE("with a number too large")
        {
            for (const auto* member : { "sequence", "max_concurrency", "cold_remaining_ms", "born" }) {
                CAPTURE(member);
                for (const auto* value : { "1e400", "-1e400", "1e300", "123456789012345678901234567890", "-1" }) {
                    CAPTURE(value);
                    CHECK(it.post(path, heartbeat(member, value)).status == 400);
                }
            }
            CHECK(it.post(path, heartbeat("max_concurrency", "65536")).status == 400);
        }
        SUBCASE("with a port out of range")
        {
            for (const auto* port : { "65536", "99999999999999999999", "-1", "0", "", "8080x" }) {
                CAPTURE(port);
                CHECK(it.post(path, heartbeat("address", R"("10.128.0.9:)" + std::string(port) + '"')).status == 400);
            }
        }
        SUBCASE("with a text that no daemon could send on in time")
        {
            CHECK(it.post(path, heartbeat("service", longText)).status == 400);
            CHECK(it.post(path, heartbeat("zone", longText)).status == 400);
        }
        CHECK(it.post(path, heartbeat("sequence", "4")).status == 200);
    }

    // Guards against a controller that starts without an upstream that it has known for long, because the disk was full
    // when that upstream joined.
    TEST_CASE("upstreams that could not be saved are saved once the disk accepts writes again")
    {
        constexpr std::chrono::milliseconds savePeriod { 1500 };
        Controller it;
        const auto blocked = it.folder.path() + "/instances.tmp";
        std::filesystem::create_directory(blocked);
        REQUIRE(it.post("/Instances.Heartbeat/i-7f3a91c2",
                      R"({"service":"slotdesk","address":"10.128.0.9:8080","zone":"a","version":"v1",)"
                      R"("max_concurrency":2,"state":"ready","cold_remaining_ms":0,"sequence":4})")
                    .status
            == 200);
        it.runFor(savePeriod);
        CHECK(adapters::loadUpstreamDirectory(it.folder.path()).instances.empty());
        std::filesystem::remove(blocked);
        it.runFor(savePeriod);
        CHECK(adapters::loadUpstreamDirectory(it.folder.path()).instances.size() == 1);
    }

    // Guards against a live host that is taken for gone, with its open flows reset, by the farewell of its earlier
    // lifetime that a paused controller handles late.
    TEST_CASE("a farewell that names no lifetime ends only a host that has announced its end")
    {
        Controller it;
        const auto heartbeat = [](const std::string& state, int sequence) {
            return R"({"service":"slotdesk","address":"10.128.0.9:8080","zone":"a","version":"v1","max_concurrency":2,)"
                   R"("cold_remaining_ms":0,"born":1779980662000,"state":")"
                + state + R"(","sequence":)" + std::to_string(sequence) + "}";
        };
        const auto count = [&](const std::string& state) {
            return it.controller->renderMetrics().find("ibisgw_upstreams{state=\"" + state + "\"} 1")
                != std::string::npos;
        };
        REQUIRE(it.post("/Instances.Heartbeat/i-7f3a91c2", heartbeat("ready", 1)).status == 200);
        REQUIRE(count("ready"));

        SUBCASE("a late one of an earlier lifetime")
        {
            CHECK(it.post("/Instances.Deregister/i-7f3a91c2", "").status == 503);
            CHECK(count("ready"));
        }
        SUBCASE("one of the present lifetime, which drains")
        {
            it.post("/Instances.Heartbeat/i-7f3a91c2", heartbeat("draining", 2));
            it.post("/Instances.Deregister/i-7f3a91c2", "");
            CHECK(count("gone"));
        }
        SUBCASE("one that names the present lifetime")
        {
            it.post("/Instances.Deregister/i-7f3a91c2", R"({"born":1779980662000})");
            CHECK(count("gone"));
        }
    }

    // Guards against open flows that are reset, and a live host that gets no flow any more, because another writer has
    // sent a heartbeat at the host's address or under its identifier.
    TEST_CASE("a heartbeat with a service that the configuration does not name displaces no host")
    {
        Controller it(Group::Alone);
        support::runUntil(it.loop, [&] { return it.post("/Config.Replace", configurationNamed("r-1")).status == 200; });
        const auto heartbeat = [&](const std::string& id, const std::string& service, int sequence) {
            return it
                .post("/Instances.Heartbeat/" + id,
                    R"({"address":"10.128.0.9:8080","zone":"a","version":"v1","max_concurrency":2,"state":"ready",)"
                    R"("cold_remaining_ms":0,"born":1779980662000,"service":")"
                        + service + R"(","sequence":)" + std::to_string(sequence) + "}")
                .status;
        };
        const auto hasOneHost = [&] {
            const auto metrics = it.controller->renderMetrics();
            return metrics.find("ibisgw_upstreams{state=\"ready\"} 1") != std::string::npos
                && metrics.find("ibisgw_upstreams{state=\"gone\"} 0") != std::string::npos;
        };
        REQUIRE(heartbeat("i-7f3a91c2", "atelier", 1) == 200);

        SUBCASE("at the address of a host")
        {
            CHECK(heartbeat("i-00c0ffee", "node-agent", 1) == 400);
        }
        SUBCASE("under the identifier of a host")
        {
            CHECK(heartbeat("i-7f3a91c2", "node-agent", 2) == 400);
        }
        CHECK(hasOneHost());
        CHECK(heartbeat("i-7f3a91c2", "atelier", 2) == 200);
        CHECK(hasOneHost());
    }
}
