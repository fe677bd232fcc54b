#include "OverloadMeasures.h"

#include "ibisgw/core/PcgRandomSource.h"
#include "support/LoadCallers.h"

#include <algorithm>
#include <map>

namespace bench {

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

constexpr core::Endpoint serviceAddress { 0xc0000201, 443 };
constexpr core::KindId bookingKind = 2;
constexpr unsigned upstreamCount = 14;
constexpr core::Duration serviceTime = 100ms;
// Requests per second that 14 upstreams with 2 slots each can answer.
constexpr double capacity = upstreamCount * 2 / core::toSeconds(serviceTime);
constexpr unsigned overloadSeconds = 60;
constexpr unsigned recoverySeconds = 30;
constexpr unsigned windowSeconds = 3;
// Requests that an upstream queues while all its slots are busy. A full deep queue takes longer than the deadline of a
// request, so that answers arrive in time only if the balancers' admission control keeps the queue short.
constexpr std::size_t shallowQueueLimit = 4;
constexpr std::size_t deepQueueLimit = 100;

std::shared_ptr<const configuration::Document> makeDocument()
{
    configuration::RequestKind booking { bookingKind, "booking" };
    booking.deadlineMs = 2000;
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { booking };
    return std::make_shared<const configuration::Document>(
        configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { service } });
}

// Simulated balancers and 14 upstreams of one service in virtual time. The constructor runs until requests can start.
struct Cluster {
    Cluster(std::uint64_t seed, std::size_t queueLimit)
        : random(seed)
        , queue({}, random)
        , group({}, makeDocument(), queue, random)
    {
        for (std::uint32_t n = 0; n < upstreamCount; ++n) {
            support::FakeUpstreamOptions upstream { core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 }), "slotdesk",
                serviceAddress };
            upstream.meanServiceTime = serviceTime;
            upstream.queueLimit = queueLimit;
            group.addUpstream(upstream);
        }
        queue.runFor(1500ms);
    }

    core::PcgRandomSource random;
    support::MessageQueue queue;
    support::BalancerGroup group;
};

struct OverloadRun {
    // Share of the capacity that was answered in time during the overload.
    double goodput { 0 };
    double recoverySeconds { 0 };
    // Share of the requests that are answered in time at load 0.7.
    double shareWithoutOverload { 0 };
};

// Share of the requests started in the 3 s from second `first` on that were answered in time.
double answeredShare(const std::vector<support::LoadSecond>& seconds, unsigned first)
{
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    for (unsigned n = first; n < first + windowSeconds; ++n) {
        started += seconds[n].started;
        answered += seconds[n].answeredInTime;
    }
    return static_cast<double>(answered) / static_cast<double>(started);
}

// Seconds after the overload until the share of requests answered in time reaches, and then keeps, 0.95 of the share
// without overload. That share is below 1, because a new flow can be placed on an upstream whose queue is full, which
// refuses the request.
double findRecovery(const std::vector<support::LoadSecond>& seconds, double shareWithoutOverload)
{
    constexpr double recoveredShare = 0.95;
    unsigned recovery = recoverySeconds - windowSeconds;
    while (
        recovery > 0 && answeredShare(seconds, overloadSeconds + recovery - 1) >= recoveredShare * shareWithoutOverload)
        --recovery;
    return recovery;
}

// Share of the requests that are answered in time at load 0.7, without an overload before.
double shareWithoutOverload(std::uint64_t seed, std::size_t queueLimit)
{
    Cluster cluster(seed, queueLimit);
    support::LoadCallers callers({ serviceAddress, bookingKind }, cluster.group, cluster.random);
    callers.offer(0.7 * capacity, std::chrono::seconds(recoverySeconds));
    cluster.queue.runFor(std::chrono::seconds(recoverySeconds + 5));
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    for (const auto& it : callers.seconds()) {
        started += it.started;
        answered += it.answeredInTime;
    }
    return static_cast<double>(answered) / static_cast<double>(started);
}

