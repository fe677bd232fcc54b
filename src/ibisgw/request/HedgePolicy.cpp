#include "ibisgw/request/HedgePolicy.h"

namespace ibisgw::request {

namespace {

// An extra attempt needs the usual latency once more. With less time left, its answer would come too late.
constexpr double usualLatencyQuantile = 0.5;

} // namespace

HedgePolicy::HedgePolicy(double maxShare, HedgeRules rules)
    : m_rules(rules)
    , m_budget(maxShare)
{
}

std::optional<core::Duration> HedgePolicy::delay(core::TimePoint now)
{
    if (maxShare() <= 0)
        return std::nullopt;
    const bool hasSamples = static_cast<double>(m_latencies.sampleCount(now)) * maxShare() >= minSamplesBeyondDelay;
    if (!hasSamples && m_rules.waitsForSamples)
        return std::nullopt;
    return m_latencies.quantile(1 - maxShare(), now);
}

HedgeVerdict HedgePolicy::decide(const HedgeCandidate& candidate, RetryBudget& retries, core::TimePoint now)
{
    if (maxShare() <= 0)
        return HedgeVerdict::Off;
    if (!candidate.isIdempotent && m_rules.idempotentOnly)
        return HedgeVerdict::NotIdempotent;
    if (candidate.isHedged && m_rules.oneAttemptOnly)
        return HedgeVerdict::AlreadyHedged;
    const auto lateAfter = delay(now);
    if (!lateAfter)
        return HedgeVerdict::TooFewSamples;
    if (now - candidate.sentAt < *lateAfter)
        return HedgeVerdict::Early;
    if (candidate.isNearLimit && m_rules.sparesLoadedServices)
        return HedgeVerdict::NearLimit;
    const auto usualLatency = m_latencies.quantile(usualLatencyQuantile, now);
    if (candidate.remaining && *candidate.remaining < usualLatency && m_rules.respectsDeadlines)
        return HedgeVerdict::DeadlineTooShort;
    if (!m_budget.hasRoom(now) && m_rules.limitsShare)
        return HedgeVerdict::RefusedByLimit;
    if (!retries.takeRetry(now) && m_rules.limitsRetries)
        return HedgeVerdict::RetriesExhausted;
    m_budget.takeAttempt(now);
    return HedgeVerdict::Attempt;
}

} // namespace ibisgw::request
