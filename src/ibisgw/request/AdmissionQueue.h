#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/request/Deadline.h"

#include <deque>
#include <optional>

namespace ibisgw::request {

// Opens of one kind that wait for capacity, oldest first. The queue is limited in count by the kind's queue limit and
// in time by the deadlines: an open whose expected wait, at the measured rate of departures, is too long for its
// deadline is refused at once, while its caller still has time for another attempt. Like CoDel (RFC 8289), the queue is
// controlled by the time that opens spend in it rather than by its length.
class AdmissionQueue {
public:
    // Adds an open. False when it is to be refused: the queue is full, or the expected wait is too long.
    bool push(const core::FlowKey&, const Deadline&, std::size_t countLimit, core::TimePoint now);
    std::optional<core::FlowKey> pop();
    void erase(const core::FlowKey&);
    bool empty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }

    // Records that a flow of this kind has ended. Only the time between departures at full capacity measures the rate
    // at which the upstreams complete flows; below full capacity, departures occur at the rate of arrivals.
    void recordDeparture(bool isAtFullCapacity, core::TimePoint now);
    // Expected time in the queue of an open that is added now; empty without a measured rate of departures.
    std::optional<core::Duration> expectedWait(core::TimePoint now) const;

private:
    std::deque<core::FlowKey> m_flows;
    // Exponentially weighted mean of the time between departures.
    double m_meanDepartureGapSeconds { 0 };
    std::optional<core::TimePoint> m_lastDepartureAt;
};

} // namespace ibisgw::request
