#include "ibisgw/balancer/OpenAdmission.h"

#include "ibisgw/balancer/Refusal.h"

// Periodic work of OpenAdmission. The handling of packets is in OpenAdmission.cpp.
namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;
using request::OpenRecord;
using request::OpenState;

namespace {

constexpr core::Duration maintenancePeriod = std::chrono::milliseconds(200);

} // namespace

void OpenAdmission::refuseRequestsOfGoneUpstreams(core::TimePoint now, BalancerOutput& output)
{
    for (auto it = m_incarnations.begin(); it != m_incarnations.end();) {
        const auto [id, incarnation] = *it;
        if (m_context.upstreams.isRunning(id, incarnation)) {
            ++it;
            continue;
        }
        it = m_incarnations.erase(it);
        m_requests.takeByUpstream(id, [&](const auto& request, const auto& entry) {
            Packet packet;
            packet.flow = request.flow;
            packet.request = request.request;
            packet.kind = entry.kind;
            auto refusal = makeRefusal(packet, m_context.rules.requestRefusal());
            if (!m_context.rules.requestsStayAtUpstream)
                resendRequest(packet, output);
            else if (!m_context.placer.holdsRefusal(refusal, now, output))
                refuse(packet, refusal.refusal, output);
        });
    }
    for (const auto& [id, record] : m_context.upstreams.records()) {
        if (m_context.upstreams.isRunning(id))
            m_incarnations.try_emplace(id, record.announcement.incarnation);
    }
}

void OpenAdmission::resendRequest(Packet packet, BalancerOutput& output)
{
    for (const auto& [id, record] : m_context.upstreams.records()) {
        if (!m_context.upstreams.isRunning(id))
            continue;
        packet.type = PacketType::Open;
        output.sendToUpstream(id, packet);
        packet.type = PacketType::Request;
        output.sendToUpstream(id, packet);
        return;
    }
}

void OpenAdmission::refuseQueuedOfEvacuatedServices(BalancerOutput& output)
{
    if (!m_context.upstreams.hasEvacuatedZones())
        return;
    std::vector<core::FlowKey> refused;
    m_opens.forEach([&](const core::FlowKey& flow, const OpenRecord& record) {
        if (record.state == OpenState::Queued && m_context.placer.isEvacuated(record.service))
            refused.push_back(flow);
    });
    for (const auto& it : refused) {
        const auto& record = *m_opens.find(it);
        refuse(record.open, RefusalKind::NotRun, output);
        eraseWaiting(it, record);
        m_opens.erase(it);
    }
}

void OpenAdmission::tick(core::TimePoint now, BalancerOutput& output)
{
    if (now < m_nextMaintenanceAt)
        return;
    m_nextMaintenanceAt = now + maintenancePeriod;
    m_requests.removeExpired(now);
    refuseRequestsOfGoneUpstreams(now, output);
    refuseQueuedOfEvacuatedServices(output);
    m_opens.removeExpired(now, [&](const core::FlowKey& flow, OpenRecord& record) {
        if (record.state == OpenState::Queued) {
            refuse(record.open, RefusalKind::NotRun, output);
            eraseWaiting(flow, record);
        }
        // The close was lost or the caller has gone away, so the duration of the flow says nothing about load.
        if (record.holdsCapacity)
            m_context.placer.releaseFlow(flow, now);
        releaseCapacity(record, false, now);
    });
}

} // namespace ibisgw::balancer
