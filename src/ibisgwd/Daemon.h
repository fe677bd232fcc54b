#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/MessageAuthenticator.h"
#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/balancer/Balancer.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/settings/DaemonSettings.h"

namespace ibisgwd {

// Connects the state machines of one process to sockets, files and the clock.
class Daemon final : private ibisgw::balancer::BalancerOutput {
public:
    static ibisgw::core::Result<std::unique_ptr<Daemon>> create(ibisgw::settings::DaemonSettings);
    ~Daemon() override;

    void run();

private:
    struct Sockets {
        ibisgw::adapters::UdpSocket callerSide;
        ibisgw::adapters::UdpSocket upstreamSide;
        ibisgw::adapters::UdpSocket control;
    };

    Daemon(ibisgw::settings::DaemonSettings, Sockets, const ibisgw::adapters::KeyRing&);

    void sendToUpstream(ibisgw::core::UpstreamId, const ibisgw::packet::Packet&) override;
    void sendToCaller(const ibisgw::packet::Packet&) override;
    void sendToPeer(ibisgw::core::NodeId, const ibisgw::packet::Packet&) override;

    void receiveFromCallers(std::span<const std::byte>);
    void receiveFromUpstreams(std::span<const std::byte>);
    void receiveFromPeers(std::span<const std::byte>);
    void sendPresence(ibisgw::adapters::FrameKind);
    void forwardAnnouncement(std::span<const std::byte>);

    ibisgw::settings::DaemonSettings m_settings;
    Sockets m_sockets;
    ibisgw::core::NodeId m_self;
    ibisgw::core::PcgRandomSource m_random;
    ibisgw::adapters::MessageAuthenticator m_authenticator;
    ibisgw::balancer::Balancer m_balancer;
    ibisgw::adapters::EventLoop m_loop;
    ibisgw::adapters::Datagram m_packetBuffer;
    ibisgw::adapters::Datagram m_messageBuffer;
    std::uint64_t m_malformedDatagrams { 0 };
};

} // namespace ibisgwd
