#include "ibisgw/adapters/DepartureLog.h"
#include "support/InstanceReports.h"
#include "support/TemporaryFolder.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

using namespace ibisgw;
using namespace ibisgw::adapters;

namespace {

upstream::InstanceReport leaving(std::uint64_t id, upstream::InstanceState state)
{
    return support::makeReport(id, 7, state);
}

} // namespace

TEST_SUITE("adapters")
{
    // Guards against lost departures: after a power loss of all controllers, flows would again be placed on upstreams
    // that have left.
    TEST_CASE("departures are durable after append")
    {
        const support::TemporaryFolder folder;
        const auto file = folder.path() + "/departures";
        DepartureLog log(folder.path());
        CHECK(log.load().empty());
        const upstream::InstanceReport first[] { leaving(1, upstream::InstanceState::Draining),
            leaving(2, upstream::InstanceState::Gone) };
        const upstream::InstanceReport second[] { leaving(3, upstream::InstanceState::Gone) };
        REQUIRE(log.append(first));
        REQUIRE(log.append(second));

        SUBCASE("another process loads them in order")
        {
            const auto loaded = DepartureLog(folder.path()).load();
            REQUIRE(loaded.size() == 3);
            CHECK(loaded[0].state == upstream::InstanceState::Draining);
            CHECK(loaded[1].id.value == 2);
            CHECK(loaded[2].state == upstream::InstanceState::Gone);
            CHECK(loaded[2].incarnation == 1000);
        }
        SUBCASE("an interrupted write at the end does not affect earlier records")
        {
            std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
            CHECK(DepartureLog(folder.path()).load().size() == 2);
        }
        // Guards against departures that were confirmed and are lost with the next power failure, because they stand
        // behind the rest of a write that a full disk or an earlier power failure has interrupted.
        SUBCASE("departures after an interrupted write are kept")
        {
            std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
            const upstream::InstanceReport third[] { leaving(4, upstream::InstanceState::Gone) };
            REQUIRE(DepartureLog(folder.path()).append(third));
            const auto loaded = DepartureLog(folder.path()).load();
            REQUIRE(loaded.size() == 3);
            CHECK(loaded[2].id.value == 4);
        }
        SUBCASE("clear removes them, and later departures are kept")
        {
            REQUIRE(log.clear());
            CHECK(log.load().empty());
            REQUIRE(log.append(second));
            CHECK(DepartureLog(folder.path()).load().size() == 1);
        }
        SUBCASE("append fails if the file cannot be written")
        {
            DepartureLog lost(folder.path() + "/missing");
            CHECK(!lost.append(second));
            CHECK(lost.clear());
        }
    }
}
