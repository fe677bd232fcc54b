#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/request/HedgePolicy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace ibisgw;
using namespace std::chrono_literals;
using request::HedgeBudget;
using request::HedgeCandidate;
using request::HedgePolicy;
using request::HedgeRules;
using request::HedgeVerdict;

namespace {

constexpr std::uint64_t seedCount = 200;
const core::TimePoint start = core::TimePoint {} + 24h;

// Requests and extra attempts of one service, to count them in any window.
struct AttemptHistory {
    std::vector<core::TimePoint> requests;
    std::vector<core::TimePoint> attempts;

    static std::size_t countIn(const std::vector<core::TimePoint>& times, core::TimePoint from, core::TimePoint to)
    {
        const auto after = std::ranges::upper_bound(times, from);
        return static_cast<std::size_t>(std::ranges::upper_bound(times, to) - after);
    }
    // Windows that end at an extra attempt and have more than the share of their requests.
    std::size_t exceededWindows(double share) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(attempts, [&](core::TimePoint end) {
            const auto allowed = share * static_cast<double>(countIn(requests, end - HedgeBudget::window, end));
            const auto taken = static_cast<double>(countIn(attempts, end - HedgeBudget::window, end));
            return taken > allowed + 1e-6;
        }));
    }
};

// Offers an extra attempt after each request, at rates that change from idle to a surge, with a restart in the middle.
AttemptHistory offerAttempts(std::uint64_t seed, double share, HedgeRules rules)
{
    core::PcgRandomSource random(seed);
    AttemptHistory history;
    auto now = start;
    for (int process = 0; process < 2; ++process) {
        HedgePolicy policy(share, rules);
        for (int phase = 0; phase < 5; ++phase) {
            const double ratesPerSecond[] { 0.2, 5, 50, 400 };
            const double rate = ratesPerSecond[random.below(std::size(ratesPerSecond))];
            const auto end = now + core::Duration(random.below(12'000'000));
            while (now < end) {
                now += core::Duration(std::llround(-1e6 / rate * std::log(1 - random.unit())));
                policy.recordRequest(now);
                policy.recordLatency(10ms, now);
                history.requests.push_back(now);
                // Each request has an unused retry budget, so that only the limit of the share holds.
                request::RetryBudget retries;
                if (policy.decide({ true, false, false, now - 1s, {} }, retries, now) == HedgeVerdict::Attempt)
                    history.attempts.push_back(now);
            }
        }
    }
    return history;
}

struct PolicyFixture {
    explicit PolicyFixture(HedgeRules rules = {})
        : policy(0.05, rules)
    {
        for (int n = 0; n < 2000; ++n) {
            policy.recordRequest(start + n * 5ms);
            policy.recordLatency(n % 100 < 97 ? 20ms : 140ms, start + n * 5ms);
        }
    }
    HedgeVerdict decide(const HedgeCandidate& candidate) { return policy.decide(candidate, retries, now); }

    HedgePolicy policy;
    request::RetryBudget retries;
    core::TimePoint now { start + 10s };
    HedgeCandidate late { true, false, false, start + 10s - 100ms, 2000ms };
};

} // namespace

