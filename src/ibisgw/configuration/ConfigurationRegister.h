#pragma once

#include "ibisgw/configuration/EvacuationOrders.h"
#include "ibisgw/configuration/RaftNode.h"
#include "ibisgw/configuration/RegisterState.h"

#include <cstdint>
#include <set>

namespace ibisgw::configuration {

enum class ReplaceStatus : std::uint8_t {
    Accepted, // this version or a higher one is durable on a majority of the voters
    Pending, // proposed by this leader and not committed yet
    Unknown, // this controller cannot decide the change; the sender retries it at any controller
};

// A replicated register that holds one configuration text and the set of evacuated zones. The caller chooses the
// version numbers of the text, and the highest committed version is in force. Runs a RaftNode, tracks the status of
// proposed changes, and restarts the node after a store failure, so that a disk that rejects writes for a while does
// not stop the controller permanently.
class ConfigurationRegister {
public:
    ConfigurationRegister(RaftOptions, LogStore&, core::RandomSource&);

    // Loads the store; call once before anything else.
    core::Result<void> start(core::TimePoint now);
    void handleMessage(core::NodeId from, const RaftMessage&, core::TimePoint now, RaftOutput&);
    // Call at least ten times a second.
    void tick(core::TimePoint now, RaftOutput&);

    // Status of a change that replace() would not propose: its version or a higher one is already accepted or
    // pending, or this controller is not a leader that accepts commands. Empty when replace() would propose the change.
    std::optional<ReplaceStatus> statusWithoutProposal(std::uint64_t version) const;
    // Proposes a change on the leader. While the status is Pending, poll statusOf().
    ReplaceStatus replace(std::uint64_t version, const std::string& text, core::TimePoint now, RaftOutput&);
    ReplaceStatus statusOf(std::uint64_t version) const;

    // Starts a linearizable read; see RaftNode::beginRead().
    std::optional<ReadTicket> beginRead(core::TimePoint now, RaftOutput&);
    ReadState readState(const ReadTicket& ticket) const { return m_raft.readState(ticket); }

    // Planned stop; see RaftNode::beginLeave().
    void beginLeave(core::TimePoint now) { m_raft.beginLeave(now); }
    bool isLeaveComplete() const { return m_raft.isLeaveComplete(); }
    // See RaftNode::setSeeds().
    void setSeeds(std::vector<core::NodeId> seeds) { m_raft.setSeeds(std::move(seeds)); }

    // Newest committed configuration that this controller has applied; other controllers may have a newer one.
    std::uint64_t version() const { return m_state.version(); }
    const std::string& text() const { return m_state.text(); }
    // Highest version in the log of this controller, accepted or not.
    std::uint64_t loggedVersion() const;

    // Newest committed set of evacuated zones that this controller has applied.
    const upstream::ZoneEvacuations& evacuations() const { return m_state.evacuations(); }
    // Highest revision of evacuated zones in the log of this controller, committed or not.
    std::uint64_t loggedEvacuationRevision() const { return m_evacuationOrders.newest().evacuations.revision; }
    EvacuationOrders& evacuationOrders() { return m_evacuationOrders; }
    const EvacuationOrders& evacuationOrders() const { return m_evacuationOrders; }

    const RaftNode& raft() const { return m_raft; }
    const Membership& membership() const { return m_raft.log().membership(); }

private:
    void restartAfterFailure(core::TimePoint now);
    bool isPending(std::uint64_t version) const;

    RegisterState m_state;
    RaftNode m_raft;
    EvacuationOrders m_evacuationOrders;
    // Versions that this controller has proposed as leader of m_pendingTerm and that are not committed yet.
    std::set<std::uint64_t> m_pendingVersions;
    Term m_pendingTerm { 0 };
    core::TimePoint m_nextRestart {};
};

} // namespace ibisgw::configuration
