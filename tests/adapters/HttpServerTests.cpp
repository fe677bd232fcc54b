#include "adapters/HttpProbe.h"
#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/HttpServer.h"

#include <doctest/doctest.h>
#include <h2o.h>

#include <memory>
#include <vector>

using namespace ibisgw;
using namespace ibisgw::adapters;

TEST_SUITE("adapters")
{
    // Guards against a controller that takes one connection a turn of its loop while datagrams fill the turns:
    // thousands of upstreams waited in the backlog, gave up and came back (found with a sweep of 300 machines).
    TEST_CASE("connections that wait are taken together in few turns of the event loop")
    {
        constexpr std::size_t waiting = 100;
        constexpr int fewTurns = 4;
        EventLoop loop;
        HttpLimits limits;
        limits.maxConnections = waiting;
        const auto server
            = HttpServer::listen(loop, { 0x7f000001, 0 }, limits, [](const HttpRequest&, const auto&) {}).value();
        std::vector<std::unique_ptr<support::HttpProbe>> probes;
        for (std::size_t n = 0; n < waiting; ++n)
            probes.push_back(std::make_unique<support::HttpProbe>(loop, server->localEndpoint()));

        for (int n = 0; n < fewTurns; ++n)
            h2o_evloop_run(loop.nativeLoop(), 0);
        CHECK(server->openConnections() == waiting);

        // Guards against a planned stop that resets callers whose connections were complete but not yet taken.
        SUBCASE("also those that come just before the server stops accepting")
        {
            limits.maxConnections = 2 * waiting;
            const auto stopping
                = HttpServer::listen(loop, { 0x7f000001, 0 }, limits, [](const HttpRequest&, auto respond) {
                      respond({ 200, "text/plain", "done", {} });
                  }).value();
            const auto endpoint = stopping->localEndpoint();
            std::vector<std::unique_ptr<support::HttpProbe>> late;
            for (std::size_t n = 0; n < waiting; ++n) {
                late.push_back(std::make_unique<support::HttpProbe>(loop, endpoint));
                late.back()->send("GET / HTTP/1.1\r\n\r\n");
            }
            stopping->stopAccepting();
            for (const auto& it : late)
                CHECK(support::parseAnswer(it->readToEnd()).body == "done");
            CHECK_THROWS(support::HttpProbe(loop, endpoint));
        }
        SUBCASE("and no more than the limit")
        {
            const support::HttpProbe late(loop, server->localEndpoint());
            for (int n = 0; n < fewTurns; ++n)
                h2o_evloop_run(loop.nativeLoop(), 0);
            CHECK(server->openConnections() == waiting);
        }
    }
}
