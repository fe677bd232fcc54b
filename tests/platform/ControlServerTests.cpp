#include "platform/ConfigurationMessage.h"
#include "platform/ControlServer.h"

#include "adapters/HttpProbe.h"
#include "ibisgw/runtime/DirectController.h"
#include "support/TemporaryFolder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace ibisgw;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;

// The control API of one controller that has not found its group.
struct Controller {
    support::TemporaryFolder folder;
    adapters::EventLoop loop;
    platform::ConfigurationMessage format;
    std::unique_ptr<runtime::DirectController> controller;
    std::unique_ptr<platform::ControlServer> server;

    Controller()
    {
        settings::DirectSettings settings;
        settings.peer = { loopback, 0 };
        settings.seeds = { { loopback, 1 } };
        settings.dataFolder = folder.path();
        controller = runtime::DirectController::create(settings, loop, 1).value();
        REQUIRE(controller->start());
        server = platform::ControlServer::start(loop, { loopback, 0 }, *controller, format).value();
    }

    support::HttpAnswer post(const std::string& path, const std::string& body)
    {
        return support::request(loop, server->localEndpoint(), "POST", path, body);
    }
};

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
}
