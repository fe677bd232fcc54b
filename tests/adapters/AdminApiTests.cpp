#include "ibisgw/adapters/AdminApi.h"

#include "adapters/HttpProbe.h"
#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/FakeApiBackend.h"
#include "support/ProblemList.h"
#include "support/TemporaryFile.h"
#include "support/TwoOrganizations.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using nlohmann::json;

namespace {

const std::string systemToken(40, 's');
const std::string peachtreeToken(40, 'p');

std::string tokenFileText()
{
    return json {
        { "tokens",
            { { { "token", systemToken }, { "name", "root" }, { "scope", "system" } },
                { { "token", peachtreeToken }, { "name", "ann" }, { "scope", "organization:peachtree" } } } }
    }.dump();
}

// Returns the error with which the API fails to start; its message is empty if the API has started.
core::Error startError(const adapters::AdminApiOptions& options)
{
    adapters::EventLoop loop;
    support::FakeApiBackend backend;
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<core::Error> {
            BOOST_LEAF_CHECK(adapters::AdminApi::start(loop, backend, options));
            return core::Error { core::ErrorKind::InvalidInput, "" };
        },
        [](const core::Error& error) { return error; },
        [] {
            return core::Error { core::ErrorKind::InvalidInput, "unknown" };
        });
}

struct Fixture {
    support::TemporaryFile tokenFile { tokenFileText() };
    adapters::EventLoop loop;
    support::FakeApiBackend backend;
    std::unique_ptr<adapters::AdminApi> api;

    explicit Fixture(bool withTokens = false, adapters::HttpLimits limits = {})
    {
        adapters::AdminApiOptions options;
        options.listen = *core::Endpoint::parse("127.0.0.1:0");
        options.tokenFile = withTokens ? tokenFile.path() : "";
        options.limits = limits;
        const auto started = boost::leaf::try_handle_all(
            [&]() -> core::Result<bool> {
                BOOST_LEAF_ASSIGN(api, adapters::AdminApi::start(loop, backend, options));
                return true;
            },
            [] { return false; });
        REQUIRE(started);
        const auto reading = configuration::readDocument(support::twoOrganizations());
        backend.accept(configuration::canonicalText(reading.document.value()), "first");
    }

    ~Fixture()
    {
        support::runUntil(loop, [&] { return api->openConnections() == 0; });
    }

    support::HttpAnswer get(const std::string& path, const std::string& token = "")
    {
        return support::request(loop, api->localEndpoint(), "GET", path, "", token);
    }

    support::HttpAnswer post(const std::string& path, const std::string& body, const std::string& token = "")
    {
        return support::request(loop, api->localEndpoint(), "POST", path, body, token);
    }

    support::HttpAnswer submit(const json& document, const std::string& token = "", int base = 1)
    {
        const json body { { "base", base }, { "submission", "change-1" }, { "document", document } };
        return post("/api/v1/submissions", body.dump(), token);
    }
};

std::string pathsIn(const support::HttpAnswer& answer)
{
    std::vector<core::Problem> problems;
    const auto json = answer.json();
    for (const auto& it : json.at("problems"))
        problems.push_back({ it.at("path"), it.at("message") });
    return support::pathsOf(problems);
}

} // namespace

