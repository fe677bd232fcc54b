#pragma once

#include "ibisgw/configuration/RaftNode.h"
#include "ibisgw/configuration/RegisterState.h"

#include <cstdint>
#include <set>

namespace ibisgw::configuration {

enum class ReplaceStatus : std::uint8_t {
    Accepted, // this version or a higher one is held by a majority of disks
    Pending,
    Unknown, // not decided here; the sender repeats the change at any controller
};

// A configuration with absolute versions that controllers agree on; the highest version is in force. Adds to
// Raft the answers to changes and the recovery from a store that refuses writes for a while.
class ConfigurationRegister {
public:
    ConfigurationRegister(RaftOptions, LogStore&, core::RandomSource&);

    // Loads the store; call once before anything else.
    core::Result<void> start(core::TimePoint now);
    void handleMessage(core::NodeId from, const RaftMessage&, core::TimePoint now, RaftOutput&);
    // Call at least ten times a second.
    void tick(core::TimePoint now, RaftOutput&);

    // The status of a change that needs no proposal here: it is held, proposed already, or for another controller.
    // Empty when replace() would propose it.
    std::optional<ReplaceStatus> statusWithoutProposal(std::uint64_t version) const;
    // Proposes a change on the leader. Ask statusOf() while the status is Pending.
    ReplaceStatus replace(std::uint64_t version, const std::string& text, core::TimePoint now, RaftOutput&);
    ReplaceStatus statusOf(std::uint64_t version) const;

    std::optional<ReadTicket> beginRead(core::TimePoint now, RaftOutput&);
    ReadState readState(const ReadTicket& ticket) const { return m_raft.readState(ticket); }

    // Newest accepted configuration that this controller knows; another may know a newer one.
    std::uint64_t version() const { return m_state.version(); }
    const std::string& text() const { return m_state.text(); }

    const RaftNode& raft() const { return m_raft; }
    const Membership& membership() const { return m_raft.log().membership(); }

private:
    void restartAfterFailure(core::TimePoint now);
    bool isPending(std::uint64_t version) const;

    RegisterState m_state;
    RaftNode m_raft;
    // Versions proposed in the present term.
    std::set<std::uint64_t> m_pending;
    Term m_pendingTerm { 0 };
    core::TimePoint m_nextRestart {};
};

} // namespace ibisgw::configuration
