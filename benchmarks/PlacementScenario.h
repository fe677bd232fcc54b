#pragma once

#include "ibisgw/core/PcgRandomSource.h"
#include "support/FakeCallers.h"

namespace bench {

// Placement algorithm of the balancers in a scenario; Hash and Local are the baselines.
enum class PlacementAlgorithm {
    Ibisgw,
    Hash,
    Local,
};

struct PlacementScenarioOptions {
    PlacementAlgorithm algorithm { PlacementAlgorithm::Ibisgw };
    std::uint64_t seed { 1 };
    // Probability that a message is lost.
    double loss { 0 };
    // Index of an upstream that reports no load and is ten times slower.
    std::optional<unsigned> misleadingUpstream;
    // Join-Idle-Queue instead of the default selection of upstreams.
    bool usesJoinIdleQueue { false };
    std::vector<ibisgw::core::ZoneName> zones { "a" };
};

// Simulation in virtual time: 9 balancers, 14 upstreams with 2 slots, and one service with streams and short requests.
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

    // Opens flows spread evenly over the time. Half of the flows send every minute, half every 10 minutes; half of each
    // echo their flow token.
    void openFlows(unsigned count, ibisgw::core::Duration spread);
    // Closes flows at random and opens a new one for each, at this rate.
    void replaceFlows(double flowsPerSecond, ibisgw::core::Duration duration);
    // Starts requests at a rate that uses this share of the slots on average.
    void startRequests(double load, ibisgw::core::Duration duration);
    void runFor(ibisgw::core::Duration duration) { m_queue.runFor(duration); }
    // Calls the function at each step of the given length.
    void sample(ibisgw::core::Duration duration, ibisgw::core::Duration step, const std::function<void()>&);

    // Most flows on one upstream, relative to the mean.
    double worstFlowImbalance();

    support::MessageQueue& queue() { return m_queue; }
    support::BalancerGroup& group() { return m_group; }
    support::FakeCallers& callers() { return m_callers; }
    support::FakeUpstream& upstream(unsigned index) { return *m_group.upstreams()[index]; }
    ibisgw::core::RandomSource& random() { return m_random; }

private:
    void openNextFlow();

    ibisgw::core::PcgRandomSource m_random;
    support::MessageQueue m_queue;
    support::BalancerGroup m_group;
    support::FakeCallers m_callers;
    std::vector<ibisgw::core::FlowKey> m_openFlows;
    unsigned m_openedFlowCount { 0 };
};

} // namespace bench
