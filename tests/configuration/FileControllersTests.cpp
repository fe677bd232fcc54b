#include "support/FileControllers.h"

#include <doctest/doctest.h>
#include <filesystem>

using namespace ibisgw;
using namespace ibisgw::configuration;

namespace {

bool allControllersHave(support::FileControllers& controllers, core::Revision revision)
{
    for (support::FileControllers::Machine machine = 1; machine <= controllers.count; ++machine) {
        if (controllers.service(machine).newestCommitted().revision != revision)
            return false;
    }
    return true;
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("three controllers with data folders keep accepted revisions")
    {
        support::FileControllers controllers(5);
        for (support::FileControllers::Machine machine = 1; machine <= controllers.count; ++machine)
            REQUIRE(controllers.start(machine));
        for (std::uint64_t n = 1; n <= 30; ++n)
            REQUIRE(controllers.change(support::sampleDocument(n)));
        REQUIRE(controllers.runUntil([&] { return allControllersHave(controllers, 30); }));

        SUBCASE("when all controllers restart")
        {
            for (support::FileControllers::Machine machine = 1; machine <= controllers.count; ++machine)
                controllers.stop(machine);
            for (support::FileControllers::Machine machine = 1; machine <= controllers.count; ++machine)
                REQUIRE(controllers.start(machine));
        }
        SUBCASE("when the leader loses its disk and rejoins")
        {
            const auto lost = controllers.leader();
            controllers.stop(lost);
            std::filesystem::remove_all(controllers.folder(lost));
            REQUIRE(controllers.start(lost));
        }
        REQUIRE(controllers.change(support::sampleDocument(31)));
        CHECK(controllers.runUntil([&] { return allControllersHave(controllers, 31); }));
        CHECK(controllers.service(1).findRevision(3)->document == support::sampleDocument(3));
        CHECK(controllers.runUntil(
            [&] { return controllers.service(controllers.leader()).status().voters.size() == 3; }));
    }
}
