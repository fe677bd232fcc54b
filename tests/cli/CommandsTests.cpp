#include "ibisgw_cli/Commands.h"

#include "adapters/HttpProbe.h"
#include "ibisgw/adapters/AdminApi.h"
#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "support/FakeApiBackend.h"
#include "support/TemporaryFile.h"
#include "support/TemporaryFolder.h"
#include "support/TwoOrganizations.h"

#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <sstream>
#include <thread>

using namespace ibisgw;
using ibisgw_cli::ExitStatus;

namespace {

struct CommandRun {
    ExitStatus status { ExitStatus::Failed };
    std::string out;
    std::string err;
};

CommandRun runCommand(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto status = ibisgw_cli::runCommandLine(arguments, out, err);
    return { status, out.str(), err.str() };
}

// Administration API of a daemon on a loopback port, with a fake backend whose document is at revision 1.
struct ApiServer {
    adapters::EventLoop loop;
    support::FakeApiBackend backend;
    std::unique_ptr<adapters::AdminApi> api;

    explicit ApiServer(const std::string& tokenFile = "")
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
        const auto readResult = configuration::readDocument(support::twoOrganizations());
        backend.accept(configuration::canonicalText(readResult.document.value()), "first");
    }

    // A command blocks while it waits for the answer, so it runs on another thread while this one runs the server.
    CommandRun run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), { "--api", "http://" + api->localEndpoint().toString() });
        CommandRun result;
        std::atomic<bool> isDone { false };
        std::thread thread([&] {
            result = runCommand(arguments);
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
    TEST_CASE("config check reports all problems of a document without a daemon")
    {
        auto document = support::twoOrganizations();
        SUBCASE("a valid document")
        {
            const support::TemporaryFile file(document.dump());
            CHECK(runCommand({ "config", "check", file.path() }).status == ExitStatus::Ok);
        }
        SUBCASE("a document with several problems")
        {
            document["services"][0]["addresses"] = { "nowhere" };
            document["services"][1]["kind"] = 1;
            const support::TemporaryFile file(document.dump());
            const auto run = runCommand({ "config", "check", file.path() });
            CHECK(run.status == ExitStatus::InvalidInput);
            CHECK(run.err.find("/services/0/addresses/0") != std::string::npos);
            CHECK(run.err.find("/services/1/kind") != std::string::npos);
        }
        SUBCASE("a missing file")
        {
            CHECK(runCommand({ "config", "check", "/nonexistent" }).status == ExitStatus::InvalidInput);
        }
    }

    TEST_CASE("config check refuses files that are no documents in one line")
    {
        // Guards against a hang at a pipe, an exhausted stack, and escape sequences that reach the terminal.
        const support::TemporaryFolder folder;
        const auto pipe = folder.path() + "/pipe";
        REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
        const support::TemporaryFile large("");
        std::filesystem::resize_file(large.path(), 50'000'000);
        const support::TemporaryFile deep(std::string(100'000, '[') + std::string(100'000, ']'));
        const support::TemporaryFile escaped("{\"a\x1b[2J\xff\": 1}");
        const support::TemporaryFile truncated(support::twoOrganizations().dump().substr(0, 200));
        const support::TemporaryFile duplicate(R"({"zones": [], "zones": []})");
        const support::TemporaryFile list("[]");
        const support::TemporaryFile valid(support::twoOrganizations().dump());
        for (const auto& it : { folder.path(), pipe, large.path(), deep.path(), escaped.path(), truncated.path(),
                 duplicate.path(), list.path() }) {
            const auto run = runCommand({ "config", "check", it });
            CHECK(run.status == ExitStatus::InvalidInput);
            CHECK(run.out.empty());
            CHECK(std::ranges::count(run.err, '\n') == 1);
            CHECK(run.err.find('\x1b') == std::string::npos);
            const auto compared = runCommand({ "config", "check", valid.path(), "--against", it, "--json" });
            CHECK(compared.status == ExitStatus::InvalidInput);
            CHECK(nlohmann::json::parse(compared.out)["errors"] == 1);
        }
    }

    TEST_CASE("config check compares a document with a file or with the one in force")
    {
        ApiServer server;
        auto document = support::twoOrganizations();
        const support::TemporaryFile old(document.dump());
        CHECK(server.run({ "config", "check", old.path(), "--against", "current" }).status == ExitStatus::Ok);
        document["services"][1]["kinds"][0]["deadline_ms"] = 1;
        document["services"].erase(0);
        const support::TemporaryFile file(document.dump());

        SUBCASE("both list the same findings and end with status 1 for warnings")
        {
            const auto offline = runCommand({ "config", "check", file.path(), "--against", old.path() });
            CHECK(offline.status == ExitStatus::Warnings);
            CHECK(offline.out.find("difference: /services/0: service 'atelier' is removed") != std::string::npos);
            CHECK(server.run({ "config", "check", file.path(), "--against", "current" }).out == offline.out);
        }
        SUBCASE("only the daemon knows the upstreams")
        {
            server.backend.knownUpstreams = { { *core::Endpoint::parse("10.0.0.1:80"), "slotdesk", "bern" } };
            document["services"][0]["drained_upstreams"] = { "10.0.0.1:80", "10.0.0.2:80" };
            const support::TemporaryFile drained(document.dump());
            const auto run = server.run({ "config", "check", drained.path(), "--against", "current", "--json" });
            CHECK(run.out.find("no upstream has the address 10.0.0.2:80") != std::string::npos);
            CHECK(nlohmann::json::parse(run.out)["warnings"] == 2);
        }
        SUBCASE("a check that can't be done doesn't end like one with warnings")
        {
            const auto run
                = runCommand({ "config", "check", old.path(), "--against", "current", "--api", "http://127.0.0.1:1" });
            CHECK(run.status == ExitStatus::InvalidInput);
        }
    }

    TEST_CASE("config submit and config outcome end with the documented exit status")
    {
        ApiServer server;
        const support::TemporaryFile file(support::twoOrganizations().dump());

        SUBCASE(
            "accepted, with a new identifier each time, as a repeated one would make the second change a resubmission")
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
        SUBCASE("unknown outcome, not failed, when no answer arrives, as the change may be in force")
        {
            server.backend.holdsSubmissions = true;
            const auto run = server.run({ "config", "submit", file.path(), "--base", "1", "--submission", "mine" });
            CHECK(run.status == ExitStatus::UnknownOutcome);
            CHECK(run.err.find("config outcome mine") != std::string::npos);
        }
        SUBCASE("failed when no daemon listens, as nothing was sent")
        {
            const auto run
                = runCommand({ "config", "submit", file.path(), "--base", "1", "--api", "http://127.0.0.1:1" });
            CHECK(run.status == ExitStatus::Failed);
        }
        SUBCASE("invalid input without a base revision, as the document could undo a concurrent change")
        {
            CHECK(server.run({ "config", "submit", file.path() }).status == ExitStatus::InvalidInput);
            CHECK(server.backend.submissions.empty());
        }
        SUBCASE("config outcome shows the outcome later")
        {
            CHECK(server.run({ "config", "outcome", "first" }).out == "accepted as revision 1\n");
            CHECK(server.run({ "config", "outcome", "none" }).status == ExitStatus::Failed);
        }
    }

    TEST_CASE("config show prints a valid document; config history and config diff show revisions")
    {
        ApiServer server;
        const auto showRun = server.run({ "config", "show" });
        const support::TemporaryFile file(showRun.out);
        CHECK(runCommand({ "config", "check", file.path() }).status == ExitStatus::Ok);
        CHECK(server.run({ "config", "history" }).out.find("author") != std::string::npos);
        CHECK(server.run({ "config", "diff", "0", "1" }).out.find("/services/-") != std::string::npos);
        CHECK(server.run({ "config", "show", "9" }).status == ExitStatus::Failed);
    }

    TEST_CASE("a token file must be accessible to its owner only, and the scope of the token limits calls")
    {
        const std::string token(40, 't');
        const support::TemporaryFile serverTokens(
            R"({"tokens": [{"token": ")" + token + R"(", "name": "ann", "scope": "organization:peachtree"}]})");
        ApiServer server(serverTokens.path());
        const support::TemporaryFile ownerOnlyFile(token + "\n");
        const support::TemporaryFile sharedFile(token, 0644);
        CHECK(server.run({ "upstreams", "--token-file", ownerOnlyFile.path() }).status == ExitStatus::Ok);
        CHECK(server.run({ "upstreams", "--token-file", sharedFile.path() }).status == ExitStatus::InvalidInput);
        CHECK(server.run({ "upstreams" }).status == ExitStatus::PermissionDenied);
        const auto drain = server.run({ "drain", "balancer", "b", "--token-file", ownerOnlyFile.path() });
        CHECK(drain.status == ExitStatus::PermissionDenied);
        CHECK(drain.err.find("scope \"system\"") != std::string::npos);
    }

    TEST_CASE("operation commands print tables and JSON")
    {
        ApiServer server;
        server.backend.knownUpstreams
            = { { *core::Endpoint::parse("10.0.0.1:80"), "atelier", "bern\x1b[2J", "active", 2, 0.5, 5 } };
        server.backend.systemStatus = { 7, 7, "c1", { { "b0", {}, "bern", true, false, "alive", 6 } } };
        const auto table = server.run({ "upstreams" });
        CHECK(table.out.starts_with("address      service  zone"));
        // Guards against escape sequences in a name from another machine that control the operator's terminal.
        CHECK(table.out.find('\x1b') == std::string::npos);
        const auto listed = nlohmann::json::parse(server.run({ "flows", "--output", "json" }).out);
        CHECK(listed["flows"][0]["open_flows"] == 5);
        CHECK(server.run({ "status" }).out.starts_with("revision 7 is in force on 0 of 1 daemons\n"));
        CHECK(server.run({ "drain", "upstream", "10.0.0.1:80" }).out == "draining 10.0.0.1:80\n");
        CHECK(server.run({ "flows", "--caller", "1.2.3.4:5" }).status == ExitStatus::InvalidInput);
        CHECK(server.run({ "trace", "xyz" }).status == ExitStatus::InvalidInput);
    }

    TEST_CASE("zone evacuate and zone restore change the document once and may be repeated")
    {
        ApiServer server;
        const auto evacuate = [&] { return server.run({ "zone", "evacuate", "bern" }); };
        SUBCASE("evacuate, list and restore")
        {
            CHECK(evacuate().out == "zone bern is evacuated by revision 2\n");
            const auto table = server.run({ "zone", "list" });
            CHECK(table.out
                == "revision 2 is in force on this daemon\nname  region         evacuated\nbern  ch-mittelland  "
                   "true\n");
            const auto listed = nlohmann::json::parse(server.run({ "zone", "list", "--json" }).out);
            CHECK(listed["revision"] == 2);
            CHECK(listed["zones"][0]["evacuated"] == true);
            CHECK(server.run({ "zone", "restore", "bern" }).out == "zone bern is in service by revision 3\n");
            CHECK(server.run({ "zone", "list" }).out.find("false") != std::string::npos);
        }
        SUBCASE("a repeat changes nothing and succeeds")
        {
            // Guards against a revision for each repeat, which would be a conflict for other operators.
            evacuate();
            CHECK(evacuate().out == "zone bern is evacuated by revision 2\n");
            CHECK(server.backend.submissions.size() == 1);
        }
        SUBCASE("after a lost answer the repeat is the same submission")
        {
            // Guards against a change that is accepted twice.
            server.backend.holdsSubmissions = true;
            const auto run = evacuate();
            CHECK(run.status == ExitStatus::UnknownOutcome);
            server.backend.holdsSubmissions = false;
            CHECK(evacuate().status == ExitStatus::Ok);
            CHECK(server.backend.submissions.at(0).identifier == server.backend.submissions.at(1).identifier);
        }
        SUBCASE("the exit statuses are those of a submission")
        {
            using adapters::SubmissionOutcome;
            server.backend.nextAnswer = { SubmissionOutcome::Conflict, 2, {} };
            const auto conflict = evacuate();
            CHECK(conflict.status == ExitStatus::Conflict);
            CHECK(conflict.err.find("repeat the order") != std::string::npos);
            server.backend.nextAnswer = { SubmissionOutcome::Unknown, 0, {} };
            CHECK(evacuate().status == ExitStatus::UnknownOutcome);
            server.backend.nextAnswer = { SubmissionOutcome::Rejected, 0, {} };
            CHECK(evacuate().status == ExitStatus::InvalidInput);
            const auto unknown = server.run({ "zone", "evacuate", "brn" });
            CHECK(unknown.status == ExitStatus::Failed);
            CHECK(unknown.err.find("ibisgw zone list") != std::string::npos);
            CHECK(server.run({ "zone", "evacuate" }).status == ExitStatus::InvalidInput);
        }
    }

    TEST_CASE("each command has help with an example, and errors in usage name an option or --help")
    {
        const auto overview = runCommand({ "--help" });
        CHECK(overview.status == ExitStatus::Ok);
        CHECK(overview.out.find("4 unknown outcome") != std::string::npos);
        for (const std::vector<std::string>& it :
            { std::vector<std::string> { "config", "check" }, { "config", "submit" }, { "config", "outcome" },
                { "config", "show" }, { "config", "history" }, { "config", "diff" }, { "status" }, { "upstreams" },
                { "flows" }, { "drain", "upstream" }, { "drain", "balancer" }, { "zone", "evacuate" },
                { "zone", "restore" }, { "zone", "list" }, { "trace" } }) {
            auto arguments = it;
            arguments.emplace_back("--help");
            CHECK(runCommand(arguments).out.find("Example:\n  ibisgw " + it[0]) != std::string::npos);
        }
        for (const std::vector<std::string>& it :
            { std::vector<std::string> {}, { "config" }, { "fly" }, { "status", "extra" }, { "config", "diff", "1" },
                { "status", "--output", "xml" }, { "status", "--bad" }, { "config", "submit", "f", "--base", "x" } }) {
            const auto run = runCommand(it);
            CHECK(run.status == ExitStatus::InvalidInput);
            CHECK(run.err.find("--") != std::string::npos);
        }
    }
}
