#pragma once

#include "ibisgw/core/PcgRandomSource.h"
#include "support/FakeCallers.h"

namespace bench {

// Which balancers a scenario runs.
enum class PlacementWay {
    Ibisgw,
    Hash,
    Local,
};

struct PlacementScenarioOptions {
    PlacementWay way { PlacementWay::Ibisgw };
    std::uint64_t seed { 1 };
    double loss { 0 };
    // Index of an upstream that reports no load and is ten times slower.
    std::optional<unsigned> misleadingUpstream;
    // Join-Idle-Queue instead of the selection that balancers use by default.
    bool joinIdleQueue { false };
    std::vector<ibisgw::core::ZoneName> zones { "a" };
};

// 9 balancers, 14 upstreams with 2 slots, one service with streams and short requests.
class PlacementScenario {
public:
    static constexpr unsigned upstreamCount = 14;
    static constexpr unsigned slotsPerUpstream = 2;
    static constexpr double meanServiceSeconds = 0.1;
    static constexpr unsigned flowCount = 28'000;

    explicit PlacementScenario(PlacementScenarioOptions);
    PlacementScenario(const PlacementScenario&) = delete;
    PlacementScenario& operator=(const PlacementScenario&) = delete;
    ~PlacementScenario();

    // Half of the flows send every minute, half every 10 minutes; half of each echo tokens.
    void openFlows(unsigned count, ibisgw::core::Duration spread);
    // Replaces flows at random: closes and opens this many a second.
    void replaceFlows(double flowsPerSecond, ibisgw::core::Duration duration);
    void startRequests(double load, ibisgw::core::Duration duration);
    void runFor(ibisgw::core::Duration duration) { m_queue.runFor(duration); }
    // Calls the function at each step of the given length.
    void sample(ibisgw::core::Duration duration, ibisgw::core::Duration step, const std::function<void()>&);

    double worstFlowImbalance();

    support::MessageQueue& queue() { return m_queue; }
    support::BalancerGroup& group() { return m_group; }
    support::FakeCallers& callers() { return m_callers; }
    support::FakeUpstream& upstream(unsigned index) { return *m_group.upstreams()[index]; }
    ibisgw::core::RandomSource& random() { return m_random; }

private:
    void openNext();

    ibisgw::core::PcgRandomSource m_random;
    support::MessageQueue m_queue;
    support::BalancerGroup m_group;
    support::FakeCallers m_callers;
    std::vector<ibisgw::core::FlowKey> m_keys;
    unsigned m_opened { 0 };
};

} // namespace bench
