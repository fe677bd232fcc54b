#pragma once

#include "ibisgw/adapters/LatencyHistogram.h"
#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/configuration/ConfigurationRegister.h"
#include "ibisgw/runtime/ControlAnswer.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/ZoneCatalog.h"

#include <vector>

namespace ibisgw::runtime {

// Calls of operators that evacuate zones, at one controller: passes them to the register, and answers each call once
// its outcome is known or its time is over.
class EvacuationCalls {
public:
    EvacuationCalls(configuration::ConfigurationRegister&, ZoneCatalog, EventLog&, adapters::MetricsRegistry&);

    // `redirect` is the answer if this controller cannot take the order because it is not the leader.
    void begin(const configuration::EvacuationOrder&, const ControlAnswer& redirect, core::TimePoint now,
        configuration::RaftOutput&, AnswerHandler);
    // Answers the calls that are due, and logs a set that has come into force. To be called in each iteration of the
    // event loop.
    void complete(core::TimePoint now);
    void updateMetrics();

private:
    struct Call {
        configuration::EvacuationOrder order;
        configuration::OrderTicket ticket;
        core::TimePoint receivedAt;
        AnswerHandler answer;
    };

    bool completeCall(const Call&, core::TimePoint now);
    void logCommitted(core::TimePoint now);
    void finish(const configuration::EvacuationOrder&, core::TimePoint receivedAt, core::TimePoint now,
        const ControlAnswer&, const AnswerHandler&);

    configuration::ConfigurationRegister& m_register;
    ZoneCatalog m_catalog;
    EventLog& m_events;
    adapters::MetricsRegistry& m_metrics;
    // Owned by the metrics registry.
    adapters::LatencyHistogram& m_commitLatency;
    std::vector<Call> m_calls;
    std::uint64_t m_loggedRevision { 0 };
};

} // namespace ibisgw::runtime
