#include "ibisgw/adapters/TraceIds.h"
#include "ibisgw/adapters/TraceReader.h"
#include "ibisgw/adapters/TraceWriter.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/TemporaryFile.h"

#include <doctest/doctest.h>

#include <set>

using namespace ibisgw;

namespace {

std::unique_ptr<adapters::TraceWriter> openWriter(const std::string& file, double rate, std::uint64_t maxBytes)
{
    return boost::leaf::try_handle_all([&] { return adapters::TraceWriter::open(file, rate, maxBytes); },
        [] { return std::unique_ptr<adapters::TraceWriter>(); });
}

} // namespace

TEST_SUITE("adapters")
{
    TEST_CASE("spans of one trace are collected from the trace files of several daemons")
    {
        const support::TemporaryFile first("");
        const support::TemporaryFile second("");
        const auto trace = adapters::traceIdOfFlow(42);
        const adapters::Span relay { trace, adapters::formatSpanId(1), "", "balancer-0 relay", "atelier", 100, 5 };
        const adapters::Span placement { trace, adapters::formatSpanId(2), relay.spanId, "balancer-1 \"place\"",
            "atelier", 103, 1 };
        auto other = placement;
        other.traceId = adapters::traceIdOfFlow(43);
        {
            const auto writer = openWriter(second.path(), 1.0, 10'000);
            writer->write(placement);
            writer->write(other);
            openWriter(first.path(), 1.0, 10'000)->write(relay);
        }
        CHECK(adapters::readTrace({ second.path(), "/nonexistent", first.path() }, trace)
            == std::vector { relay, placement });

        SUBCASE("an incomplete last line does not prevent reading the other lines")
        {
            std::ofstream(first.path(), std::ios::app) << "{\"trace\":\"" << trace << "\",\"spa";
            CHECK(adapters::readTrace({ first.path() }, trace) == std::vector { relay });
        }
        SUBCASE("a file that is listed twice does not duplicate its spans")
        {
            CHECK(adapters::readTrace({ first.path(), first.path() }, trace).size() == 1);
        }
    }

    TEST_CASE("a trace file never exceeds its size limit, even after restarts of the daemon")
    {
        const support::TemporaryFile file("");
        const adapters::Span span { adapters::traceIdOfFlow(1), adapters::formatSpanId(1), "", "hop", "", 1, 1 };
        for (int restart = 0; restart < 3; ++restart) {
            const auto writer = openWriter(file.path(), 1.0, 500);
            for (int n = 0; n < 100; ++n)
                writer->write(span);
            CHECK(writer->droppedSpans() >= 95);
        }
        std::ifstream in(file.path(), std::ios::ate);
        CHECK(in.tellg() > 300);
        CHECK(in.tellg() <= 500);
    }

    TEST_CASE("flows are sampled at the configured rate, and trace identifiers are unique")
    {
        core::PcgRandomSource random(9);
        std::set<std::string> traces;
        int sampledCount = 0;
        constexpr int flowCount = 100'000;
        for (int n = 0; n < flowCount; ++n) {
            const auto hash = random.next();
            traces.insert(adapters::traceIdOfFlow(hash));
            CHECK_FALSE(adapters::isSampled(hash, 0.0));
            CHECK(adapters::isSampled(hash, 1.0));
            sampledCount += adapters::isSampled(hash, 0.1) ? 1 : 0;
        }
        CHECK(sampledCount == doctest::Approx(0.1 * flowCount).epsilon(0.05));
        CHECK(traces.size() == flowCount);
        CHECK(traces.begin()->size() == 32);
    }
}
