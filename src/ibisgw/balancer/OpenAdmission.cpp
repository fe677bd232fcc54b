#include "ibisgw/balancer/OpenAdmission.h"

#include "ibisgw/balancer/Refusal.h"

#include <algorithm>

namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;
using request::OpenRecord;
using request::OpenState;

namespace {

constexpr std::size_t maxOpens = 65'536;
constexpr std::size_t maxRequests = 16'384;
// Late copies of an open are ignored for this long after the flow has ended.
constexpr core::Duration endedFlowRetention = request::maxOpenDelay;
constexpr core::Duration openLifetimeWithoutDeadline = std::chrono::seconds(10);
constexpr core::Duration requestLifetimeWithoutDeadline = std::chrono::seconds(30);

} // namespace

OpenAdmission::OpenAdmission(const AdmissionContext& context)
    : m_context(context)
    , m_opens(maxOpens)
    , m_requests(maxRequests)
{
}

void OpenAdmission::homesChanged()
{
    // The callers of the queued opens repeat them, and the new homes admit the copies.
    std::vector<core::FlowKey> moved;
    m_opens.forEach([&](const core::FlowKey& flow, const OpenRecord& record) {
        if (record.state == OpenState::Queued && !m_context.homes.isHome(flow))
            moved.push_back(flow);
    });
    for (const auto& it : moved) {
        eraseWaiting(it, *m_opens.find(it));
        m_opens.erase(it);
    }
}

void OpenAdmission::eraseWaiting(const core::FlowKey& flow, const OpenRecord& record)
{
    if (const auto it = m_services.find(record.service); it != m_services.end())
        it->second.eraseWaiting(flow, record.open.kind);
}

core::UpstreamId OpenAdmission::upstreamOf(const core::FlowKey& flow) const
{
    const auto* record = m_opens.find(flow);
    return record && !record->upstreams.empty() ? record->upstreams.back() : core::UpstreamId {};
}

core::UpstreamId OpenAdmission::establishedUpstreamOf(const core::FlowKey& flow) const
{
    const auto* record = m_opens.find(flow);
    return record && record->state == OpenState::Established ? record->upstreams.back() : core::UpstreamId {};
}

void OpenAdmission::handleCancel(const Packet& packet, core::TimePoint now)
{
    m_requests.erase({ packet.flow, packet.request });
    if (packet.request == 0)
        endFlow(packet.flow, now);
}

bool OpenAdmission::handleOpenCopy(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    auto* record = m_opens.find(packet.flow);
    if (!record)
        return false;
    if (record->state == OpenState::Queued || record->state == OpenState::Ended)
        return true;
    // A caller that repeats its open has not received `opened` when it sends the copy, so it has sent no request to the
    // upstream that is gone, ejected or evacuated. Only a copy may therefore trigger a retry: without one, the flow may
    // have been in use until the upstream went away.
    const auto upstream = record->upstreams.back();
    const bool mayRetry = record->state == OpenState::Forwarded;
    const bool isUnfit = !m_context.upstreams.isRunning(upstream) || m_context.upstreams.isEvacuated(upstream)
        || m_context.placer.isEjected(upstream, service, now);
    if (mayRetry && isUnfit) {
        if (retry(*record, service, now, output))
            return true;
        if (!m_context.upstreams.isRunning(upstream)) {
            refuse(packet, RefusalKind::OutcomeUnknown, output);
            endFlow(packet.flow, now);
            return true;
        }
    }
    if (!m_context.placer.upstreamOf(packet.flow, now).isValid())
        m_context.placer.restoreFlow(packet, upstream, service, now);
    return false;
}

void OpenAdmission::recordForwarded(const Packet& packet, core::UpstreamId upstream, core::TimePoint now)
{
    if (packet.type != PacketType::Request)
        return;
    const request::Deadline deadline(packet.deadlineMs, now);
    m_requests.insert({ packet.flow, packet.request },
        { upstream, packet.kind, deadline.expiresAt(now + requestLifetimeWithoutDeadline) });
}

