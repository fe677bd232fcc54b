#include "ibisgw_cli/Commands.h"

#include "adapters/HttpProbe.h"
#include "ibisgw/adapters/AdminApi.h"
#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "support/FakeApiBackend.h"
#include "support/TemporaryFile.h"
#include "support/TwoOrganizations.h"

#include <doctest/doctest.h>

#include <atomic>
#include <sstream>
#include <thread>

using namespace ibisgw;
using ibisgw_cli::ExitStatus;

namespace {

struct Run {
    ExitStatus status { ExitStatus::Failed };
    std::string out;
    std::string err;
};

Run runAlone(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto status = ibisgw_cli::runCommandLine(arguments, out, err);
    return { status, out.str(), err.str() };
}

struct Server {
    adapters::EventLoop loop;
    support::FakeApiBackend backend;
    std::unique_ptr<adapters::AdminApi> api;

    explicit Server(const std::string& tokenFile = "")
    {
        adapters::AdminApiOptions options;
        options.listen = *core::Endpoint::parse("127.0.0.1:0");
        options.tokenFile = tokenFile;
        options.limits.answerTimeout = std::chrono::milliseconds(20);
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

    // The command blocks on its connection, so it runs on a thread while this one runs the server.
    Run run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), { "--api", "http://" + api->localEndpoint().toString() });
        Run result;
        std::atomic<bool> isDone { false };
        std::thread thread([&] {
            result = runAlone(arguments);
            isDone = true;
        });
        support::runUntil(loop, [&] { return isDone && api->openConnections() == 0; });
        thread.join();
        return result;
    }
};

} // namespace

