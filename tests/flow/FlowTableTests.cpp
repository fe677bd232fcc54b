#include "ibisgw/flow/FlowTable.h"

#include "ibisgw/core/PcgRandomSource.h"

#include <doctest/doctest.h>
#include <map>

using namespace ibisgw;
using namespace std::chrono_literals;
using flow::FlowEntry;
using flow::FlowTable;

namespace {

const core::TimePoint start { 24h };

core::FlowKey flowNumber(std::uint32_t n)
{
    return { { 0x0b000001 + n, static_cast<std::uint16_t>(n * 7) }, { 0xc0000201, 443 } };
}

core::UpstreamId upstreamNumber(std::uint32_t n)
{
    return core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 });
}

} // namespace

TEST_SUITE("flow")
{
    // Guards against entries that are lost when a removal shifts other entries or a segment grows.
    TEST_CASE("the flow table has the same entries as a reference map")
    {
        core::PcgRandomSource random(1);
        FlowTable table(100'000);
        std::map<std::uint32_t, core::UpstreamId> reference;
        for (int n = 0; n < 100'000; ++n) {
            const auto number = static_cast<std::uint32_t>(random.below(20'000));
            if (random.chance(0.6)) {
                const auto upstream = upstreamNumber(static_cast<std::uint32_t>(random.below(14)));
                table.insert(flowNumber(number), upstream, start);
                reference[number] = upstream;
            } else {
                REQUIRE(table.erase(flowNumber(number)) == (reference.erase(number) == 1));
            }
        }
        REQUIRE(table.size() == reference.size());
        std::size_t wrong = 0;
        for (std::uint32_t n = 0; n < 20'000; ++n) {
            const auto* entry = table.find(flowNumber(n), start);
            const auto it = reference.find(n);
            wrong += (entry != nullptr) != (it != reference.end()) || (entry && entry->upstream() != it->second);
        }
        CHECK(wrong == 0);

        // Guards against a scan that skips flows or never ends.
        SUBCASE("a scan in parts visits and removes every flow")
        {
            for (std::size_t n = 0; n < 1'000 && table.size() > 0; ++n)
                table.scan(table.bucketCount() / 100 + 1, [](FlowEntry&) { return FlowTable::Visit::Erase; });
            CHECK(table.size() == 0);
        }
    }

    // Guards against a full table that rejects new flows, or evicts a flow with an unanswered request of unknown
    // outcome.
    TEST_CASE("a full table evicts idle flows and keeps flows with unanswered requests")
    {
        FlowTable table(100);
        for (std::uint32_t n = 0; n < 100; ++n)
            table.insert(flowNumber(n), upstreamNumber(n % 14), start + 1s * n)->set(FlowEntry::Unanswered, n < 10);
        const auto now = start + 200s;
        SUBCASE("an idle flow without an unanswered request is evicted")
        {
            REQUIRE(table.insert(flowNumber(1000), upstreamNumber(0), now));
            CHECK(table.size() == 100);
            // Eviction compares a sample of at least 64 flows, so one of the oldest 37 is evicted.
            std::size_t old = 0;
            for (std::uint32_t n = 10; n < 47; ++n)
                old += table.find(flowNumber(n), now) != nullptr;
            CHECK(old == 36);
        }
        SUBCASE("flows with unanswered requests stay when many new flows are inserted")
        {
            for (std::uint32_t n = 1000; n < 2000; ++n)
                REQUIRE(table.insert(flowNumber(n), upstreamNumber(0), now + 1s * n));
            for (std::uint32_t n = 0; n < 10; ++n)
                CHECK(table.find(flowNumber(n), now));
        }
        SUBCASE("a table full of flows with unanswered requests rejects new flows")
        {
            for (std::uint32_t n = 10; n < 100; ++n)
                table.find(flowNumber(n), now)->set(FlowEntry::Unanswered, true);
            CHECK(!table.insert(flowNumber(1000), upstreamNumber(0), now));
        }
    }
}
