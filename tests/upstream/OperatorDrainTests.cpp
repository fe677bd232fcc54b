#include "ibisgw/upstream/UpstreamRegistry.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;

TEST_SUITE("upstream")
{
    // Guards against new work on an upstream that an operator drains while its announcements say that it is ready.
    TEST_CASE("an upstream that operators drain gets no new work")
    {
        upstream::UpstreamRegistry registry;
        const core::TimePoint now { 1h };
        const core::UpstreamId first { 1 };
        const core::UpstreamId second { 2 };
        registry.apply({ first, "slotdesk", "a", 1, 1 }, now);
        registry.apply({ second, "slotdesk", "a", 1, 1 }, now);
        REQUIRE(registry.eligible("slotdesk").size() == 2);
        const auto changes = registry.changeCount();

        registry.setDrained({ first });
        CHECK(registry.eligible("slotdesk") == std::vector { second });
        CHECK(registry.newWorkShare(first, now) == 0);
        CHECK(registry.find(first) != nullptr);
        CHECK(registry.changeCount() > changes);

        SUBCASE("even after another announcement")
        {
            registry.apply({ first, "slotdesk", "a", 2, 1 }, now + 1s);
            CHECK(registry.eligible("slotdesk") == std::vector { second });
        }
        SUBCASE("until the drain is withdrawn")
        {
            registry.setDrained({});
            CHECK(registry.eligible("slotdesk").size() == 2);
        }
    }
}
