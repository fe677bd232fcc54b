#pragma once

#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/balancer/Balancer.h"
#include "ibisgw/settings/DaemonSettings.h"
#include "ibisgwd/HedgeLog.h"
#include "ibisgwd/HopTracer.h"

#include <functional>

namespace ibisgw::adapters {
class EventLoop;
}

namespace ibisgwd {

class PeerNetwork;

// Runs a Balancer on the UDP sockets to callers and upstreams: decodes and encodes packets, records trace spans, and
// announces the balancer's presence to the fabric.
class BalancerRole final : private ibisgw::balancer::BalancerOutput {
public:
    // Called for each announcement that an upstream sends to this balancer.
    using AnnouncementHandler = std::function<void(const ibisgw::upstream::Announcement&)>;

    static ibisgw::core::Result<std::unique_ptr<BalancerRole>> create(const ibisgw::settings::DaemonSettings&,
        const ibisgw::flow::FlowTokenCodec&, ibisgw::core::RandomSource&, ibisgw::adapters::EventLoop&, PeerNetwork&,
        AnnouncementHandler);
    ~BalancerRole() override;

    void start();
    // Sets whether the fabric may send packets to this balancer: false until it has the document in force and the flow
    // records of its group.
    void setReady(bool);
    // Withdraws permanently from the fabric. Packets that still arrive are handled as before.
    void withdraw();
    // True once no packet has arrived for a while after the withdrawal.
    bool isQuiet() const;
    void tick();
    void handleRelayed(std::span<const std::byte> datagram);

    ibisgw::balancer::Balancer& balancer() { return m_balancer; }
    const ibisgw::balancer::Balancer& balancer() const { return m_balancer; }
    std::uint64_t malformedDatagrams() const { return m_malformedDatagrams; }

private:
    struct Sockets {
        ibisgw::adapters::UdpSocket callerSide;
        ibisgw::adapters::UdpSocket upstreamSide;
    };

    BalancerRole(const ibisgw::settings::DaemonSettings&, Sockets, const ibisgw::flow::FlowTokenCodec&,
        ibisgw::core::RandomSource&, ibisgw::adapters::EventLoop&, PeerNetwork&, AnnouncementHandler,
        std::unique_ptr<ibisgw::adapters::TraceWriter>);

    void sendToUpstream(ibisgw::core::UpstreamId, const ibisgw::packet::Packet&) override;
    void sendToCaller(const ibisgw::packet::Packet&) override;
    void sendToPeer(ibisgw::core::NodeId, const ibisgw::packet::Packet&) override;
    void noteHedged(const ibisgw::balancer::HedgedRequest&) override;

    void receiveFromCallers(std::span<const std::byte>);
    void receiveFromUpstreams(std::span<const std::byte>);
    // Encodes the packet into the packet buffer, with the trace of the packet that caused it. Returns false if it is
    // too large.
    bool encode(const ibisgw::packet::Packet&);
    void sendPresence(ibisgw::adapters::FrameKind);

    ibisgw::adapters::EventLoop& m_loop;
    PeerNetwork& m_network;
    AnnouncementHandler m_announcementHandler;
    std::vector<ibisgw::core::Endpoint> m_fabrics;
    Sockets m_sockets;
    ibisgw::balancer::Balancer m_balancer;
    HopTracer m_tracer;
    HedgeLog m_hedgeLog;
    ibisgw::adapters::Datagram m_packetBuffer;
    ibisgw::core::TimePoint m_lastPacketAt;
    std::uint64_t m_malformedDatagrams { 0 };
    bool m_isReady { false };
    bool m_isWithdrawn { false };
};

} // namespace ibisgwd
