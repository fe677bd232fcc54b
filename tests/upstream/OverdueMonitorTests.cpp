#include "ibisgw/upstream/OverdueMonitor.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::upstream;
using namespace std::chrono_literals;

namespace {

struct Watched {
    InstanceDirectory directory;
    OverdueMonitor monitor { 1s };
    core::TimePoint now { 100s };
    std::uint64_t sequence { 1 };
    bool hearsMajority { true };

    Watched()
    {
        for (std::uint64_t id = 1; id <= 2; ++id)
            directory.apply(reportOf(id), {}, now);
    }
    static InstanceReport reportOf(std::uint64_t id)
    {
        InstanceReport report;
        report.id = { id };
        report.incarnation = 1000;
        report.sequence = 1;
        report.service = "booking";
        report.address = { 0x0a000000 + static_cast<std::uint32_t>(id), 8080 };
        return report;
    }
    // Turns of the controller; upstream 1 reports itself once a second, upstream 2 is silent.
    void run(core::Duration duration)
    {
        const auto end = now + duration;
        for (; now < end; now += 20ms) {
            if ((now - core::TimePoint {}) % 1s == 0ms)
                directory.renew({ 1 }, 1000, ++sequence, now);
            monitor.tick(directory, hearsMajority, now);
        }
    }
    bool isOverdue(std::uint64_t id) const { return directory.find({ id })->isOverdue; }
};

} // namespace

TEST_SUITE("upstream")
{
    // Guards against a machine that was only slow to report, or whose reports waited at a slow controller, being given
    // up.
    TEST_CASE("an upstream counts as overdue when its reports are missing, not when the controller is late")
    {
        Watched it;
        it.run(3400ms);
        CHECK(!it.isOverdue(2));

        SUBCASE("after two and a half missing reports and the search for another controller it is overdue")
        {
            it.run(400ms);
            CHECK(it.isOverdue(2));
            CHECK(!it.isOverdue(1));
        }
        SUBCASE("a controller that has stood still waits until each upstream has reported again")
        {
            it.now += 5s;
            it.run(1400ms);
            CHECK(!it.isOverdue(1));
            CHECK(!it.isOverdue(2));
            it.run(300ms);
            CHECK(!it.isOverdue(1));
            CHECK(it.isOverdue(2));
        }
        SUBCASE("a controller that is always late marks nothing; the others do")
        {
            for (int n = 0; n < 40; ++n)
                it.monitor.tick(it.directory, true, it.now += 300ms);
            CHECK(!it.isOverdue(1));
            CHECK(!it.isOverdue(2));
        }
        SUBCASE("a controller that was cut off from the others waits for what they have heard meanwhile")
        {
            it.hearsMajority = false;
            for (int n = 0; n < 250; ++n)
                it.monitor.tick(it.directory, false, it.now += 20ms);
            CHECK(!it.isOverdue(2));
            it.hearsMajority = true;
            it.run(1400ms);
            CHECK(!it.isOverdue(1));
            CHECK(!it.isOverdue(2));
            it.run(300ms);
            CHECK(it.isOverdue(2));
        }
    }
}
