#include "ibisgwd/ControlClient.h"

#include "ibisgwd/PeerNetwork.h"

namespace ibisgwd {

using namespace ibisgw;
using adapters::ControlReply;
using adapters::ControlRequest;
using configuration::OutcomeKind;

namespace {

// An election takes up to 3 s, but a busy controller answers sooner than this timeout.
constexpr core::Duration attemptTimeout = std::chrono::milliseconds(1500);

// Longer than an election and one more attempt.
constexpr core::Duration overallTimeout = std::chrono::seconds(8);

// Delay before a retry if there is no leader or if the request was redirected more than once.
constexpr core::Duration redirectDelay = std::chrono::milliseconds(200);

constexpr std::size_t maxPendingRequests = 256;

} // namespace

ControlClient::ControlClient(PeerNetwork& network, std::vector<core::NodeId> controllers)
    : m_network(network)
    , m_controllers(std::move(controllers))
{
}

void ControlClient::callControllers(
    ControlRequest request, Attempts attempts, core::TimePoint now, Completion completion)
{
    if (m_controllers.empty()) {
        completion(core::Error { core::ErrorKind::Unavailable, "no controllers are configured; set controllers" });
        return;
    }
    auto* pending = add(std::move(request), now, std::move(completion));
    if (!pending)
        return;
    pending->attempts = attempts;
    pending->controllerIndex = static_cast<std::size_t>(pending->request.number) % m_controllers.size();
    send(*pending, m_leader.isValid() ? m_leader : m_controllers[pending->controllerIndex], now);
}

void ControlClient::callDaemon(core::NodeId daemon, ControlRequest request, core::TimePoint now, Completion completion)
{
    auto* pending = add(std::move(request), now, std::move(completion));
    if (!pending)
        return;
    pending->isForOneDaemon = true;
    pending->attempts = Attempts::One;
    send(*pending, daemon, now);
}

ControlClient::PendingRequest* ControlClient::add(ControlRequest request, core::TimePoint now, Completion completion)
{
    if (m_pending.size() >= maxPendingRequests) {
        completion(
            core::Error { core::ErrorKind::ResourceExhausted, "too many requests are pending; try again later" });
        return nullptr;
    }
    request.number = m_nextNumber++;
    auto& pending = m_pending[request.number];
    pending.request = std::move(request);
    pending.completion = std::move(completion);
    pending.startedAt = now;
    return &pending;
}

void ControlClient::send(PendingRequest& pending, core::NodeId target, core::TimePoint now)
{
    pending.sentAt = now;
    const auto body = adapters::encodeControlRequest(pending.request);
    m_network.sendStream(target, adapters::Channel::Stream, std::as_bytes(std::span(body)));
}

void ControlClient::sendToNext(PendingRequest& pending, core::TimePoint now)
{
    pending.controllerIndex = (pending.controllerIndex + 1) % m_controllers.size();
    send(pending, m_controllers[pending.controllerIndex], now);
}

void ControlClient::handleReply(const ControlReply& reply, core::TimePoint now)
{
    const auto it = m_pending.find(reply.number);
    if (it == m_pending.end())
        return;
    auto& pending = it->second;
    if (reply.outcome.kind == OutcomeKind::NotLeader) {
        redirect(pending, reply.outcome.leader, now);
        return;
    }
    if (!pending.isForOneDaemon)
        m_leader = reply.outcome.leader;
    complete(reply.number, reply);
}

void ControlClient::redirect(PendingRequest& pending, core::NodeId leader, core::TimePoint now)
{
    m_leader = leader;
    if (leader.isValid() && !pending.wasRedirected) {
        pending.wasRedirected = true;
        send(pending, leader, now);
        return;
    }
    // During an election two controllers can each redirect to the other. Immediate resends then caused traffic of 500
    // KB in two seconds, so after the first redirect tick() resends the request after a delay.
    pending.sentAt = now - attemptTimeout + redirectDelay;
}

void ControlClient::tick(core::TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (auto& [number, pending] : m_pending) {
        const auto limit = pending.attempts == Attempts::One ? attemptTimeout : overallTimeout;
        if (now - pending.startedAt > limit) {
            expired.push_back(number);
            // The leader itself may have failed.
            if (!pending.isForOneDaemon)
                m_leader = {};
        } else if (pending.attempts == Attempts::Several && now - pending.sentAt > attemptTimeout) {
            pending.wasRedirected = false;
            sendToNext(pending, now);
        }
    }
    for (const auto number : expired) {
        complete(number,
            core::Error { core::ErrorKind::Unavailable,
                "no answer before the timeout; check that the daemon, or a majority of the controllers, is running, "
                "and try again" });
    }
}

void ControlClient::complete(std::uint64_t number, Result result)
{
    auto node = m_pending.extract(number);
    node.mapped().completion(std::move(result));
}

} // namespace ibisgwd
