#include "adapters/HttpProbe.h"
#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/HttpServer.h"

#include <doctest/doctest.h>
#include <h2o.h>

#include <memory>
#include <stdexcept>
#include <vector>

using namespace ibisgw;
using namespace ibisgw::adapters;

TEST_SUITE("adapters")
{
    // Guards against a controller that accepts one connection per iteration of its event loop while datagrams take up
    // the iterations: with 300 machines, thousands of upstreams waited in the backlog, timed out and reconnected.
    TEST_CASE("connections in the backlog are accepted in a few iterations of the event loop")
    {
        constexpr std::size_t connectionCount = 100;
        constexpr int maxIterations = 4;
        EventLoop loop;
        HttpLimits limits;
        limits.maxConnections = connectionCount;
        const auto server
            = HttpServer::listen(loop, { 0x7f000001, 0 }, limits, [](const HttpRequest&, const auto&) {}).value();
        std::vector<std::unique_ptr<support::HttpProbe>> probes;
        for (std::size_t n = 0; n < connectionCount; ++n)
            probes.push_back(std::make_unique<support::HttpProbe>(loop, server->localEndpoint()));

        for (int n = 0; n < maxIterations; ++n)
            h2o_evloop_run(loop.nativeLoop(), 0);
        CHECK(server->openConnections() == connectionCount);

        // Guards against a planned stop that resets connections which the kernel has established but the server has
        // not accepted yet.
        SUBCASE("connections in the backlog are accepted and answered when the server stops accepting")
        {
            limits.maxConnections = 2 * connectionCount;
            const auto stopping
                = HttpServer::listen(loop, { 0x7f000001, 0 }, limits, [](const HttpRequest&, auto respond) {
                      respond({ 200, "text/plain", "done", {} });
                  }).value();
            const auto endpoint = stopping->localEndpoint();
            std::vector<std::unique_ptr<support::HttpProbe>> late;
            for (std::size_t n = 0; n < connectionCount; ++n) {
                late.push_back(std::make_unique<support::HttpProbe>(loop, endpoint));
                late.back()->send("GET / HTTP/1.1\r\n\r\n");
            }
            stopping->stopAccepting();
            for (const auto& it : late)
                CHECK(support::parseAnswer(it->readToEnd()).body == "done");
            CHECK_THROWS(support::HttpProbe(loop, endpoint));
        }
        SUBCASE("no more connections than the limit are accepted")
        {
            const support::HttpProbe late(loop, server->localEndpoint());
            for (int n = 0; n < maxIterations; ++n)
                h2o_evloop_run(loop.nativeLoop(), 0);
            CHECK(server->openConnections() == connectionCount);
        }
    }

    // Guards against a process that ends because the handler of one request throws.
    TEST_CASE("a request whose handler throws is answered with status 500, and the next one is served")
    {
        EventLoop loop;
        const auto server
            = HttpServer::listen(loop, { 0x7f000001, 0 }, {}, [](const HttpRequest& request, auto respond) {
                  if (request.path == "/throws")
                      throw std::runtime_error("no reason \xc3");
                  respond({ 200, "text/plain", "done", {} });
              }).value();

        const auto failed = support::request(loop, server->localEndpoint(), "GET", "/throws");
        CHECK(failed.status == 500);
        CHECK(failed.json()["error"] == "unavailable");
        CHECK(support::request(loop, server->localEndpoint(), "GET", "/").body == "done");
    }
}
