#pragma once

#include <cstdint>
#include <vector>

namespace support {

// Results of the requests that started in one window of a load replay, or in the whole of it.
struct ReplayCounts {
    std::uint64_t inObjective { 0 };
    // Answered after the latency objective, but before the deadline.
    std::uint64_t late { 0 };
    std::uint64_t notServed { 0 };

    std::uint64_t total() const { return inObjective + late + notServed; }
    // 1 if there are no requests.
    double shareInObjective() const;
    ReplayCounts& operator+=(const ReplayCounts&);
};

struct ReplayReport {
    ReplayCounts all;
    // By start of the request, in windows of 2 s.
    std::vector<ReplayCounts> windows;
    // By start of the request, in windows of 1 s.
    std::vector<ReplayCounts> seconds;
    // Answers within the objective, by the second in which they arrive.
    std::vector<std::uint64_t> goodput;
    // In the order of the pattern.
    std::vector<ReplayCounts> routes;
    // Answers of upstreams that had neither a slot nor room in their queue.
    std::uint64_t shed { 0 };
    // Resets of open flows; with a limited link only.
    std::uint64_t openFlowsReset { 0 };
    // Upstreams that balancers found unresponsive.
    std::uint64_t foundUnresponsive { 0 };
    // Requests executed by each upstream.
    std::vector<std::uint64_t> executed;

    double worstWindow() const;
};

} // namespace support
