#include "ibisgwd/HandOverSender.h"

#include "ibisgw/adapters/ControlRpc.h"
#include "ibisgw/balancer/Balancer.h"
#include "ibisgwd/ControlClient.h"

namespace ibisgwd {

using namespace ibisgw;

namespace {

constexpr core::Duration sendPeriod = std::chrono::seconds(1);
// 20 flows of 19 bytes a second leave most of the control budget of 4,096 bytes/s to gossip.
constexpr std::size_t maxFlowsPerPeriod = 20;
// A target that does not reply to this many attempts has failed. The next home of the flow queries the earlier homes.
constexpr int maxAttempts = 3;

} // namespace

HandOverSender::HandOverSender(ControlClient& client, balancer::Balancer& balancer)
    : m_client(client)
    , m_balancer(balancer)
{
}

void HandOverSender::tick(core::TimePoint now)
{
    if (now < m_nextSendAt)
        return;
    m_nextSendAt = now + sendPeriod;
    for (auto& it : std::exchange(m_unacknowledged, {}))
        send(std::move(it), now);
    std::map<core::NodeId, Batch> batches;
    for (const auto& it : m_balancer.takeHandOvers(maxFlowsPerPeriod))
        batches[it.target].flows.push_back(it);
    for (auto& [target, batch] : batches)
        send(std::move(batch), now);
}

void HandOverSender::send(Batch batch, core::TimePoint now)
{
    if (++batch.attempts > maxAttempts)
        return;
    adapters::ControlRequest request;
    request.call = adapters::ControlCall::HandOver;
    request.flows = batch.flows;
    const auto target = batch.flows.front().target;
    ++m_batchesInFlight;
    m_client.callDaemon(target, std::move(request), now, [this, batch = std::move(batch)](const auto& result) {
        --m_batchesInFlight;
        if (std::holds_alternative<core::Error>(result))
            m_unacknowledged.push_back(batch);
    });
}

bool HandOverSender::isIdle() const
{
    return m_batchesInFlight == 0 && m_unacknowledged.empty() && m_balancer.pendingHandOvers() == 0;
}

} // namespace ibisgwd
