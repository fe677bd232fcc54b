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
constexpr std::uint8_t maxRelayHops = 2;
// Packets live far shorter in the network; callers repeat an open for at most about this long.
constexpr core::Duration endedMemory = std::chrono::seconds(5);
constexpr core::Duration recordLifetime = std::chrono::seconds(10);
constexpr core::Duration requestLifetime = std::chrono::seconds(30);
constexpr core::Duration checkPeriod = std::chrono::milliseconds(200);

} // namespace

OpenAdmission::OpenAdmission(const AdmissionContext& context)
    : m_context(context)
    , m_handover(context.self)
    , m_opens(maxOpens)
    , m_requests(maxRequests)
{
}

void OpenAdmission::homesChanged(const flow::HomeRing& previous, core::TimePoint now)
{
    m_handover.homesChanged(previous, m_context.homes, now);
    // The new homes decide about the opens that wait here; their callers repeat them.
    std::vector<core::FlowKey> moved;
    m_opens.forEach([&](const core::FlowKey& flow, const OpenRecord& record) {
        if (record.state == OpenState::Queued && m_context.homes.homeOf(flow) != m_context.self)
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

bool OpenAdmission::handleCallerPacket(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    if (m_context.rules.tokenReplacesEntry && packet.token.isPresent()) {
        const auto* entry = m_context.flows.find(packet.flow, now);
        const auto* record = m_context.upstreams.find(packet.token.upstream);
        const bool differs = entry && entry->upstream != packet.token.upstream;
        if (differs && record && record->announcement.service == service.name
            && m_context.tokens.verify(packet.flow, packet.token))
            m_context.flows.insert(packet.flow, packet.token.upstream, now);
    }
    if (packet.type == PacketType::Open)
        return handleOpenCopy(packet, service, now, output);
    const bool leaves = packet.type == PacketType::Close || (packet.type == PacketType::Cancel && packet.request == 0);
    if (packet.type == PacketType::Cancel)
        m_requests.erase({ packet.flow, packet.request });
    if (!leaves)
        return false;
    const auto* record = m_opens.find(packet.flow);
    const bool wasQueued = record && record->state == OpenState::Queued;
    endFlow(packet.flow, now);
    return wasQueued;
}

bool OpenAdmission::handleOpenCopy(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    auto* record = m_opens.find(packet.flow);
    if (!record)
        return false;
    if (record->state == OpenState::Queued || record->state == OpenState::Ended)
        return true;
    // The caller repeats its open, so it had not seen `opened` when it sent this copy, and has sent no request to the
    // upstream that has gone. Without a copy nothing is retried: the flow may have been in use until the end.
    if (record->state == OpenState::Forwarded && isGone(record->upstreams.back())) {
        if (!retry(*record, service, now, output)) {
            refuse(packet, RefusalKind::OutcomeUnknown, output);
            endFlow(packet.flow, now);
        }
        return true;
    }
    m_context.flows.insert(packet.flow, record->upstreams.back(), now);
    return false;
}

void OpenAdmission::recordForwarded(
    const Packet& packet, core::UpstreamId upstream, core::TimePoint now, BalancerOutput& output)
{
    if (packet.type == PacketType::Request) {
        const request::Deadline deadline(packet.deadlineMs, now);
        m_requests.insert(
            { packet.flow, packet.request }, { upstream, packet.kind, deadline.expiresAt(now + requestLifetime) });
    } else if (packet.type == PacketType::Close) {
        // The home releases the capacity of the flow.
        relayToHome(packet, output);
    }
}

bool OpenAdmission::relayToPreviousHome(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    if (!m_context.rules.askPreviousHomes || !m_handover.relay(packet, now, output))
        return false;
    ++m_context.counters.packetsRelayed;
    return true;
}

bool OpenAdmission::admit(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    auto& load = m_services[service.name];
    ++m_context.counters.opensReceived;
    load.retries().recordOpen(now);
    const auto* kind = service.findKind(packet.kind);
    const bool refusedInPartition
        = m_partitioned && kind && kind->onPartition == configuration::PartitionBehaviour::Refuse;
    const request::Deadline deadline(packet.deadlineMs, now);
    auto* record = refusedInPartition ? nullptr : m_opens.insert(packet.flow);
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
    record->expiresAt = deadline.expiresAt(now + recordLifetime);
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

void OpenAdmission::recordPlacement(const Packet& packet, core::TimePoint now)
{
    auto* record = m_opens.find(packet.flow);
    if (!record)
        return;
    const auto* entry = m_context.flows.find(packet.flow, now);
    if (!entry) {
        releaseCapacity(*record, false, now);
        m_opens.erase(packet.flow);
        return;
    }
    ++m_context.counters.opensForwarded;
    record->state = OpenState::Forwarded;
    record->forwardedAt = now;
    record->upstreams.push_back(entry->upstream);
}

bool OpenAdmission::relayToHome(const Packet& packet, BalancerOutput& output)
{
    const auto home = m_context.homes.homeOf(packet.flow);
    if (!home.isValid() || home == m_context.self || packet.relayHops >= maxRelayHops)
        return false;
    auto relayed = packet;
    ++relayed.relayHops;
    ++m_context.counters.packetsRelayed;
    output.sendToPeer(home, relayed);
    return true;
}

bool OpenAdmission::handleUpstreamPacket(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    if (packet.type == PacketType::Opened && m_context.rules.openedThroughHome) {
        if (relayToHome(packet, output))
            return true;
        const auto* record = m_opens.find(packet.flow);
        const auto* entry = m_context.flows.find(packet.flow, now);
        const bool hasEnded = record && record->state == OpenState::Ended;
        if (hasEnded || (entry && entry->upstream != packet.upstream)) {
            ++m_context.counters.droppedCrossedAnswers;
            close(packet.flow, packet.upstream, output);
            return true;
        }
        handleOpened(packet, now);
        return false;
    }
    if (packet.type == PacketType::Refusal && packet.request == 0)
        return relayToHome(packet, output) || handleOpenRefusal(packet, service, now, output);
    if (packet.type == PacketType::Answer || packet.type == PacketType::Refusal)
        m_requests.erase({ packet.flow, packet.request });
    return false;
}

void OpenAdmission::handleOpened(const Packet& packet, core::TimePoint now)
{
    auto* record = m_opens.find(packet.flow);
    if (record && record->state == OpenState::Queued) {
        // A previous home had forwarded another copy of the open.
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
        // Without a record there is nothing to retry. The refusal is the upstream's own word.
        ++m_context.counters.packetsToCallers;
        output.sendToCaller(packet);
        return true;
    }
    if (record->state != OpenState::Forwarded || record->upstreams.back() != packet.upstream)
        return true;
    if (retry(*record, service, now, output))
        return true;
    refuse(record->open, RefusalKind::NotRun, output);
    m_context.flows.erase(packet.flow);
    releaseCapacity(*record, false, now);
    endFlow(packet.flow, now);
    return true;
}

bool OpenAdmission::retry(
    OpenRecord& record, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const auto* kind = service.findKind(record.open.kind);
    if (!kind || record.upstreams.size() > kind->retryLimit || record.deadline.isExpired(now))
        return false;
    auto candidates = m_context.upstreams.eligible(service.name);
    std::erase_if(
        candidates, [&](const auto& it) { return std::ranges::find(record.upstreams, it) != record.upstreams.end(); });
    if (candidates.empty() || !m_services[service.name].retries().takeRetry(now))
        return false;
    const auto upstream = candidates[m_context.random.below(candidates.size())];
    if (!m_context.flows.insert(record.open.flow, upstream, now))
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

void OpenAdmission::endFlow(const core::FlowKey& flow, core::TimePoint now)
{
    auto* record = m_opens.find(flow);
    if (!record)
        record = m_opens.insert(flow);
    if (!record)
        return;
    if (record->state == OpenState::Queued)
        eraseWaiting(flow, *record);
    releaseCapacity(*record, true, now);
    record->state = OpenState::Ended;
    record->expiresAt = now + endedMemory;
    if (!m_context.rules.rememberEndedFlows)
        m_opens.erase(flow);
}

void OpenAdmission::releaseCapacity(OpenRecord& record, bool completed, core::TimePoint now)
{
    const auto it = m_services.find(record.service);
    if (!record.holdsCapacity || it == m_services.end())
        return;
    record.holdsCapacity = false;
    const auto remaining = record.deadline.remaining(now);
    // The wait in the own queue is not a sign of congested upstreams.
    const auto spent = core::toSeconds(now - record.forwardedAt);
    if (!completed || !remaining)
        it->second.release(record.open.kind, now);
    else
        it->second.complete(record.open.kind, spent / (spent + core::toSeconds(*remaining)), now);
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

bool OpenAdmission::isGone(core::UpstreamId upstream) const
{
    const auto* record = m_context.upstreams.find(upstream);
    return !record || record->announcement.state == upstream::UpstreamState::Stopped;
}

void OpenAdmission::refuseRequestsOfGoneUpstreams(BalancerOutput& output)
{
    for (auto it = m_incarnations.begin(); it != m_incarnations.end();) {
        const auto [id, incarnation] = *it;
        const bool isSame = !isGone(id) && m_context.upstreams.find(id)->announcement.incarnation == incarnation;
        if (isSame) {
            ++it;
            continue;
        }
        it = m_incarnations.erase(it);
        m_requests.takeOf(id, [&](const auto& request, const auto& entry) {
            Packet packet;
            packet.flow = request.flow;
            packet.request = request.request;
            packet.kind = entry.kind;
            if (m_context.rules.requestsStayAtUpstream)
                refuse(packet, m_context.rules.requestRefusal(), output);
            else
                moveRequest(packet, output);
        });
    }
    for (const auto& [id, record] : m_context.upstreams.records()) {
        if (!isGone(id))
            m_incarnations.try_emplace(id, record.announcement.incarnation);
    }
}

void OpenAdmission::moveRequest(Packet packet, BalancerOutput& output)
{
    for (const auto& [id, record] : m_context.upstreams.records()) {
        if (isGone(id))
            continue;
        packet.type = PacketType::Open;
        output.sendToUpstream(id, packet);
        packet.type = PacketType::Request;
        output.sendToUpstream(id, packet);
        return;
    }
}

void OpenAdmission::tick(core::TimePoint now, BalancerOutput& output)
{
    if (now < m_nextCheckAt)
        return;
    m_nextCheckAt = now + checkPeriod;
    m_handover.tick(now);
    m_requests.removeExpired(now);
    refuseRequestsOfGoneUpstreams(output);
    m_opens.removeExpired(now, [&](const core::FlowKey& flow, OpenRecord& record) {
        if (record.state == OpenState::Queued) {
            refuse(record.open, RefusalKind::NotRun, output);
            eraseWaiting(flow, record);
        }
        // The close was lost or the caller is gone, which says nothing about load.
        releaseCapacity(record, false, now);
    });
}

} // namespace ibisgw::balancer
