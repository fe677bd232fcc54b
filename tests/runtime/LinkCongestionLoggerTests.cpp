#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/LinkCongestionLogger.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

TEST_SUITE("runtime")
{
    // Guards against a line for each tick of a congestion, and against one that has no end in the log.
    TEST_CASE("the beginning and the end of a congestion are logged once")
    {
        direct::LinkCongestion congestion;
        EventLog events(10);
        LinkCongestionLogger logger;
        core::TimePoint now { 100s };
        logger.log(congestion, events, now);
        CHECK(events.count(Event::LinkClear) == 0);
        congestion.noteDrop(now);
        logger.log(congestion, events, now);
        logger.log(congestion, events, now += 25ms);
        CHECK(events.count(Event::LinkCongested) == 1);
        CHECK(events.count(Event::LinkClear) == 0);
        logger.log(congestion, events, now += 1s);
        logger.log(congestion, events, now += 25ms);
        CHECK(events.count(Event::LinkCongested) == 1);
        CHECK(events.count(Event::LinkClear) == 1);
    }
}
