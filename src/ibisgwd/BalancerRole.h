#pragma once

#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/balancer/Balancer.h"
#include "ibisgw/settings/DaemonSettings.h"
#include "ibisgwd/HopTracer.h"

#include <functional>

namespace ibisgw::adapters {
class EventLoop;
}

namespace ibisgwd {

class PeerNetwork;

// Sockets of a balancer: packets of callers and upstreams in, packets to both out.
class BalancerRole final : private ibisgw::balancer::BalancerOutput {
public:
    // Called for each announcement that an upstream sent to this balancer.
    using AnnouncementHandler = std::function<void(const ibisgw::upstream::Announcement&)>;

    static ibisgw::core::Result<std::unique_ptr<BalancerRole>> create(const ibisgw::settings::DaemonSettings&,
        const ibisgw::flow::FlowTokenCodec&, ibisgw::core::RandomSource&, ibisgw::adapters::EventLoop&, PeerNetwork&,
        AnnouncementHandler);
    ~BalancerRole() override;

    void start();
    // Whether the fabric may send packets here: false until this balancer knows the document in force and
    // the flow records of its group.
    void setReady(bool);
    // Withdraws from the fabric; packets that still arrive are handled as before.
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

    void receiveFromCallers(std::span<const std::byte>);
    void receiveFromUpstreams(std::span<const std::byte>);
    // Encodes the packet with the trace of the packet that caused it; false when it is too large.
    bool encode(const ibisgw::packet::Packet&);
    void sendPresence(ibisgw::adapters::FrameKind);

    ibisgw::adapters::EventLoop& m_loop;
    PeerNetwork& m_network;
    AnnouncementHandler m_announcementHandler;
    std::vector<ibisgw::core::Endpoint> m_fabrics;
    Sockets m_sockets;
    ibisgw::balancer::Balancer m_balancer;
    HopTracer m_tracer;
    ibisgw::adapters::Datagram m_packetBuffer;
    ibisgw::core::TimePoint m_lastPacketAt;
    std::uint64_t m_malformedDatagrams { 0 };
    bool m_isReady { false };
    bool m_isWithdrawn { false };
};

} // namespace ibisgwd