bool OpenAdmission::admit(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    auto& load = m_services[service.name];
    ++m_context.counters.opensReceived;
    load.retries().recordOpen(now);
    const auto* kind = service.findKind(packet.kind);
    const bool isRefusedInPartition
        = m_isPartitioned && kind && kind->onPartition == configuration::PartitionBehaviour::Refuse;
    const bool isRefused = isRefusedInPartition || m_context.placer.isEvacuated(service.name);
    const request::Deadline deadline(packet.deadlineMs, now);
    auto* record = isRefused ? nullptr : m_opens.insert(packet.flow);
    if (!record) {
        refuse(packet, RefusalKind::NotRun, output);
        return false;
    }
    record->service = service.name;
    record->open = packet;
    record->payload.assign(packet.payload.begin(), packet.payload.end());
    record->open.payload = record->payload;
    record->deadline = deadline;
    record->receivedAt = now;
    record->expiresAt = deadline.expiresAt(now + openLifetimeWithoutDeadline);
    if (!kind)
        return true;
    const auto admission = load.admit(packet.flow, *kind, deadline, now);
    record->holdsCapacity = admission == request::Admission::Start;
    if (admission == request::Admission::Start)
        return true;
    record->state = OpenState::Queued;
    if (admission == request::Admission::Refuse) {
        m_opens.erase(packet.flow);
        ++m_context.counters.opensShed;
        refuse(packet, RefusalKind::NotRun, output);
    }
    return false;
}

void OpenAdmission::recordPlacement(const Packet& packet, core::UpstreamId upstream, core::TimePoint now)
{
    auto* record = m_opens.find(packet.flow);
    if (!record)
        return;
    if (!upstream.isValid()) {
        releaseCapacity(*record, false, now);
        m_opens.erase(packet.flow);
        return;
    }
    ++m_context.counters.opensForwarded;
    record->state = OpenState::Forwarded;
    record->forwardedAt = now;
    record->upstreams.push_back(upstream);
}

bool OpenAdmission::handleUpstreamPacket(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    if (packet.type == PacketType::Opened && m_context.rules.relayOpenedToHome) {
        if (m_context.relay.relayToHome(packet, now, output))
            return true;
        const auto* record = m_opens.find(packet.flow);
        const auto upstream = m_context.placer.upstreamOf(packet.flow, now);
        const bool hasEnded = record && record->state == OpenState::Ended;
        if (hasEnded || (upstream.isValid() && upstream != packet.upstream)) {
            ++m_context.counters.droppedCrossedAnswers;
            close(packet.flow, packet.upstream, output);
            return true;
        }
        handleOpened(packet, now);
        return false;
    }
    if (packet.type == PacketType::Refusal && packet.request == 0)
        return m_context.relay.relayToHome(packet, now, output) || handleOpenRefusal(packet, service, now, output);
    if (packet.type == PacketType::Answer || packet.type == PacketType::Refusal)
        m_requests.erase({ packet.flow, packet.request });
    return false;
}

void OpenAdmission::handleOpened(const Packet& packet, core::TimePoint now)
{
    auto* record = m_opens.find(packet.flow);
    if (record && record->state == OpenState::Queued) {
        // A previous home has forwarded another copy of the open, and its upstream has established the flow.
        eraseWaiting(packet.flow, *record);
        record->upstreams.push_back(packet.upstream);
        record->state = OpenState::Established;
    }
    if (!record || record->state != OpenState::Forwarded)
        return;
    record->state = OpenState::Established;
    const auto service = m_services.find(record->service);
    if (service != m_services.end() && record->holdsCapacity && !service->second.occupiesSlot(record->open.kind))
        releaseCapacity(*record, true, now);
}

bool OpenAdmission::handleOpenRefusal(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    auto* record = m_opens.find(packet.flow);
    if (!record) {
        // Without a record there is no open to retry, so the upstream's refusal is forwarded unchanged.
        ++m_context.counters.packetsToCallers;
        output.sendToCaller(packet);
        return true;
    }
    if (record->state != OpenState::Forwarded || record->upstreams.back() != packet.upstream)
        return true;
    if (retry(*record, service, now, output))
        return true;
    refuse(record->open, RefusalKind::NotRun, output);
    releaseCapacity(*record, false, now);
    m_context.placer.dropFlow(packet.flow, now);
    endFlow(packet.flow, now);
    return true;
}

