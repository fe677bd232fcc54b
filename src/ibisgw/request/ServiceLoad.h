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

// Limits, queues and retry budget of one service at one balancer.
//
// Kinds with placement `load` occupy slots: their flows count against the kind's limit and the adaptive limit of the
// service until they end. A stream occupies no slot; its open counts until it is established.
class ServiceLoad {
public:
    Admission admit(const core::FlowKey&, const configuration::RequestKind&, const Deadline&, core::TimePoint now);
    // The flow that waited for longest and may start now, of the kind with the highest declared limit: under
    // overload the kinds with lower limits are refused first. Counts the flow as started.
    std::optional<core::FlowKey> takeWaiting();
    void eraseWaiting(const core::FlowKey&, core::KindId);
    // A started flow ended without saying anything about load.
    void release(core::KindId, core::TimePoint now);
    // A started flow ended after the given share of its deadline.
    void complete(core::KindId, double shareOfDeadline, core::TimePoint now);
    bool occupiesSlot(core::KindId) const;
    RetryBudget& retries() { return m_retries; }
    const ConcurrencyLimiter& limiter() const { return m_limiter; }

private:
    struct KindLoad {
        std::uint32_t limit { 0 };
        bool occupiesSlot { false };
        std::uint32_t inProgress { 0 };
        AdmissionQueue waiting;

        bool hasRoom() const { return inProgress < limit; }
    };

    bool hasRoom(const KindLoad&) const;
    void start(KindLoad&);
    KindLoad* recordEnd(core::KindId, core::TimePoint now);

    std::map<core::KindId, KindLoad> m_kinds;
    ConcurrencyLimiter m_limiter;
    RetryBudget m_retries;
};

} // namespace ibisgw::request
