#include "ibisgw/upstream/FailureMarker.h"
#include "support/InstanceReports.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::upstream;
using namespace std::chrono_literals;

namespace {

constexpr core::Incarnation incarnation = 1000;
constexpr std::uint64_t serviceSize = 12;
constexpr core::NodeId firstBalancer { 1 };
constexpr core::NodeId secondBalancer { 2 };

// A service of twelve upstreams, in virtual time.
struct MarkedService {
    InstanceDirectory directory;
    FailureMarker marker;
    core::TimePoint now { 100s };

    MarkedService()
    {
        for (std::uint64_t id = 1; id <= serviceSize; ++id) {
            auto report = support::makeReport(id);
            report.incarnation = incarnation;
            directory.apply(report, {}, now);
        }
    }
    bool note(std::uint64_t id, core::NodeId reporter)
    {
        return marker.note(directory, { { id }, incarnation }, reporter, now);
    }
};

} // namespace

TEST_SUITE("upstream")
{
    // Guards against one balancer that loses its answers and takes healthy upstreams out of use everywhere.
    TEST_CASE_FIXTURE(MarkedService, "an upstream is marked as failing only when two balancers report it")
    {
        CHECK(!note(1, firstBalancer));
        CHECK(!note(1, firstBalancer));
        CHECK(marker.marks(now).empty());
        CHECK(note(1, secondBalancer));
        CHECK(marker.marks(now).size() == 1);

        SUBCASE("and no longer once the reports cease")
        {
            now += 4s;
            CHECK(marker.marks(now).empty());
            // Longer the next time, so that callers lose fewer requests to trials of an upstream that keeps failing.
            note(1, firstBalancer);
            CHECK(note(1, secondBalancer));
            now += 4s;
            CHECK(marker.marks(now).size() == 1);
        }
        SUBCASE("and not as its next incarnation")
        {
            auto report = directory.find({ 1 })->report;
            ++report.incarnation;
            directory.apply(report, {}, now);
            CHECK(!note(1, firstBalancer));
            CHECK(!note(1, secondBalancer));
        }
    }

    // Guards against an error of many balancers that leaves a service without upstreams.
    TEST_CASE_FIXTURE(MarkedService, "at most a third of a service is marked as failing")
    {
        for (std::uint64_t id = 1; id <= serviceSize; ++id) {
            note(id, firstBalancer);
            note(id, secondBalancer);
        }
        CHECK(marker.marks(now).size() == serviceSize / 3);
    }
}
