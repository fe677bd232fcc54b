#pragma once

#include "ibisgw/adapters/ControlRpc.h"
#include "ibisgw/adapters/FileLogStore.h"
#include "ibisgw/configuration/ConfigurationService.h"
#include "ibisgw/configuration/RaftOutput.h"
#include "ibisgw/settings/DaemonSettings.h"

#include <functional>
#include <memory>
#include <vector>

namespace ibisgw::adapters {
class EventLoop;
}

namespace ibisgwd {

class PeerNetwork;

// Runs a ConfigurationService: stores the Raft log on disk, exchanges Raft messages with other controllers on streams,
// and replies to the requests of daemons.
class ControllerRole final : private ibisgw::configuration::RaftOutput {
public:
    // Called once for each revision that this controller learns is committed.
    using RevisionHandler = std::function<void(const ibisgw::configuration::AcceptedRevision&)>;

    static ibisgw::core::Result<std::unique_ptr<ControllerRole>> create(const ibisgw::settings::DaemonSettings&,
        ibisgw::core::RandomSource&, ibisgw::adapters::EventLoop&, PeerNetwork&, RevisionHandler);
    ~ControllerRole() override;

    void tick();
    void handleConsensus(ibisgw::core::NodeId sender, std::span<const std::byte> body);
    void handleRequest(ibisgw::core::NodeId sender, const ibisgw::adapters::ControlRequest&);

    ibisgw::configuration::ConfigurationStatus status() const { return m_service.status(); }

private:
    // Sender of a submission that is not decided yet.
    struct WaitingSender {
        ibisgw::core::NodeId sender;
        std::uint64_t number { 0 };
        std::string submission;
        ibisgw::core::TimePoint receivedAt;
    };

    // Sender of a linearizable read that is not confirmed yet.
    struct WaitingReader {
        ibisgw::core::NodeId sender;
        std::uint64_t number { 0 };
        ibisgw::configuration::ReadTicket ticket;
        ibisgw::core::TimePoint receivedAt;
    };

    ControllerRole(const ibisgw::settings::DaemonSettings&, std::unique_ptr<ibisgw::adapters::FileLogStore>,
        ibisgw::core::RandomSource&, ibisgw::adapters::EventLoop&, PeerNetwork&, RevisionHandler);

    void send(ibisgw::core::NodeId, const ibisgw::configuration::RaftMessage&) override;
    void submit(ibisgw::core::NodeId sender, const ibisgw::adapters::ControlRequest&);
    void answerWaitingSenders();
    void readNewest(ibisgw::core::NodeId sender, const ibisgw::adapters::ControlRequest&);
    // Replies to a reader that has to ask the present leader.
    void redirectReader(ibisgw::core::NodeId sender, std::uint64_t number);
    void answerWaitingReaders();
    void publishCommitted();
    void reply(ibisgw::core::NodeId, ibisgw::adapters::ControlReply);
    std::vector<ibisgw::configuration::AcceptedRevision> newestRevisions(std::size_t limit) const;

    ibisgw::adapters::EventLoop& m_loop;
    PeerNetwork& m_network;
    std::unique_ptr<ibisgw::adapters::FileLogStore> m_store;
    ibisgw::configuration::ConfigurationService m_service;
    RevisionHandler m_revisionHandler;
    std::vector<WaitingSender> m_waiting;
    std::vector<WaitingReader> m_waitingReaders;
    ibisgw::core::Revision m_publishedRevision { 0 };
};

} // namespace ibisgwd