TEST_SUITE("adapters")
{
    TEST_CASE("the API submits documents and answers with their outcome")
    {
        Fixture fixture;
        auto document = support::twoOrganizations();
        document["services"][0]["cross_zone"] = false;

        SUBCASE("an accepted submission is in the history and can be queried by its identifier")
        {
            const auto answer = fixture.submit(document);
            CHECK(answer.status == 200);
            CHECK(answer.json()["revision"] == 2);
            CHECK(fixture.get("/api/v1/submissions/change-1").json()["revision"] == 2);
            CHECK(fixture.get("/api/v1/submissions/other").status == 404);
            CHECK(fixture.get("/api/v1/document").json()["document"]["services"][0]["cross_zone"] == false);
            CHECK(fixture.get("/api/v1/revisions/1").json()["document"]["services"][0]["cross_zone"] == true);
            CHECK(fixture.get("/api/v1/revisions?limit=1").json()["revisions"].size() == 1);
            const auto patch = fixture.get("/api/v1/revisions/1/diff/2").json()["patch"];
            CHECK(patch == json::parse(R"([{"op":"replace","path":"/services/0/cross_zone","value":false}])"));
        }
        SUBCASE("a submission with an outdated base is a conflict, because it would undo the newer change")
        {
            const auto answer = fixture.submit(document, "", 0);
            CHECK(answer.status == 409);
            CHECK(answer.json()["error"] == "conflict");
        }
        SUBCASE("a document with problems is rejected and not passed to the backend")
        {
            document["services"][0]["kinds"][0]["id"] = 0;
            document["services"][1]["organization"] = "nobody";
            const auto answer = fixture.submit(document);
            CHECK(answer.status == 422);
            CHECK(pathsIn(answer) == "/document/services/0/kinds/0/id /document/services/1/organization");
            CHECK(fixture.post("/api/v1/check", json { { "document", document } }.dump()).status == 422);
            CHECK(fixture.backend.submissions.empty());
        }
        // Guards against a revision that only the daemon that accepted it can read.
        SUBCASE("a document that is too large with its default values is rejected")
        {
            auto& kinds = document["services"][0]["kinds"];
            for (int n = 10; n < 8000; ++n)
                kinds.push_back({ { "id", n }, { "name", "k" + std::to_string(n) } });
            const auto answer = fixture.submit(document);
            CHECK(answer.status == 422);
            CHECK(pathsIn(answer) == "/document");
            CHECK(fixture.backend.submissions.empty());
        }
        SUBCASE("an answer of the backend after the call has returned is sent to the client")
        {
            fixture.backend.holdsSubmissions = true;
            support::HttpProbe probe(fixture.loop, fixture.api->localEndpoint());
            const auto body = json { { "base", 1 }, { "submission", "a" }, { "document", document } }.dump();
            probe.send("POST /api/v1/submissions HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
            support::runUntil(fixture.loop, [&] { return !fixture.backend.heldSubmissions.empty(); });

            SUBCASE("an unknown outcome is not reported as a rejection")
            {
                fixture.backend.heldSubmissions[0](adapters::SubmissionAnswer {});
                const auto answer = support::parseAnswer(probe.readToEnd());
                CHECK(answer.status == 202);
                CHECK(answer.json()["outcome"] == "unknown");
            }
            SUBCASE("an answer after the client has disconnected is dropped, without access to freed memory")
            {
                probe.close();
                // The server detects that the client has disconnected only when it writes.
                fixture.backend.heldSubmissions[0](adapters::SubmissionAnswer {});
                support::runUntil(fixture.loop, [&] { return fixture.api->openConnections() == 0; });
                fixture.backend.heldSubmissions[0](adapters::SubmissionAnswer {});
            }
        }
    }

    TEST_CASE("a submission that the backend never answers times out instead of keeping its connection open")
    {
        adapters::HttpLimits limits;
        limits.answerTimeout = std::chrono::milliseconds(20);
        Fixture fixture(false, limits);
        fixture.backend.holdsSubmissions = true;
        const auto answer = fixture.submit(support::twoOrganizations());
        CHECK(answer.status == 504);
        CHECK(answer.json()["error"] == "unavailable");
        fixture.backend.heldSubmissions[0](adapters::SubmissionAnswer {});
    }

    TEST_CASE("the API withstands malformed, slow and malicious requests")
    {
        adapters::HttpLimits limits;
        limits.maxBodyBytes = 4096;
        limits.maxConnections = 3;
        limits.requestTimeout = std::chrono::milliseconds(100);
        limits.connectionLifetime = std::chrono::milliseconds(400);
        Fixture fixture(false, limits);
        const auto server = fixture.api->localEndpoint();

        SUBCASE("malformed JSON is answered with status 400 and its position, and does not crash the daemon")
        {
            for (const auto* it : { "", "{", "[1,", "\xff\xfe", "{\"a\":1,\"a\":2}" }) {
                const auto answer = fixture.post("/api/v1/submissions", it);
                CHECK(answer.status == 400);
                CHECK(answer.json()["problems"].size() == 1);
            }
            CHECK(fixture.post("/api/v1/check", std::string(4000, '[')).status == 400);
            CHECK(fixture.post("/api/v1/submissions", "[]").status == 422);
        }
        SUBCASE("a body above the size limit is rejected, because it could exhaust the memory")
        {
            CHECK(fixture.post("/api/v1/check", std::string(5000, ' ')).status == 413);
            CHECK(fixture.get("/healthz").status == 200);
        }
        SUBCASE("slow clients are disconnected, because a few of them could occupy all connections")
        {
            const auto* const start = "POST /api/v1/check HTTP/1.1\r\nContent-Length: 100\r\n\r\n{";
            for (const auto* it : { "", "GET /healthz HT", start }) {
                support::HttpProbe probe(fixture.loop, server);
                probe.send(it);
                probe.readToEnd();
            }
        }
        SUBCASE("a client that does not read its answer is disconnected, because the answer occupies memory")
        {
            // Larger than the socket buffers of the kernel.
            fixture.backend.metricsText.assign(64UL * 1024 * 1024, '#');
            support::HttpProbe probe(fixture.loop, server);
            probe.send("GET /metrics HTTP/1.1\r\n\r\n");
            support::runUntil(fixture.loop, [&] { return fixture.api->openConnections() == 1; });
            support::runUntil(fixture.loop, [&] { return fixture.api->openConnections() == 0; });
        }
        SUBCASE("connections above the limit are closed immediately, and the others are served")
        {
            support::HttpProbe first(fixture.loop, server);
            support::HttpProbe second(fixture.loop, server);
            support::HttpProbe third(fixture.loop, server);
            support::HttpProbe fourth(fixture.loop, server);
            CHECK(fourth.readToEnd().empty());
            third.send("GET /healthz HTTP/1.1\r\n\r\n");
            CHECK(support::parseAnswer(third.readToEnd()).status == 200);
        }
        SUBCASE("random bytes and unknown paths do not crash the daemon")
        {
            core::PcgRandomSource random(5);
            for (int round = 0; round < 200; ++round) {
                std::string bytes = random.chance(0.5) ? "GET /api/v1/" : "POST /api/v1/submissions HTTP/1.1\r\n";
                for (auto n = random.below(200); n > 0; --n)
                    bytes += static_cast<char>(random.below(256));
                support::HttpProbe probe(fixture.loop, server);
                probe.send(bytes + "\r\n\r\n");
                probe.close();
                support::runUntil(fixture.loop, [&] { return fixture.api->openConnections() == 0; });
            }
            for (const auto* it :
                { "/", "/api/v1/", "/api/v1/revisions/x", "/api/v1/revisions/1/diff/", "/api/v1/%00%zz",
                    "/api/v1/submissions/", "/api/v1/revisions/99999999999999999999", "/api/v2/status" })
                CHECK(fixture.get(it).status == 404);
            CHECK(fixture.get("/healthz").status == 200);
        }
        SUBCASE("a POST with a content type that any web page may send from an operator's browser is rejected")
        {
            support::HttpProbe probe(fixture.loop, server);
            probe.send(
                "POST /api/v1/balancers/a/drain HTTP/1.1\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n");
            CHECK(support::parseAnswer(probe.readToEnd()).status == 415);
            CHECK(fixture.backend.drained.empty());
        }
        SUBCASE("DNS rebinding: a request with the host name of a web page is rejected")
        {
            for (const auto* it : { "evil.example", "127.0.0.1.evil.example:8600", "localhost.evil.example" }) {
                support::HttpProbe probe(fixture.loop, server);
                probe.send(std::string("GET /api/v1/document HTTP/1.1\r\nHost: ") + it + "\r\n\r\n");
                CHECK(support::parseAnswer(probe.readToEnd()).status == 403);
            }
        }
    }

    TEST_CASE("tokens restrict what a caller may see and change")
    {
        Fixture fixture(true);
        fixture.backend.knownUpstreams
            = { { *core::Endpoint::parse("10.0.0.1:80"), "atelier", "bern", "active", 2, 0, 5 },
                  { *core::Endpoint::parse("10.0.0.2:80"), "slotdesk", "bern", "active", 2, 0, 6 } };
        fixture.backend.spans = { { std::string(32, 'a'), "b1", "", "balancer-0", "atelier", 1, 1 },
            { std::string(32, 'a'), "b2", "b1", "balancer-0", "slotdesk", 1, 1 } };
        auto document = support::twoOrganizations();

        SUBCASE("a caller without a valid token may query only the health")
        {
            for (const auto& it : { std::string(), std::string(40, 'x'), systemToken.substr(1), systemToken + "s" }) {
                for (const auto* path : { "/api/v1/document", "/api/v1/status", "/metrics" })
                    CHECK(fixture.get(path, it).status == 401);
                CHECK(fixture.submit(document, it).status == 401);
            }
            CHECK(fixture.get("/healthz").status == 200);
            CHECK(fixture.get("/metrics", systemToken).body == "ibisgw_flows_open 3\n");
        }
        SUBCASE("an organization sees only its own services")
        {
            for (const auto* path : { "/api/v1/document", "/api/v1/revisions/1", "/api/v1/revisions/0/diff/1",
                     "/api/v1/upstreams", "/api/v1/flows" }) {
                const auto answer = fixture.get(path, peachtreeToken);
                CHECK(answer.status == 200);
                CHECK(answer.body.find("slotdesk") != std::string::npos);
                CHECK(answer.body.find("atelier") == std::string::npos);
                CHECK(answer.body.find("gravurwerk") == std::string::npos);
            }
            CHECK(fixture.get("/api/v1/flows?caller=1.2.3.4:5&service=127.0.0.1:4430", peachtreeToken).status == 404);
            CHECK(fixture.get("/api/v1/traces/" + std::string(32, 'a'), peachtreeToken).json()["spans"].size() == 1);
            CHECK(fixture.get("/api/v1/revisions", peachtreeToken).json()["revisions"].empty());
            CHECK_FALSE(fixture.get("/api/v1/status", peachtreeToken).json().contains("members"));
            CHECK(fixture.get("/metrics", peachtreeToken).status == 403);
        }
        SUBCASE("an organization changes its own services, and those of other organizations stay")
        {
            auto own = fixture.get("/api/v1/document", peachtreeToken).json()["document"];
            own["services"][0]["cross_zone"] = false;
            CHECK(fixture.submit(own, peachtreeToken).status == 200);
            const auto& submission = fixture.backend.submissions.at(0);
            // The prefix prevents collisions between identifiers of two organizations.
            CHECK(submission.identifier == "peachtree/change-1");
            CHECK(submission.author == "peachtree/ann");
            const auto text = json::parse(submission.text);
            CHECK(text["services"][0]["name"] == "atelier");
            CHECK(text["services"][1]["cross_zone"] == false);
            CHECK(fixture.get("/api/v1/submissions/change-1", peachtreeToken).status == 200);
            CHECK(fixture.get("/api/v1/submissions/first", peachtreeToken).status == 404);
        }
        SUBCASE("an organization cannot change, take over or shadow what belongs to other organizations")
        {
            auto changed = document;
            changed["services"][0]["cross_zone"] = false;
            changed["zones"][0]["region"] = "elsewhere";
            changed["organizations"].push_back({ { "name", "mine" } });
            const auto answer = fixture.submit(changed, peachtreeToken);
            CHECK(answer.status == 403);
            CHECK(pathsIn(answer) == "/document/organizations/2 /document/services/0 /document/zones/0");

            auto takenOver = document;
            takenOver["services"][0]["organization"] = "peachtree";
            CHECK(pathsIn(fixture.submit(takenOver, peachtreeToken))
                == "/document/services/0/addresses/0 /document/services/0/kinds/0/id /document/services/0/name");
            auto given = document;
            given["services"][1]["organization"] = "gravurwerk";
            CHECK(fixture.submit(given, peachtreeToken).status == 403);
            CHECK(fixture.backend.submissions.empty());
        }
        SUBCASE("an organization neither evacuates nor restores a zone with a submission")
        {
            // Guards against a submission of one organization that changes the zones in service for all others.
            auto evacuating = document;
            evacuating["evacuated_zones"] = { "bern" };
            const auto answer = fixture.submit(evacuating, peachtreeToken);
            CHECK(answer.status == 403);
            CHECK(pathsIn(answer) == "/document/evacuated_zones/0");
            fixture.backend.accept(evacuating.dump(), "second");
            auto own = fixture.get("/api/v1/document", peachtreeToken).json()["document"];
            CHECK(own["evacuated_zones"] == json { "bern" });
            own.erase("evacuated_zones");
            CHECK(fixture.submit(own, peachtreeToken, 2).status == 200);
            CHECK(json::parse(fixture.backend.submissions.at(0).text)["evacuated_zones"] == json { "bern" });
        }
        SUBCASE("an organization lists the zones but orders no evacuation")
        {
            CHECK(fixture.get("/api/v1/zones", peachtreeToken).json()["zones"].size() == 1);
            for (const auto* it : { "/api/v1/zones/bern/evacuate", "/api/v1/zones/bern/restore" }) {
                CHECK(fixture.post(it, "{}", peachtreeToken).status == 403);
                CHECK(fixture.post(it, "{}", "").status == 401);
            }
            CHECK(fixture.backend.submissions.empty());
            CHECK(fixture.post("/api/v1/zones/bern/evacuate", "{}", systemToken).status == 200);
            CHECK(fixture.backend.submissions.at(0).author == "root");
        }
        SUBCASE("an organization drains only its own upstreams, and no balancer")
        {
            CHECK(fixture.post("/api/v1/upstreams/10.0.0.1:80/drain", "{}", peachtreeToken).status == 404);
            CHECK(fixture.post("/api/v1/upstreams/10.0.0.2%3A80/drain", "{}", peachtreeToken).status == 200);
            CHECK(fixture.post("/api/v1/balancers/balancer-0/drain", "{}", peachtreeToken).status == 403);
            CHECK(fixture.post("/api/v1/balancers/balancer-0/drain", "{}", systemToken).status == 200);
            CHECK(fixture.backend.drained == std::vector<std::string> { "10.0.0.2:80", "balancer-0" });
        }
    }

    TEST_CASE("an order for a zone starts from the newest accepted revision, not from the one in force here")
    {
        Fixture fixture;
        const auto evacuate = [&] { return fixture.post("/api/v1/zones/bern/evacuate", "{}"); };
        const auto restore = [&] { return fixture.post("/api/v1/zones/bern/restore", "{}"); };
        REQUIRE(evacuate().json()["revision"] == 2);
        fixture.backend.revisionsNotInForce = 1;
        SUBCASE("a restore ends an evacuation that this daemon has not received")
        {
            // Guards against a restore that is confirmed while the zone stays evacuated.
            CHECK(fixture.get("/api/v1/zones").json()["zones"][0]["evacuated"] == false);
            const auto answer = restore().json();
            CHECK(answer["evacuated"] == false);
            CHECK(answer["revision"] == 3);
        }
        SUBCASE("a change of another operator that this daemon has not received is kept")
        {
            // Guards against lost updates.
            auto changed = fixture.get("/api/v1/revisions/2").json()["document"];
            changed["services"][0]["cross_zone"] = false;
            REQUIRE(fixture.submit(changed, "", 2).status == 200);
            CHECK(restore().json()["revision"] == 4);
            const auto newest = fixture.get("/api/v1/revisions/4").json()["document"];
            CHECK(newest["services"][0]["cross_zone"] == false);
            CHECK_FALSE(newest.contains("evacuated_zones"));
        }
        SUBCASE("without an accepted document there is nothing to change")
        {
            fixture.backend.revisions.clear();
            CHECK(evacuate().status == 503);
        }
    }

    TEST_CASE("the API serves the console and the difference that the console shows")
    {
        Fixture fixture(true);
        SUBCASE("its files need no token, and the page links to files that exist")
        {
            const auto page = fixture.get("/console");
            CHECK(page.status == 200);
            for (const auto* it : { "/console/style.css", "/console/forms.js", "/console/calls.js" }) {
                CHECK(page.body.find(it) != std::string::npos);
                CHECK(fixture.get(it).status == 200);
            }
        }
        SUBCASE("a check answers with the changes that a submission would make")
        {
            auto document = fixture.get("/api/v1/document", peachtreeToken).json()["document"];
            const auto check = [&] {
                return fixture.post("/api/v1/check", json { { "document", document } }.dump(), peachtreeToken).json();
            };
            CHECK(check()["patch"] == json::array());
            document["services"][0]["cross_zone"] = false;
            CHECK(check()["patch"][0]["path"] == "/services/0/cross_zone");
            const auto findings = check()["report"]["findings"];
            REQUIRE(findings.size() == 1);
            CHECK(findings[0]["rule"] == "changed_target");
            CHECK(findings[0]["path"] == "/services/0/cross_zone");
        }
        SUBCASE("a check of an organization's document refuses what its submission would refuse")
        {
            // Guards against a check that passes although the address belongs to a service the caller can't see.
            auto document = fixture.get("/api/v1/document", peachtreeToken).json()["document"];
            document["zones"] = json::array();
            const auto check = [&] {
                return fixture.post("/api/v1/check", json { { "document", document } }.dump(), peachtreeToken);
            };
            CHECK(check().json()["report"]["findings"] == json::array());
            document["services"][0]["addresses"] = { "127.0.0.1:4430" };
            CHECK(check().status == 422);
            document["zones"] = { { { "name", "thun" }, { "region", "ch" } } };
            CHECK(check().status == 403);
        }
    }

    TEST_CASE("the status contains the number of daemons with the newest revision and the names of the others")
    {
        Fixture fixture;
        adapters::MemberStatus member { "balancer-0", {}, "bern", true, false, "alive", 7 };
        fixture.backend.systemStatus = { 7, 7, "controller-1", { member, member } };
        fixture.backend.systemStatus.members[1].name = "balancer-1";
        fixture.backend.systemStatus.members[1].revision = 6;
        const auto status = fixture.get("/api/v1/status").json();
        CHECK(status["daemons_in_force"] == 1);
        CHECK(status["behind"] == json { "balancer-1" });
        CHECK(status["leader"] == "controller-1");
    }

    TEST_CASE("the API does not start if unauthorized users could use it or read its tokens")
    {
        adapters::AdminApiOptions options;
        SUBCASE("without tokens on an address other than loopback")
        {
            options.listen = *core::Endpoint::parse("0.0.0.0:0");
            CHECK(startError(options).kind == core::ErrorKind::PermissionDenied);
            options.listen = *core::Endpoint::parse("10.0.0.1:0");
            CHECK(startError(options).message.find("set token_file") != std::string::npos);
        }
        SUBCASE("with a token file that other users can read")
        {
            const support::TemporaryFile file(tokenFileText(), 0640);
            options.listen = *core::Endpoint::parse("127.0.0.1:0");
            options.tokenFile = file.path();
            CHECK(startError(options).message.find("chmod 600") != std::string::npos);
        }
        SUBCASE("with a short token, or with an empty or unknown scope that could be taken for the whole system")
        {
            const support::TemporaryFile file(R"({"tokens": [{"token": "short", "name": "a", "scope": ""}, )"
                                              R"({"token": "x", "name": "b", "scope": "organisation:c"}]})");
            options.listen = *core::Endpoint::parse("127.0.0.1:0");
            options.tokenFile = file.path();
            const auto message = startError(options).message;
            for (const auto* it : { "/tokens/0/token", "/tokens/0/scope", "/tokens/1/scope" })
                CHECK(message.find(it) != std::string::npos);
        }
    }
}
