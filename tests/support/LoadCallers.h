#pragma once

#include "support/BalancerGroup.h"

#include <unordered_map>
#include <vector>

namespace support {

struct LoadCallersOptions {
    ibisgw::core::Endpoint service;
    ibisgw::core::KindId kind { 2 };
    std::uint32_t deadlineMs { 2000 };
    ibisgw::core::Duration retransmitAfter { std::chrono::milliseconds(300) };
};

// Counts of the requests that started in one second of the run.
struct LoadSecond {
    std::uint64_t started { 0 };
    // Answered within the deadline.
    std::uint64_t answeredInTime { 0 };
    std::uint64_t refused { 0 };
};

// Simulated callers for load tests. Requests arrive as a Poisson process, each on a flow of its own; answers within the
// deadline are counted. A refused request is not retried, so that the offered load is the one that the run sets.
class LoadCallers {
public:
    LoadCallers(LoadCallersOptions, BalancerGroup&, ibisgw::core::RandomSource&);

    // Schedules Poisson arrivals from now on for the duration.
    void offer(double requestsPerSecond, ibisgw::core::Duration);
    // Counts for each second since the construction.
    const std::vector<LoadSecond>& seconds() const { return m_seconds; }
    // Number of answers within the deadline, by the second in which they arrived.
    const std::vector<std::uint64_t>& answersBySecond() const { return m_answers; }

private:
    struct Flow {
        ibisgw::core::TimePoint startedAt;
        bool isEstablished { false };
        ibisgw::packet::FlowToken token;
    };

    void start();
    void handlePacket(const ibisgw::packet::Packet&);
    void send(const ibisgw::core::FlowKey&, const Flow&, ibisgw::packet::PacketType);
    void scheduleRetransmission(const ibisgw::core::FlowKey&);
    std::size_t secondOf(ibisgw::core::TimePoint) const;

    LoadCallersOptions m_options;
    BalancerGroup& m_group;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    ibisgw::core::TimePoint m_startedAt;
    std::uint32_t m_nextAddress;
    std::unordered_map<ibisgw::core::FlowKey, Flow> m_flows;
    std::vector<LoadSecond> m_seconds;
    std::vector<std::uint64_t> m_answers;
};

} // namespace support
