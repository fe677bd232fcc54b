#include "ibisgw/adapters/BoundedWriter.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/RequestBatch.h"

#include <boost/log/core.hpp>
#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <unistd.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint start { 100s };

// Disables logging during a test.
struct QuietLog {
    QuietLog() { boost::log::core::get()->set_logging_enabled(false); }
    ~QuietLog() { boost::log::core::get()->set_logging_enabled(true); }
    QuietLog(const QuietLog&) = delete;
    QuietLog& operator=(const QuietLog&) = delete;
};

} // namespace

TEST_SUITE("runtime")
{
    // Guards against failed requests that appear in no log: the balancer counts a forwarded request as a success and
    // only samples it, but the upstream may still fail it.
    TEST_CASE("forwarded requests are logged in batches")
    {
        const QuietLog quiet;
        EventLog log(10);
        RequestBatch batch(100);
        const core::FlowKey flow { { 0x64400001, 1000 }, { 0xc6120001, 8080 } };
        batch.add(flow, "r1", { 7 }, start);

        SUBCASE("a batch is written as one line, and an empty batch as none")
        {
            batch.flush(log, 3, start + 600ms);
            CHECK(log.count(Event::RequestsForwarded) == 1);
            batch.flush(log, 3, start + 1200ms);
            CHECK(log.count(Event::RequestsForwarded) == 1);
        }
        SUBCASE("batches are written at most every 500 ms")
        {
            batch.flush(log, 3, start + 600ms);
            batch.add(flow, "r2", { 7 }, start + 700ms);
            batch.flush(log, 3, start + 1000ms);
            CHECK(log.count(Event::RequestsForwarded) == 1);
            batch.flush(log, 3, start + 1100ms);
            CHECK(log.count(Event::RequestsForwarded) == 2);
        }
        SUBCASE("entries beyond the limit are dropped and counted")
        {
            for (int n = 0; n < 1000; ++n)
                batch.add(flow, "r", { 7 }, start);
            CHECK(batch.droppedCount() == 951);
            batch.flush(log, 3, start + 600ms);
            batch.add(flow, "r", { 7 }, start + 700ms);
            CHECK(batch.droppedCount() == 951);
        }
    }

    // Guards against a burst of one event that fills the log or suppresses other events.
    TEST_CASE("a burst of refusals")
    {
        const QuietLog quiet;
        EventLog log(10);
        int made = 0;
        for (int n = 0; n < 100'000; ++n)
            log.record(Event::FlowRefused, start + n * 10us, [&made] {
                ++made;
                return nlohmann::json::object();
            });
        SUBCASE("writes a bounded number of lines and counts all events")
        {
            CHECK(made <= 21);
            CHECK(log.count(Event::FlowRefused) == 100'000);
            CHECK(log.suppressedCount() == static_cast<std::uint64_t>(100'000 - made));
        }
        SUBCASE("does not suppress another event")
        {
            bool isWritten = false;
            log.record(Event::LeaderChanged, start + 1s, [&isWritten] {
                isWritten = true;
                return nlohmann::json::object();
            });
            CHECK(isWritten);
        }
        SUBCASE("leaves successes a tenth of the rate of failures")
        {
            int successes = 0;
            for (int n = 0; n < 1000; ++n)
                log.record(Event::FlowPlaced, start + n * 1ms, [&successes] {
                    ++successes;
                    return nlohmann::json::object();
                });
            CHECK(successes <= 2);
        }
    }

    // Guards against a process that blocks on standard output because the reader of its log does not read.
    TEST_CASE("a log reader that stops reading")
    {
        int ends[2];
        REQUIRE(::pipe(ends) == 0);
        adapters::BoundedWriter writer(ends[1], 8192);
        const std::string line(999, 'x');
        for (int n = 0; n < 1000; ++n)
            writer.write(line);
        SUBCASE("does not block the process, and dropped lines are counted")
        {
            CHECK(writer.droppedLines() > 900);
            CHECK(writer.bufferedBytes() <= 8192);
        }
        SUBCASE("receives whole lines once it reads again")
        {
            std::string received;
            std::vector<char> buf(65536);
            for (int n = 0; n < 40 && (n == 0 || writer.bufferedBytes() > 0); ++n) {
                const auto size = ::read(ends[0], buf.data(), buf.size());
                REQUIRE(size > 0);
                received.append(buf.data(), static_cast<std::size_t>(size));
                writer.flush();
            }
            CHECK(received.substr(0, 1000) == line + "\n");
        }
        ::close(ends[0]);
        ::close(ends[1]);
    }

    TEST_CASE("docs/OPERATIONS.md describes exactly the events in the code")
    {
        std::ifstream in(std::string(IBISGW_SOURCE_DIR) + "/docs/OPERATIONS.md");
        const std::string page { std::istreambuf_iterator<char>(in), {} };
        REQUIRE_FALSE(page.empty());
        std::set<std::string> described;
        const std::regex row(R"(\n\| `([a-z_]+)` \|)");
        const auto section = page.substr(page.find("## Events"));
        const auto table = section.substr(0, section.find("\n## ", 1));
        for (std::sregex_iterator it(table.begin(), table.end(), row), end; it != end; ++it)
            described.insert((*it)[1].str());
        std::set<std::string> written;
        for (const auto& [event, name] : allEvents())
            written.insert(std::string(name));
        for (const auto& it : written)
            CHECK_MESSAGE(described.contains(it), it << " is not described in docs/OPERATIONS.md");
        for (const auto& it : described)
            CHECK_MESSAGE(written.contains(it), it << " is described but not an event in the code");
    }
}
