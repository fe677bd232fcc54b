#include "PlacementScenario.h"

#include "BaselineMembers.h"

#include "ibisgw/upstream/JoinIdleQueueSelector.h"

#include <algorithm>

namespace bench {

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

const core::Endpoint serviceAddress { 0xc0000201, 443 }; // 192.0.2.1
constexpr core::Duration activeSendInterval = 1min;
constexpr core::Duration quietSendInterval = 10min;

std::shared_ptr<const configuration::Document> makeDocument()
{
    configuration::RequestKind stream { 1, "live-view" };
    stream.placement = configuration::Placement::Sticky;
    const configuration::RequestKind booking { 2, "booking" };
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { stream, booking };
    return std::make_shared<const configuration::Document>(
        configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { service } });
}

support::BalancerGroupOptions groupOptions(const PlacementScenarioOptions& options)
{
    support::BalancerGroupOptions group;
    group.zones = options.zones;
    if (options.usesJoinIdleQueue) {
        group.makeSelector = [](const auto& load, auto& random) {
            return std::make_unique<upstream::JoinIdleQueueSelector>(load, random);
        };
    }
    if (options.algorithm == PlacementAlgorithm::Hash)
        group.makeMember = [](const auto&) { return std::make_unique<RendezvousBaseline>(); };
    else if (options.algorithm == PlacementAlgorithm::Local)
        group.makeMember = [](const auto&) { return std::make_unique<LeastFlowsBaseline>(); };
    return group;
}

} // namespace

PlacementScenario::PlacementScenario(PlacementScenarioOptions options)
    : m_random(options.seed)
    , m_queue({ 1ms, 2ms, options.loss, 0.0 }, m_random)
    , m_group(groupOptions(options), makeDocument(), m_queue, m_random)
    , m_callers({ serviceAddress }, m_group)
{
    for (unsigned n = 0; n < upstreamCount; ++n) {
        support::FakeUpstreamOptions upstream { core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 }), "slotdesk",
            serviceAddress };
        upstream.zone = options.zones[n % options.zones.size()];
        upstream.slots = slotsPerUpstream;
        // High enough that upstreams refuse no requests that the baselines place.
        upstream.queueLimit = 64;
        upstream.meanServiceTime = core::Duration(static_cast<core::Duration::rep>(meanServiceSeconds * 1e6));
        if (options.misleadingUpstream == n) {
            upstream.reportsZeroLoad = true;
            upstream.meanServiceTime *= 10;
        }
        m_group.addUpstream(upstream);
    }
    // Longer than the slow start of upstreams.
    m_queue.runFor(40s);
}

PlacementScenario::~PlacementScenario() = default;

void PlacementScenario::openNextFlow()
{
    const bool isQuiet = m_openedFlowCount % 2 == 1;
    const bool echoesToken = m_openedFlowCount / 2 % 2 == 1;
    ++m_openedFlowCount;
    m_openFlows.push_back(m_callers.openStream(isQuiet ? quietSendInterval : activeSendInterval, echoesToken));
}

void PlacementScenario::openFlows(unsigned count, core::Duration spread)
{
    const auto start = m_queue.now();
    for (unsigned n = 0; n < count; ++n) {
        m_queue.runUntil(start + spread * n / count);
        openNextFlow();
    }
    m_queue.runUntil(start + spread + 2s);
}

void PlacementScenario::replaceFlows(double flowsPerSecond, core::Duration duration)
{
    const auto start = m_queue.now();
    const auto count = static_cast<unsigned>(flowsPerSecond * core::toSeconds(duration));
    for (unsigned n = 0; n < count; ++n) {
        m_queue.runUntil(start + duration * n / count);
        auto& closed = m_openFlows[m_random.below(m_openFlows.size())];
        m_callers.closeStream(closed);
        openNextFlow();
        closed = m_openFlows.back();
        m_openFlows.pop_back();
    }
}

void PlacementScenario::startRequests(double load, core::Duration duration)
{
    m_callers.startArrivals(
        load * upstreamCount * slotsPerUpstream / meanServiceSeconds, m_queue.now() + duration, m_random);
}

void PlacementScenario::sample(core::Duration duration, core::Duration step, const std::function<void()>& takeSample)
{
    const auto end = m_queue.now() + duration;
    while (m_queue.now() < end) {
        m_queue.runFor(step);
        takeSample();
    }
}

double PlacementScenario::worstFlowImbalance()
{
    std::uint64_t total = 0;
    std::uint64_t most = 0;
    for (const auto& [upstream, count] : m_callers.streamsByUpstream()) {
        total += count;
        most = std::max(most, count);
    }
    return total ? static_cast<double>(most) * upstreamCount / static_cast<double>(total) : 0;
}

} // namespace bench