TEST_SUITE("cli")
{
    TEST_CASE("a document is checked off line, with all its faults")
    {
        auto document = support::twoOrganizations();
        SUBCASE("a valid one")
        {
            const support::TemporaryFile file(document.dump());
            CHECK(runAlone({ "config", "check", file.path() }).status == ExitStatus::Ok);
        }
        SUBCASE("one with faults")
        {
            document["services"][0]["addresses"] = { "nowhere" };
            document["services"][1]["kind"] = 1;
            const support::TemporaryFile file(document.dump());
            const auto run = runAlone({ "config", "check", file.path() });
            CHECK(run.status == ExitStatus::InvalidInput);
            CHECK(run.err.find("/services/0/addresses/0") != std::string::npos);
            CHECK(run.err.find("/services/1/kind") != std::string::npos);
        }
        SUBCASE("one that is missing")
        {
            CHECK(runAlone({ "config", "check", "/nonexistent" }).status == ExitStatus::InvalidInput);
        }
    }

    TEST_CASE("submissions end with the exit status that scripts rely on")
    {
        Server server;
        const support::TemporaryFile file(support::twoOrganizations().dump());

        SUBCASE("accepted, with a new identifier each time, or the second change would be taken for a resubmission")
        {
            CHECK(server.run({ "config", "submit", file.path(), "--base", "1" }).status == ExitStatus::Ok);
            const auto run = server.run({ "config", "submit", file.path(), "--base", "2" });
            CHECK(run.status == ExitStatus::Ok);
            CHECK(run.out.starts_with("submission " + server.backend.submissions.at(1).identifier + "\n"));
            CHECK(server.backend.submissions[0].identifier != server.backend.submissions[1].identifier);
        }
        SUBCASE("conflict")
        {
            CHECK(server.run({ "config", "submit", file.path(), "--base", "0" }).status == ExitStatus::Conflict);
        }
        SUBCASE("unknown, never failed, when no answer comes: the change may be in force")
        {
            server.backend.holdSubmissions = true;
            const auto run = server.run({ "config", "submit", file.path(), "--base", "1", "--submission", "mine" });
            CHECK(run.status == ExitStatus::UnknownOutcome);
            CHECK(run.err.find("config outcome mine") != std::string::npos);
        }
        SUBCASE("failed when no daemon listens, because nothing was sent")
        {
            const auto run
                = runAlone({ "config", "submit", file.path(), "--base", "1", "--api", "http://127.0.0.1:1" });
            CHECK(run.status == ExitStatus::Failed);
        }
        SUBCASE("invalid without a base, or a change of others would be undone")
        {
            CHECK(server.run({ "config", "submit", file.path() }).status == ExitStatus::InvalidInput);
            CHECK(server.backend.submissions.empty());
        }
        SUBCASE("what became of it can be asked later")
        {
            CHECK(server.run({ "config", "outcome", "first" }).out == "accepted as revision 1\n");
            CHECK(server.run({ "config", "outcome", "none" }).status == ExitStatus::Failed);
        }
    }

    TEST_CASE("a document that was shown can be submitted again")
    {
        Server server;
        const auto shown = server.run({ "config", "show" });
        const support::TemporaryFile file(shown.out);
        CHECK(runAlone({ "config", "check", file.path() }).status == ExitStatus::Ok);
        CHECK(server.run({ "config", "history" }).out.find("author") != std::string::npos);
        CHECK(server.run({ "config", "diff", "0", "1" }).out.find("/services/-") != std::string::npos);
        CHECK(server.run({ "config", "show", "9" }).status == ExitStatus::Failed);
    }

    TEST_CASE("tokens come from a file that only the operator can access")
    {
        const std::string token(40, 't');
        const support::TemporaryFile tokens(
            R"({"tokens": [{"token": ")" + token + R"(", "name": "ann", "scope": "organization:peachtree"}]})");
        Server server(tokens.path());
        const support::TemporaryFile own(token + "\n");
        const support::TemporaryFile shared(token, 0644);
        CHECK(server.run({ "upstreams", "--token-file", own.path() }).status == ExitStatus::Ok);
        CHECK(server.run({ "upstreams", "--token-file", shared.path() }).status == ExitStatus::InvalidInput);
        CHECK(server.run({ "upstreams" }).status == ExitStatus::PermissionDenied);
        const auto drain = server.run({ "drain", "balancer", "b", "--token-file", own.path() });
        CHECK(drain.status == ExitStatus::PermissionDenied);
        CHECK(drain.err.find("scope \"system\"") != std::string::npos);
    }

    TEST_CASE("operation commands print tables and JSON")
    {
        Server server;
        server.backend.knownUpstreams
            = { { *core::Endpoint::parse("10.0.0.1:80"), "atelier", "bern\x1b[2J", "active", 2, 0.5, 5 } };
        server.backend.systemStatus = { 7, 7, "c1", { { "b0", {}, "bern", true, false, "alive", 6 } } };
        const auto table = server.run({ "upstreams" });
        CHECK(table.out.starts_with("address      service  zone"));
        // A name from another machine must not control the operator's terminal.
        CHECK(table.out.find('\x1b') == std::string::npos);
        const auto listed = nlohmann::json::parse(server.run({ "flows", "--output", "json" }).out);
        CHECK(listed["flows"][0]["open_flows"] == 5);
        CHECK(server.run({ "status" }).out.starts_with("revision 7 is in force on 0 of 1 daemons\n"));
        CHECK(server.run({ "drain", "upstream", "10.0.0.1:80" }).out == "draining 10.0.0.1:80\n");
        CHECK(server.run({ "flows", "--caller", "1.2.3.4:5" }).status == ExitStatus::InvalidInput);
        CHECK(server.run({ "trace", "xyz" }).status == ExitStatus::InvalidInput);
    }

    TEST_CASE("each command has help with an example, and wrong usage says where to look")
    {
        const auto overview = runAlone({ "--help" });
        CHECK(overview.status == ExitStatus::Ok);
        CHECK(overview.out.find("4 unknown outcome") != std::string::npos);
        for (const std::vector<std::string>& it :
            { std::vector<std::string> { "config", "check" }, { "config", "submit" }, { "config", "outcome" },
                { "config", "show" }, { "config", "history" }, { "config", "diff" }, { "status" }, { "upstreams" },
                { "flows" }, { "drain", "upstream" }, { "drain", "balancer" }, { "trace" } }) {
            auto arguments = it;
            arguments.emplace_back("--help");
            CHECK(runAlone(arguments).out.find("Example:\n  ibisgw " + it[0]) != std::string::npos);
        }
        for (const std::vector<std::string>& it :
            { std::vector<std::string> {}, { "config" }, { "fly" }, { "status", "extra" }, { "config", "diff", "1" },
                { "status", "--output", "xml" }, { "status", "--bad" }, { "config", "submit", "f", "--base", "x" } }) {
            const auto run = runAlone(it);
            CHECK(run.status == ExitStatus::InvalidInput);
            CHECK(run.err.find("--") != std::string::npos);
        }
    }
}
