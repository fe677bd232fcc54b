#pragma once

#include "ibisgw/adapters/AdminApi.h"
#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/membership/MembershipNode.h"
#include "ibisgw/settings/DaemonSettings.h"
#include "ibisgwd/BalancerRole.h"
#include "ibisgwd/ControlClient.h"
#include "ibisgwd/ControllerRole.h"
#include "ibisgwd/DaemonBackend.h"
#include "ibisgwd/HandOverSender.h"
#include "ibisgwd/PeerNetwork.h"

namespace ibisgwd {

// Daemon process: runs membership, the balancer and controller roles and the administration API on one event loop, and
// dispatches the messages of other daemons to them.
class Daemon final : private ibisgw::membership::MembershipEvents {
public:
    static ibisgw::core::Result<std::unique_ptr<Daemon>> create(ibisgw::settings::DaemonSettings);
    ~Daemon() override;

    void run();

private:
    Daemon(ibisgw::settings::DaemonSettings, ibisgw::adapters::UdpSocket control, const ibisgw::adapters::KeyRing&);

    void announcementReceived(const ibisgw::upstream::Announcement&) override;
    void flowRecordReceived(const ibisgw::membership::FlowRecordItem&) override;
    void revisionInForce(const ibisgw::configuration::AcceptedRevision&) override;
    void groupChanged() override { }
    void pauseDetected(ibisgw::core::Duration) override;

    void receive(ibisgw::core::NodeId sender, ibisgw::adapters::Channel, std::span<const std::byte> body);
    void tick();
    void updateRing();
    void updatePartition();
    void chargeConsensusBytes();
    void tickBalancer();
    void publishFlowRecords();
    void beginShutdown();
    void handleControlMessage(ibisgw::core::NodeId sender, std::span<const std::byte> body);
    void answerRequest(ibisgw::core::NodeId sender, const ibisgw::adapters::ControlRequest&);
    ibisgw::core::Result<void> startRoles(const ibisgw::adapters::KeyRing&);
    ibisgw::core::Result<void> startApi();

    ibisgw::settings::DaemonSettings m_settings;
    ibisgw::core::PcgRandomSource m_random;
    ibisgw::adapters::EventLoop m_loop;
    PeerNetwork m_network;
    ibisgw::membership::MembershipNode m_membership;
    ControlClient m_client;
    std::unique_ptr<BalancerRole> m_balancer;
    std::unique_ptr<HandOverSender> m_handOvers;
    std::unique_ptr<ControllerRole> m_controller;
    // Document in force; null before the first one.
    std::shared_ptr<const ibisgw::configuration::Document> m_document;
    DaemonBackend m_backend;
    std::unique_ptr<ibisgw::adapters::AdminApi> m_api;
    std::vector<ibisgw::flow::RingMember> m_ring;
    bool m_hasSeenController { false };
    std::uint64_t m_chargedConsensusBytes { 0 };
    std::optional<ibisgw::core::TimePoint> m_shutdownAt;
};

} // namespace ibisgwd
