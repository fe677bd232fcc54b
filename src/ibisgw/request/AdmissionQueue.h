#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/request/Deadline.h"

#include <deque>
#include <optional>

namespace ibisgw::request {

// Opens of one kind that wait for capacity, oldest first. Bounded in count by the kind's queue limit and in time by
// the deadlines: an open that would wait longer than its deadline allows, at the measured rate of
// departures, is refused at once instead of late (the caller can still go elsewhere; sojourn time instead of
// length as the measure of a queue follows CoDel, RFC 8289).
class AdmissionQueue {
public:
    // False when the open is to be refused.
    bool push(const core::FlowKey&, const Deadline&, std::size_t countLimit, core::TimePoint now);
    std::optional<core::FlowKey> pop();
    void erase(const core::FlowKey&);
    bool empty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }

    // A flow of this kind ended. Only departures at full capacity measure what the upstreams can complete; the others
    // follow the arrivals.
    void recordDeparture(bool atFullCapacity, core::TimePoint now);
    // Time until an open that joins now leaves the queue; empty without a measured rate.
    std::optional<core::Duration> expectedWait(core::TimePoint now) const;

private:
    std::deque<core::FlowKey> m_flows;
    // Exponentially weighted mean of the time between departures.
    double m_gapSeconds { 0 };
    std::optional<core::TimePoint> m_lastDepartureAt;
};

} // namespace ibisgw::request
