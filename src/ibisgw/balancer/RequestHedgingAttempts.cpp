#include "ibisgw/balancer/RequestHedging.h"

#include "ibisgw/balancer/Refusal.h"

#include <algorithm>
#include <utility>

// Extra attempts at the second upstream. The tracking of requests is in RequestHedging.cpp.
namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

void RequestHedging::startAttempt(const Key& key, TrackedRequest& it, const configuration::Service& service,
    core::UpstreamId second, core::TimePoint now, BalancerOutput& output)
{
    it.state = State::Attempted;
    it.second = second;
    it.secondIncarnation = m_context.upstreams.find(second)->announcement.incarnation;
    it.copyId = m_nextCopy++;
    m_attempts.emplace(it.copyId, key);
    m_context.placer.noteSecondStarted(second, service, now);
    ++m_context.counters.hedgesAttempted;
    Packet open;
    open.type = PacketType::Open;
    open.flow = ownFlow(key.flow.service);
    open.kind = it.request.kind;
    open.upstream = second;
    open.deadlineMs = it.deadline.remainingMs(now);
    open.trace = it.request.trace;
    sendToUpstream(open, output);
    output.noteHedged({ key.flow, key.request, it.first, second });
}

bool RequestHedging::handleSecondUpstream(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto owner = core::NodeId::fromEndpoint(packet.flow.caller);
    if (owner != m_context.homes.self()) {
        // A balancer that has stopped needs no answer.
        if (!m_context.homes.ring().isRunning(owner))
            return m_context.homes.ring().wasRunning(owner);
        auto relayed = packet;
        if (++relayed.relayHops == 1)
            m_context.relay.send(relayed, owner, now, output);
        return true;
    }
    if (packet.type == PacketType::Opened)
        sendCopies(packet, now, output);
    else if (packet.type == PacketType::Answer)
        handleSecondAnswer(packet, now, output);
    else if (packet.type == PacketType::Refusal && packet.request != 0)
        failAttempt(packet.request, output);
    else if (packet.type == PacketType::Refusal || packet.type == PacketType::Reset)
        failAttemptsAt(packet.upstream, packet.flow.service, output);
    return true;
}

void RequestHedging::sendCopies(const Packet& opened, core::TimePoint now, BalancerOutput& output)
{
    bool isUsed = false;
    for (const auto& [copy, key] : m_attempts) {
        auto& it = m_requests.at(key);
        if (it.second != opened.upstream || key.flow.service != opened.flow.service)
            continue;
        isUsed = true;
        if (std::exchange(it.isCopySent, true))
            continue;
        auto request = it.request;
        request.flow = opened.flow;
        request.request = copy;
        request.upstream = it.second;
        request.token = {};
        request.relayHops = 0;
        request.deadlineMs = it.deadline.remainingMs(now);
        request.payload = it.payload;
        sendToUpstream(request, output);
    }
    if (isUsed)
        return;
    // The attempts ended before the flow was open.
    closeFlow(opened.flow, opened.upstream, output);
}

void RequestHedging::handleSecondAnswer(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto attempt = m_attempts.find(packet.request);
    if (attempt == m_attempts.end()) {
        ++m_context.counters.droppedCrossedAnswers;
        return;
    }
    const auto key = attempt->second;
    auto& it = m_requests.at(key);
    // The caller sees the answer of its own flow: that keeps its upstream and its token.
    auto answer = packet;
    answer.flow = key.flow;
    answer.request = key.request;
    answer.upstream = it.first;
    answer.token = m_context.tokens.issue(key.flow, it.first);
    answer.relayHops = 0;
    ++m_context.counters.packetsToCallers;
    ++m_context.counters.hedgesWon;
    output.sendToCaller(answer);
    m_services[it.service].policy.recordLatency(now - it.sentAt, now);
    it.dropsNextReply = !it.isFirstRefused;
    if (!it.isFirstRefused)
        sendCancel(it, key, it.first, output);
    removeAttempt(it, output);
    end(it, output);
}

void RequestHedging::failAttempt(core::RequestId copy, BalancerOutput& output)
{
    const auto attempt = m_attempts.find(copy);
    if (attempt == m_attempts.end())
        return;
    auto& it = m_requests.at(attempt->second);
    removeAttempt(it, output);
    it.state = State::Failed;
    if (!it.isFirstRefused)
        return;
    ++m_context.counters.refusedOutcomeUnknown;
    output.sendToCaller(makeRefusal(it.request, RefusalKind::OutcomeUnknown));
    end(it, output);
}

void RequestHedging::failAttemptsAt(core::UpstreamId second, const core::Endpoint& service, BalancerOutput& output)
{
    const auto isThere
        = [&](const Key& key, const TrackedRequest& it) { return it.second == second && key.flow.service == service; };
    failAttemptsIf(isThere, output);
}

void RequestHedging::failAttemptsAtGoneUpstreams(BalancerOutput& output)
{
    const auto isGone = [&](const Key&, const TrackedRequest& it) {
        return !m_context.upstreams.isRunning(it.second, it.secondIncarnation);
    };
    failAttemptsIf(isGone, output);
}

void RequestHedging::failAttemptsIf(
    const std::function<bool(const Key&, const TrackedRequest&)>& condition, BalancerOutput& output)
{
    std::vector<core::RequestId> failed;
    for (const auto& [copy, key] : m_attempts) {
        if (condition(key, m_requests.at(key)))
            failed.push_back(copy);
    }
    for (const auto copy : failed)
        failAttempt(copy, output);
}

void RequestHedging::cancelAttempt(TrackedRequest& it, BalancerOutput& output)
{
    if (it.isCopySent)
        sendCancel(it, { ownFlow(it.request.flow.service), it.copyId }, it.second, output);
    removeAttempt(it, output);
}

void RequestHedging::sendCancel(
    const TrackedRequest& it, const Key& attempt, core::UpstreamId upstream, BalancerOutput& output)
{
    Packet cancel;
    cancel.type = PacketType::Cancel;
    cancel.flow = attempt.flow;
    cancel.kind = it.request.kind;
    cancel.request = attempt.request;
    cancel.upstream = upstream;
    sendToUpstream(cancel, output);
}

void RequestHedging::closeFlow(const core::FlowKey& flow, core::UpstreamId upstream, BalancerOutput& output)
{
    Packet close;
    close.type = PacketType::Close;
    close.flow = flow;
    close.upstream = upstream;
    sendToUpstream(close, output);
}

void RequestHedging::removeAttempt(TrackedRequest& it, BalancerOutput& output)
{
    m_attempts.erase(it.copyId);
    m_context.placer.noteSecondFinished(it.second, it.service);
    const auto& service = it.request.flow.service;
    const bool isFlowUsed = std::ranges::any_of(m_attempts, [&](const auto& attempt) {
        return m_requests.at(attempt.second).second == it.second && attempt.second.flow.service == service;
    });
    if (isFlowUsed)
        return;
    closeFlow(ownFlow(service), it.second, output);
}

} // namespace ibisgw::balancer