TEST_SUITE("request")
{
    // Guards against extra work beyond what operators allow: under load, after idle times and after a restart.
    TEST_CASE("extra attempts never exceed the share of the requests in any window")
    {
        std::size_t attempts = 0;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            const double shares[] { 0.01, 0.02, 0.05, 0.2 };
            const double share = shares[seed % std::size(shares)];
            const auto history = offerAttempts(seed, share, {});
            CAPTURE(seed);
            CHECK(history.exceededWindows(share) == 0);
            CHECK(static_cast<double>(history.attempts.size()) <= share * static_cast<double>(history.requests.size()));
            attempts += history.attempts.size();
        }
        // The limit is used, so that the check above says something.
        CHECK(attempts > 20 * seedCount);
        SUBCASE("without the limit the check fails")
        {
            HedgeRules rules;
            rules.limitsShare = false;
            CHECK(offerAttempts(1, 0.05, rules).exceededWindows(0.05) > 0);
        }
    }

    // Guards against an upstream that hangs and uses the limit of a whole window at once.
    TEST_CASE("a burst of extra attempts has at most half of the attempts of a window")
    {
        HedgeBudget budget(0.05);
        CHECK_FALSE(budget.takeAttempt(start));
        for (int n = 0; n < 10'000; ++n)
            budget.recordRequest(start + n * 1ms);
        int burst = 0;
        while (budget.takeAttempt(start + 10s))
            ++burst;
        // 1,000 requests a second
        CHECK(burst == doctest::Approx(250).epsilon(0.05));
        SUBCASE("tokens don't accumulate while the service is idle")
        {
            budget.recordRequest(start + 60s);
            CHECK_FALSE(budget.takeAttempt(start + 60s));
        }
    }

    // Guards against a delay that fits a normal latency of another service or another time.
    TEST_CASE("the delay is a quantile of the recent latencies")
    {
        PolicyFixture fixture;
        REQUIRE(fixture.policy.delay(fixture.now));
        CHECK(*fixture.policy.delay(fixture.now) >= 20ms);
        CHECK(*fixture.policy.delay(fixture.now) < 22ms);
        SUBCASE("a lower share gives a longer delay")
        {
            fixture.policy.setMaxShare(0.02);
            CHECK(*fixture.policy.delay(fixture.now) >= 140ms);
        }
        SUBCASE("the latencies of an earlier time are forgotten")
        {
            CHECK_FALSE(fixture.policy.delay(fixture.now + 60s));
        }
        SUBCASE("any latency has a range")
        {
            request::LatencyEstimate estimate;
            for (const core::Duration it : { core::Duration(-1), core::Duration(0), core::Duration(24h) })
                estimate.record(it, start);
            CHECK(estimate.quantile(0.5, start) == 100us);
            CHECK(estimate.quantile(1, start) > 90s);
        }
    }

    // Each guard prevents an attempt, and the same candidate gets one when only that guard is switched off.
    TEST_CASE("every guard of hedging holds alone")
    {
        struct Guard {
            HedgeVerdict verdict;
            bool HedgeRules::*rule;
            void (*prepare)(PolicyFixture&);
        };
        const Guard guards[] {
            // A request that isn't idempotent would run twice (R5).
            { HedgeVerdict::NotIdempotent, &HedgeRules::idempotentOnly,
                [](PolicyFixture& it) { it.late.isIdempotent = false; } },
            // Several attempts of one request multiply the work of a slow service.
            { HedgeVerdict::AlreadyHedged, &HedgeRules::oneAttemptOnly,
                [](PolicyFixture& it) { it.late.isHedged = true; } },
            // After a start, a single latency would be the delay of all requests.
            { HedgeVerdict::TooFewSamples, &HedgeRules::waitsForSamples,
                [](PolicyFixture& it) {
                    it.now += 90s;
                    for (int n = 0; n < 1000; ++n)
                        it.policy.recordRequest(it.now);
                } },
            // Extra work takes the slots that a loaded service needs for first attempts.
            { HedgeVerdict::NearLimit, &HedgeRules::sparesLoadedServices,
                [](PolicyFixture& it) { it.late.isNearLimit = true; } },
            // The answer of the extra attempt would come after the deadline.
            { HedgeVerdict::DeadlineTooShort, &HedgeRules::respectsDeadlines,
                [](PolicyFixture& it) { it.late.remaining = 10ms; } },
            { HedgeVerdict::RefusedByLimit, &HedgeRules::limitsShare,
                [](PolicyFixture& it) {
                    while (it.decide(it.late) == HedgeVerdict::Attempt) { }
                } },
            // Extra attempts and retries together multiply the load of upstreams that refuse work.
            { HedgeVerdict::RetriesExhausted, &HedgeRules::limitsRetries,
                [](PolicyFixture& it) {
                    while (it.retries.takeRetry(it.now)) { }
                } },
        };
        for (const auto& guard : guards) {
            CAPTURE(request::hedgeVerdictNames.nameOf(guard.verdict));
            const auto verdictWith = [&](HedgeRules rules) {
                PolicyFixture fixture(rules);
                for (int n = 0; n < 1000 && guard.verdict != HedgeVerdict::RetriesExhausted; ++n)
                    fixture.retries.recordOpen(fixture.now);
                if (guard.verdict != HedgeVerdict::RefusedByLimit || rules.limitsShare)
                    guard.prepare(fixture);
                return fixture.decide(fixture.late);
            };
            CHECK(verdictWith({}) == guard.verdict);
            HedgeRules withoutGuard;
            withoutGuard.*guard.rule = false;
            CHECK(verdictWith(withoutGuard) == HedgeVerdict::Attempt);
        }
        PolicyFixture fixture;
        fixture.retries.recordOpen(fixture.now);
        SUBCASE("a request that isn't late yet waits")
        {
            fixture.late.sentAt = fixture.now - 10ms;
            CHECK(fixture.decide(fixture.late) == HedgeVerdict::Early);
        }
        SUBCASE("a share of 0 switches hedging off")
        {
            fixture.policy.setMaxShare(0);
            CHECK(fixture.decide(fixture.late) == HedgeVerdict::Off);
        }
        SUBCASE("an extra attempt counts against the retry budget")
        {
            CHECK(fixture.decide(fixture.late) == HedgeVerdict::Attempt);
            CHECK_FALSE(fixture.retries.takeRetry(fixture.now));
        }
    }
}
