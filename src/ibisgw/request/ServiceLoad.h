#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/request/AdmissionQueue.h"
#include "ibisgw/request/ConcurrencyLimiter.h"
#include "ibisgw/request/RetryBudget.h"

#include <map>

namespace ibisgw::request {

enum class Admission : std::uint8_t {
    Start,
    Wait,
    Refuse,
};

// Admission of the opens of one service at one balancer: concurrency limits, queues and the retry budget.
//
// Flows of kinds with placement `load` occupy slots of upstreams: they count against the kind's limit and against the
// adaptive limit of the service until they end. A stream occupies no slot: it counts against the kind's limit only
// until it is established.
class ServiceLoad {
public:
    // Counts the open as started, queues it or refuses it.
    Admission admit(const core::FlowKey&, const configuration::RequestKind&, const Deadline&, core::TimePoint now);
    // Removes the next flow from the queues and counts it as started; empty when there is none or no capacity. Among
    // the kinds with capacity, the one with the highest configured limit goes first, so that under overload the kinds
    // with lower limits are refused first. Within a kind, the flow that has waited longest goes first.
    std::optional<core::FlowKey> takeWaiting();
    void eraseWaiting(const core::FlowKey&, core::KindId);
    // Ends a started flow whose duration says nothing about load.
    void release(core::KindId, core::TimePoint now);
    // Ends a started flow that took the given share of its deadline.
    void complete(core::KindId, double shareOfDeadline, core::TimePoint now);
    bool occupiesSlot(core::KindId) const;
    // True when extra work could delay the opens of the service: a sixth of the adaptive limit or less is free, which
    // is the part that the highest limit of extra attempts (0.2) would take, or opens are waiting.
    bool isNearLimit() const;
    RetryBudget& retries() { return m_retries; }
    const ConcurrencyLimiter& limiter() const { return m_limiter; }

private:
    struct KindLoad {
        std::uint32_t limit { 0 };
        bool occupiesSlot { false };
        std::uint32_t inProgress { 0 };
        AdmissionQueue waiting;

        // Only the kind's limit; ServiceLoad::hasRoom() also checks the adaptive limit.
        bool hasRoom() const { return inProgress < limit; }
    };

    bool hasRoom(const KindLoad&) const;
    void start(KindLoad&);
    // Removes a flow from the counts of its kind; null when none is in progress.
    KindLoad* recordEnd(core::KindId, core::TimePoint now);

    std::map<core::KindId, KindLoad> m_kinds;
    ConcurrencyLimiter m_limiter;
    RetryBudget m_retries;
};

} // namespace ibisgw::request
