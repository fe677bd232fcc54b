#include "ibisgw_cli/Commands.h"
#include "support/TemporaryFile.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace ibisgw_cli;

namespace {

// Lines as two balancers write them; the time of day of the second one jumps back by an hour.
constexpr auto firstLog
    = R"(  24.2 one {"flow":"f1","level":"warning","message":"request_repeated","process":"one","request":"r1","steady":10.0,"time":1000.0,"upstream":"u1"}
{"level":"warning","message":"upstream_unresponsive","process":"one","steady":10.3,"time":1000.3,"upstream":"u1"}
{"flow":"f1","level":"warning","message":"flow_reset","process":"one","steady":10.4,"time":1000.4,"upstream":"u1"}
{"flow":"f2","level":"warning","message":"flow_reset","process":"one","steady":10.5,"time":1000.5,"upstream":"u2"}
a line of another program
)";
constexpr auto secondLog
    = R"({"flow":"f1","level":"info","message":"flow_placed","process":"two","steady":50.0,"time":999.0,"upstream":"u1"}
{"flow":"f1","level":"info","message":"request_forwarded","process":"two","request":"r1","steady":50.5,"time":-2600.5,"upstream":"u1"}
)";

struct CommandRun {
    ExitStatus status;
    std::string out;
    std::string err;
};

CommandRun runCommand(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto status = runCommandLine(arguments, out, err);
    return { status, out.str(), err.str() };
}

} // namespace

TEST_SUITE("cli")
{
    TEST_CASE("explain selects the log lines of a request, the newest first")
    {
        const support::TemporaryFile first(firstLog);
        const support::TemporaryFile second(secondLog);

        SUBCASE("a request that only a batch line names is found, with the lines of its flow and upstream")
        {
            const support::TemporaryFile batch(
                R"({"entries":[[7.0,"","f9","u9"],[7.25,"r9","f9","u9"],[7.3,"r8","f8","u8"]],"level":"info",)"
                R"("message":"requests_forwarded","process":"one","steady":7.5,"time":997.5,"version":4})"
                "\n"
                R"({"message":"upstream_gone","process":"one","steady":7.6,"time":997.6,"upstream":"u9"})"
                "\n");
            const auto result = runCommand({ "explain", "r9", batch.path(), first.path() });
            CHECK(result.status == ExitStatus::Ok);
            const auto gone = result.out.find("upstream_gone");
            const auto forwarded = result.out.find("997.250000  one  request_forwarded");
            const auto placed = result.out.find("997.000000  one  flow_placed");
            REQUIRE(placed != std::string::npos);
            CHECK(gone < forwarded);
            CHECK(forwarded < placed);
            CHECK(result.out.find("r8") == std::string::npos);
        }
        SUBCASE("the extra attempt of a request is named, with the lines about its second upstream")
        {
            // Guards against an answer of another upstream than the flow's that operators can't explain.
            const support::TemporaryFile hedged(
                R"({"flow":"f5","message":"request_hedged","process":"one","request":"f5#1","second_upstream":"u7",)"
                R"("steady":7.5,"time":997.5,"upstream":"u6"})"
                "\n"
                R"({"message":"upstream_gone","process":"one","steady":7.6,"time":997.6,"upstream":"u7"})"
                "\n");
            const auto result = runCommand({ "explain", "f5", hedged.path(), first.path() });
            CHECK(result.status == ExitStatus::Ok);
            CHECK(result.out.find(R"("second_upstream":"u7")") != std::string::npos);
            CHECK(result.out.find("upstream_gone") != std::string::npos);
        }
        SUBCASE("lines stay in order when a VM restarts with another value of the steady clock")
        {
            // Guards against lines after a restart that are dated hours too late, as happened in a simulated day with a
            // power loss of all machines.
            const support::TemporaryFile restarted(
                R"({"flow":"f1","message":"request_forwarded","process":"three","request":"r1","steady":5.0,"time":1000.6})"
                "\n"
                R"({"message":"starting","process":"three","steady":90000.0,"time":1000.7})"
                "\n"
                R"({"flow":"f1","message":"flow_refused","process":"three","steady":90000.1,"time":1000.8})"
                "\n");
            const auto result = runCommand({ "explain", "r1", restarted.path() });
            CHECK(result.out.find("1000.800000  three  flow_refused") != std::string::npos);
        }
        SUBCASE("the lines of its flow and upstream are merged from all logs, the newest first")
        {
            const auto result = runCommand({ "explain", "r1", first.path(), second.path() });
            CHECK(result.status == ExitStatus::Ok);
            const auto reset = result.out.find("flow_reset");
            const auto unresponsive = result.out.find("upstream_unresponsive");
            const auto forwarded = result.out.find("request_forwarded");
            const auto placed = result.out.find("flow_placed");
            REQUIRE(reset != std::string::npos);
            CHECK(reset < unresponsive);
            CHECK(unresponsive < forwarded);
            CHECK(forwarded < placed);
            CHECK(result.out.find("f2") == std::string::npos);
        }
        SUBCASE("an identifier that no line names ends with status 1 and a hint at omitted lines")
        {
            const auto result = runCommand({ "explain", "r9", first.path() });
            CHECK(result.status == ExitStatus::Failed);
            CHECK(result.err.find("left_out_before") != std::string::npos);
        }
        SUBCASE("a folder instead of a log file ends with status 2")
        {
            CHECK(runCommand({ "explain", "r1", "/" }).status == ExitStatus::InvalidInput);
        }
    }
}