bool OpenAdmission::retry(
    OpenRecord& record, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const auto* kind = service.findKind(record.open.kind);
    if (!kind || record.upstreams.size() > kind->retryLimit || record.deadline.isExpired(now))
        return false;
    if (!m_services[service.name].retries().takeRetry(now))
        return false;
    const auto upstream = m_context.placer.placeFlow(record.open, service, record.upstreams, now);
    if (!upstream.isValid())
        return false;
    record.upstreams.push_back(upstream);
    record.forwardedAt = now;
    auto open = record.open;
    open.upstream = upstream;
    open.deadlineMs = record.deadline.remainingMs(now);
    ++m_context.counters.opensForwarded;
    ++m_context.counters.opensRetried;
    ++m_context.counters.packetsToUpstreams;
    output.sendToUpstream(upstream, open);
    return true;
}

std::optional<Packet> OpenAdmission::takeAdmitted(core::TimePoint now, BalancerOutput& output)
{
    for (auto& [name, load] : m_services) {
        while (const auto flow = load.takeWaiting()) {
            auto* record = m_opens.find(*flow);
            if (!record)
                continue;
            record->holdsCapacity = true;
            if (record->deadline.isExpired(now)) {
                refuse(record->open, RefusalKind::NotRun, output);
                releaseCapacity(*record, false, now);
                endFlow(*flow, now);
                continue;
            }
            auto open = record->open;
            open.payload = record->payload;
            open.deadlineMs = record->deadline.remainingMs(now);
            return open;
        }
    }
    return std::nullopt;
}

bool OpenAdmission::endFlow(const core::FlowKey& flow, core::TimePoint now)
{
    auto* record = m_opens.find(flow);
    if (!record)
        record = m_opens.insert(flow);
    if (!record)
        return false;
    const bool wasQueued = record->state == OpenState::Queued;
    if (wasQueued)
        eraseWaiting(flow, *record);
    releaseCapacity(*record, true, now);
    record->state = OpenState::Ended;
    record->expiresAt = now + endedFlowRetention;
    if (!m_context.rules.rememberEndedFlows)
        m_opens.erase(flow);
    return wasQueued;
}

void OpenAdmission::releaseFlow(const core::FlowKey& flow, core::TimePoint now)
{
    if (auto* record = m_opens.find(flow))
        releaseCapacity(*record, false, now);
}

void OpenAdmission::releaseCapacity(OpenRecord& record, bool completed, core::TimePoint now)
{
    const auto it = m_services.find(record.service);
    if (!record.holdsCapacity || it == m_services.end())
        return;
    record.holdsCapacity = false;
    const auto remaining = record.deadline.remaining(now);
    // Time in this balancer's admission queue doesn't indicate congestion at the upstreams.
    const auto elapsedSeconds = core::toSeconds(now - record.forwardedAt);
    if (!completed || !remaining)
        it->second.release(record.open.kind, now);
    else
        it->second.complete(record.open.kind, elapsedSeconds / (elapsedSeconds + core::toSeconds(*remaining)), now);
}

void OpenAdmission::refuse(const Packet& packet, RefusalKind kind, BalancerOutput& output)
{
    ++(kind == RefusalKind::NotRun ? m_context.counters.refusedNotRun : m_context.counters.refusedOutcomeUnknown);
    output.sendToCaller(makeRefusal(packet, kind));
}

void OpenAdmission::close(const core::FlowKey& flow, core::UpstreamId upstream, BalancerOutput& output)
{
    Packet packet;
    packet.type = PacketType::Close;
    packet.flow = flow;
    packet.upstream = upstream;
    ++m_context.counters.packetsToUpstreams;
    output.sendToUpstream(upstream, packet);
}

} // namespace ibisgw::balancer