// Offers load 1.5 and then load 0.7. The result is cached, as several measures use it.
const OverloadRun& cachedOverloadRun(std::uint64_t seed, std::size_t queueLimit)
{
    static std::map<std::pair<std::uint64_t, std::size_t>, OverloadRun> runs;
    const auto [it, isNew] = runs.try_emplace({ seed, queueLimit });
    if (!isNew)
        return it->second;
    Cluster cluster(seed, queueLimit);
    support::LoadCallers callers({ serviceAddress, bookingKind }, cluster.group, cluster.random);
    callers.offer(1.5 * capacity, std::chrono::seconds(overloadSeconds));
    cluster.queue.runFor(std::chrono::seconds(overloadSeconds));
    callers.offer(0.7 * capacity, std::chrono::seconds(recoverySeconds));
    cluster.queue.runFor(std::chrono::seconds(recoverySeconds + 5));
    const auto& answers = callers.answersBySecond();
    std::uint64_t inTime = 0;
    for (unsigned n = 0; n < overloadSeconds; ++n)
        inTime += answers[n];
    it->second.goodput = static_cast<double>(inTime) / (capacity * overloadSeconds);
    it->second.shareWithoutOverload = shareWithoutOverload(seed, queueLimit);
    it->second.recoverySeconds = findRecovery(callers.seconds(), it->second.shareWithoutOverload);
    return it->second;
}

MeasureResult measureRecovery(std::uint64_t seed)
{
    const auto& deep = cachedOverloadRun(seed, deepQueueLimit);
    const auto& shallow = cachedOverloadRun(seed, shallowQueueLimit);
    MeasureResult result;
    result.value = std::max(deep.recoverySeconds, shallow.recoverySeconds);
    result.bound = 5;
    result.details = { { "goodput_deep_queues", deep.goodput }, { "goodput_shallow_queues", shallow.goodput },
        { "recovery_deep_queues_s", deep.recoverySeconds }, { "recovery_shallow_queues_s", shallow.recoverySeconds },
        { "share_without_overload_deep_queues", deep.shareWithoutOverload },
        { "share_without_overload_shallow_queues", shallow.shareWithoutOverload } };
    return result;
}

MeasureResult measureGoodput(std::uint64_t seed)
{
    MeasureResult result;
    result.value
        = std::min(cachedOverloadRun(seed, deepQueueLimit).goodput, cachedOverloadRun(seed, shallowQueueLimit).goodput);
    result.bound = 0.9;
    result.comparison = Comparison::AtLeast;
    return result;
}

// Number of opens sent to upstreams for each open received, while half of the upstreams refuse all opens. These
// upstreams continue to announce that they are ready, which models announcements that lag behind the state.
MeasureResult measureRetryAmplification(std::uint64_t seed)
{
    Cluster cluster(seed, shallowQueueLimit);
    auto& upstreams = cluster.group.upstreams();
    for (std::size_t n = 0; n < upstreams.size() / 2; ++n)
        upstreams[n]->refuseOpens(1.0);
    support::LoadCallers callers({ serviceAddress, bookingKind }, cluster.group, cluster.random);
    callers.offer(0.7 * capacity, 60s);
    cluster.queue.runFor(65s);
    std::uint64_t received = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t retried = 0;
    for (unsigned n = 0; n < cluster.group.balancerCount(); ++n) {
        const auto& counters = cluster.group.balancer(n)->counters();
        received += counters.opensReceived;
        forwarded += counters.opensForwarded;
        retried += counters.opensRetried;
    }
    MeasureResult result;
    result.value = static_cast<double>(forwarded) / static_cast<double>(received);
    result.bound = 1.1;
    result.details = { { "opens_received", received }, { "opens_retried", retried } };
    return result;
}

} // namespace

void addOverloadMeasures(MeasureList& measures)
{
    measures.push_back({ "recovery_after_overload_s", "s", true, measureRecovery });
    measures.push_back({ "overload_goodput", "share of capacity", true, measureGoodput });
    measures.push_back({ "retry_amplification", "ratio", true, measureRetryAmplification });
}

} // namespace bench
