#pragma once

#include "ibisgw/core/NameTable.h"
#include "ibisgw/request/HedgeBudget.h"
#include "ibisgw/request/LatencyEstimate.h"
#include "ibisgw/request/RetryBudget.h"

#include <cstdint>
#include <optional>

namespace ibisgw::request {

// Whether a request gets an extra attempt at another upstream, or the guard that prevents it.
enum class HedgeVerdict : std::uint8_t {
    Attempt,
    Off, // the limit of the service is 0
    NotIdempotent,
    AlreadyHedged,
    TooFewSamples,
    Early, // the delay has not passed yet
    NearLimit, // the service is near its concurrency limit
    DeadlineTooShort,
    RefusedByLimit,
    RetriesExhausted,
};

inline constexpr core::NameTable<HedgeVerdict, 10> hedgeVerdictNames { {
    { HedgeVerdict::Attempt, "attempt" },
    { HedgeVerdict::Off, "off" },
    { HedgeVerdict::NotIdempotent, "not_idempotent" },
    { HedgeVerdict::AlreadyHedged, "already_hedged" },
    { HedgeVerdict::TooFewSamples, "too_few_samples" },
    { HedgeVerdict::Early, "early" },
    { HedgeVerdict::NearLimit, "near_limit" },
    { HedgeVerdict::DeadlineTooShort, "deadline_too_short" },
    { HedgeVerdict::RefusedByLimit, "refused_by_limit" },
    { HedgeVerdict::RetriesExhausted, "retries_exhausted" },
} };

// Switches for the guards of HedgePolicy. All are on in production. A test switches one off to show that a check fails
// without it.
struct HedgeRules {
    bool idempotentOnly { true };
    bool oneAttemptOnly { true };
    bool waitsForSamples { true };
    bool sparesLoadedServices { true };
    bool respectsDeadlines { true };
    bool limitsShare { true };
    bool limitsRetries { true };
};

// State of one unanswered request for HedgePolicy.
struct HedgeCandidate {
    bool isIdempotent { false };
    bool isHedged { false };
    // The service is near its concurrency limit.
    bool isNearLimit { false };
    core::TimePoint sentAt;
    // Time left until the deadline; empty without a deadline.
    std::optional<core::Duration> remaining;
};

// Decides whether and when the requests of one service get an extra attempt. The delay is the latency that all but
// max_share of the recent requests stay below, so that the requests that are late and the attempts that the limit
// allows have about the same number.
class HedgePolicy {
public:
    // The delay is estimated only from enough requests that so many of them lie beyond the quantile; with fewer, a
    // single slow answer would move it.
    static constexpr double minSamplesBeyondDelay = 5;

    explicit HedgePolicy(double maxShare, HedgeRules = {});

    void setMaxShare(double maxShare) { m_budget.setMaxShare(maxShare); }
    double maxShare() const { return m_budget.maxShare(); }
    // To be called for each request of a kind that is idempotent, when it is sent for the first time.
    void recordRequest(core::TimePoint now) { m_budget.recordRequest(now); }
    // Latency of a first attempt, or the time that it has been waited for when it was not answered. Without the latter,
    // unanswered requests would lower the delay.
    void recordLatency(core::Duration latency, core::TimePoint now) { m_latencies.record(latency, now); }
    // Time after which an unanswered request is late; empty while hedging is off or there are too few samples.
    std::optional<core::Duration> delay(core::TimePoint now);
    // Decides about one request and, for HedgeVerdict::Attempt, counts the attempt against both budgets.
    HedgeVerdict decide(const HedgeCandidate&, RetryBudget&, core::TimePoint now);

private:
    HedgeRules m_rules;
    HedgeBudget m_budget;
    LatencyEstimate m_latencies;
};

} // namespace ibisgw::request
