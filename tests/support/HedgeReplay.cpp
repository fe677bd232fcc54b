#include "support/HedgeReplay.h"

#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/request/HedgePolicy.h"
#include "support/MessageQueue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

namespace support {

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

constexpr double tailShare = 0.03;
constexpr unsigned tailFactor = 7;
constexpr unsigned slowFactor = 4;
constexpr unsigned slowUpstream = 0;
constexpr unsigned hangingUpstream = 1;
constexpr unsigned slotsPerUpstream = 2;
constexpr std::size_t queueLimit = 8;
constexpr unsigned maxRetries = 2;
// From a balancer to an upstream or back, and twice for the open of the flow.
constexpr core::Duration hop = 1ms;
constexpr core::Duration openTime = 2 * hop;
constexpr core::Duration checkPeriod = 5ms;
constexpr core::TimePoint start = core::TimePoint {} + 24h;

// One try of a caller, with at most two attempts at upstreams.
struct Try {
    const ReplayedKind* kind { nullptr };
    unsigned balancer { 0 };
    unsigned retries { 0 };
    core::TimePoint firstTryAt;
    core::TimePoint sentAt;
    core::TimePoint deadline;
    std::vector<unsigned> upstreams;
    std::size_t refusals { 0 };
    bool isEnded { false };
    bool isMeasured { false };
    bool isRefusedByLimit { false };
};
using TryPointer = std::shared_ptr<Try>;

struct Job {
    TryPointer request;
    std::size_t attempt { 0 };
    core::Duration work;
};

struct Upstream {
    unsigned busySlots { 0 };
    std::deque<Job> waiting;
};

struct ReplayedBalancer {
    request::HedgePolicy policy;
    request::RetryBudget retries;
    std::vector<unsigned> inFlight;
    std::vector<TryPointer> pending;
};

class Replay {
public:
    explicit Replay(const HedgeReplayOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_queue({ hop, hop }, m_random)
        , m_upstreams(options.upstreams)
    {
        for (unsigned n = 0; n < options.balancers; ++n)
            m_balancers.push_back(
                { request::HedgePolicy(options.maxShare), {}, std::vector<unsigned>(options.upstreams), {} });
    }

    HedgeReplayReport run()
    {
        m_queue.runUntil(start);
        for (const auto& it : m_options.kinds)
            scheduleArrival(it);
        scheduleCheck();
        m_queue.runUntil(start + m_options.duration + 20s);
        std::ranges::sort(m_report.idempotentLatencies);
        std::ranges::sort(m_report.otherLatencies);
        return std::move(m_report);
    }

private:
    void scheduleArrival(const ReplayedKind& kind)
    {
        const auto wait = -1e6 / kind.requestsPerSecond * std::log(1 - m_random.unit());
        m_queue.after(core::Duration(std::llround(wait)), [this, &kind](core::TimePoint now) {
            if (now >= start + m_options.duration)
                return;
            startTry(kind, now, 0);
            scheduleArrival(kind);
        });
    }

    void startTry(const ReplayedKind& kind, core::TimePoint firstTryAt, unsigned retries)
    {
        const auto now = m_queue.now();
        auto it = std::make_shared<Try>();
        it->kind = &kind;
        it->balancer = static_cast<unsigned>(m_random.below(m_balancers.size()));
        it->retries = retries;
        it->firstTryAt = firstTryAt;
        it->sentAt = now;
        it->deadline = now + kind.deadline;
        it->isMeasured = firstTryAt >= start + HedgeReplayReport::warmUp;
        auto& balancer = m_balancers[it->balancer];
        balancer.retries.recordOpen(now);
        if (kind.isIdempotent)
            balancer.policy.recordRequest(now);
        if (retries == 0 && it->isMeasured) {
            ++m_report.requests;
            m_report.idempotentRequests += kind.isIdempotent ? 1 : 0;
        }
        balancer.pending.push_back(it);
        send(it);
    }

    // Sends an attempt to the upstream with the fewest requests of the balancer that has none of this request.
    void send(const TryPointer& it)
    {
        auto& inFlight = m_balancers[it->balancer].inFlight;
        std::vector<unsigned> best;
        for (unsigned n = 0; n < inFlight.size(); ++n) {
            if (std::ranges::find(it->upstreams, n) != it->upstreams.end())
                continue;
            if (!best.empty() && inFlight[n] < inFlight[best.front()])
                best.clear();
            if (best.empty() || inFlight[n] == inFlight[best.front()])
                best.push_back(n);
        }
        const auto upstream = best[m_random.below(best.size())];
        ++inFlight[upstream];
        const auto attempt = it->upstreams.size();
        it->upstreams.push_back(upstream);
        const auto work = it->kind->work * (m_random.chance(tailShare) ? tailFactor : 1)
            * (upstream == slowUpstream ? slowFactor : 1);
        m_queue.after(openTime + hop, [this, it, attempt, upstream, work](auto) {
            receive(upstream, { it, attempt, work });
        });
    }

    bool isHanging(unsigned upstream) const
    {
        const auto from = start + m_options.hangFrom;
        return upstream == hangingUpstream && m_queue.now() >= from && m_queue.now() < from + m_options.hangTime;
    }

    void receive(unsigned index, Job job)
    {
        auto& upstream = m_upstreams[index];
        if (isHanging(index))
            return;
        if (upstream.busySlots < slotsPerUpstream)
            run(index, job);
        else if (upstream.waiting.size() < queueLimit)
            upstream.waiting.push_back(std::move(job));
        else
            m_queue.after(hop, [this, it = job.request](auto) { handleRefusal(it); });
    }

    void run(unsigned index, const Job& job)
    {
        ++m_upstreams[index].busySlots;
        if (job.request->isMeasured) {
            m_report.work += job.work;
            m_report.extraWork += job.attempt > 0 ? job.work : core::Duration::zero();
        }
        m_queue.after(job.work, [this, index, job](auto) { finish(index, job); });
    }

    void finish(unsigned index, const Job& job)
    {
        auto& upstream = m_upstreams[index];
        --upstream.busySlots;
        if (!isHanging(index))
            m_queue.after(hop, [this, job](auto) { handleAnswer(job); });
        // A cancelled request isn't run.
        while (!upstream.waiting.empty() && upstream.waiting.front().request->isEnded)
            upstream.waiting.pop_front();
        if (upstream.waiting.empty())
            return;
        const auto next = std::move(upstream.waiting.front());
        upstream.waiting.pop_front();
        run(index, next);
    }

    void handleAnswer(const Job& job)
    {
        auto& it = *job.request;
        if (it.isEnded)
            return; // the late answer is dropped
        m_report.wonByExtraAttempt += job.attempt > 0 && it.isMeasured ? 1 : 0;
        end(it);
        recordLatency(it);
    }

    void handleRefusal(const TryPointer& it)
    {
        // The other attempt goes on.
        if (it->isEnded || ++it->refusals < it->upstreams.size())
            return;
        end(*it);
        fail(*it);
    }

    void end(Try& it)
    {
        const auto now = m_queue.now();
        auto& balancer = m_balancers[it.balancer];
        it.isEnded = true;
        for (const auto upstream : it.upstreams)
            --balancer.inFlight[upstream];
        if (it.kind->isIdempotent)
            balancer.policy.recordLatency(now - it.sentAt, now);
        std::erase_if(balancer.pending, [&](const auto& pending) { return pending.get() == &it; });
    }

    // Only requests that are idempotent, or that no upstream has accepted, are retried.
    void fail(const Try& it)
    {
        const bool isCertainlyNotRun = it.refusals == it.upstreams.size();
        if (it.retries < maxRetries && (it.kind->isIdempotent || isCertainlyNotRun)) {
            startTry(*it.kind, it.firstTryAt, it.retries + 1);
            return;
        }
        recordLatency(it);
        if (!it.isMeasured)
            return;
        ++m_report.unanswered;
        m_report.unansweredIdempotent += it.kind->isIdempotent ? 1 : 0;
    }

    void recordLatency(const Try& it)
    {
        auto& latencies = it.kind->isIdempotent ? m_report.idempotentLatencies : m_report.otherLatencies;
        if (it.isMeasured)
            latencies.push_back(m_queue.now() - it.firstTryAt);
    }

    void scheduleCheck()
    {
        m_queue.after(checkPeriod, [this](core::TimePoint now) {
            for (auto& balancer : m_balancers) {
                const auto pending = balancer.pending;
                for (const auto& it : pending)
                    check(balancer, it, now);
            }
            scheduleCheck();
        });
    }

    void check(ReplayedBalancer& balancer, const TryPointer& it, core::TimePoint now)
    {
        if (it->isEnded)
            return;
        if (now >= it->deadline) {
            end(*it);
            fail(*it);
            return;
        }
        const auto verdict = balancer.policy.decide(
            { it->kind->isIdempotent, it->upstreams.size() > 1, false, it->sentAt, it->deadline - now },
            balancer.retries, now);
        if (verdict == request::HedgeVerdict::RefusedByLimit && !std::exchange(it->isRefusedByLimit, true))
            m_report.refusedByLimit += it->isMeasured ? 1 : 0;
        if (verdict != request::HedgeVerdict::Attempt)
            return;
        m_report.extraAttempts += it->isMeasured ? 1 : 0;
        send(it);
        m_report.wrongAttempts += !it->kind->isIdempotent || it->upstreams.size() > 2 ? 1 : 0;
    }

    HedgeReplayOptions m_options;
    core::PcgRandomSource m_random;
    MessageQueue m_queue;
    std::vector<Upstream> m_upstreams;
    std::vector<ReplayedBalancer> m_balancers;
    HedgeReplayReport m_report;
};

} // namespace

std::vector<ReplayedKind> stopCardKinds()
{
    return { { true, 984, 15ms, 2s }, { false, 487, 20ms, 2s }, { true, 84, 5ms, 8s } };
}

std::vector<ReplayedKind> balanceFeedKinds()
{
    return { { true, 1155, 47ms, 5s }, { false, 330, 61ms, 6s }, { true, 99, 4200us, 10s } };
}

HedgeReplayReport replayHedging(const HedgeReplayOptions& options)
{
    return Replay(options).run();
}

core::Duration latencyQuantile(const std::vector<core::Duration>& ascending, double share)
{
    if (ascending.empty())
        return core::Duration::zero();
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(ascending.size() - 1));
    return ascending[rank];
}

} // namespace support
