#pragma once

#include "ibisgw/configuration/RaftLog.h"
#include "ibisgw/configuration/RaftOptions.h"
#include "ibisgw/configuration/RaftOutput.h"
#include "ibisgw/configuration/RaftRole.h"
#include "ibisgw/configuration/StateMachine.h"
#include "ibisgw/core/RandomSource.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace ibisgw::configuration {

// A linearizable read in progress, which may be served once the leadership is confirmed and the entries up to the read
// index are applied (Ongaro, dissertation, 6.4).
struct ReadTicket {
    Term term { 0 };
    std::uint64_t sequence { 0 };
    // Read index: the commit index when the read began.
    LogIndex index { 0 };
};

enum class ReadState : std::uint8_t {
    Pending, // the leadership is not confirmed yet, or the read index is not applied yet
    Ready, // the state machine may be read
    Lost, // this controller is no longer the leader of that term
};

// Raft consensus module of one controller (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", ATC 2014; Ongaro, "Consensus: Bridging Theory and Practice", 2014, cited as dissertation). Every public
// function writes to the store, syncs it, and only then sends messages (ATC 2014, figure 2: persistent state is
// updated before responding to RPCs).
class RaftNode {
public:
    RaftNode(RaftOptions, LogStore&, StateMachine&, core::RandomSource&);

    // Loads the store. Must succeed before any other call.
    core::Result<void> start(core::TimePoint now);
    void handleMessage(core::NodeId from, const RaftMessage&, core::TimePoint now, RaftOutput&);
    // Call at least ten times a second.
    void tick(core::TimePoint now, RaftOutput&);

    // Appends a command to the log and returns its index. Empty when this controller is not a leader that accepts
    // commands, or when the store failed. The command is accepted once the commit index reaches the index in this term.
    std::optional<LogIndex> propose(std::string command, core::TimePoint now, RaftOutput&);
    // Starts a linearizable read; poll readState() until it is not Pending. Empty when this controller is not a leader
    // that has committed an entry of its term (dissertation, 6.4).
    std::optional<ReadTicket> beginRead(core::TimePoint now, RaftOutput&);
    ReadState readState(const ReadTicket&) const;

    // Proposes a membership without the given member; the removal is complete once that membership is committed. Fails
    // with Unavailable when this controller is not the leader or cannot change the membership now.
    core::Result<void> removeMember(core::NodeId, core::TimePoint now, RaftOutput&);

    // Begins a planned stop: the leader is asked to remove this controller, if enough others remain. Otherwise it would
    // remain a voter for the removal timeout, and the loss of another disk in that time could leave no majority.
    void beginLeave(core::TimePoint now);
    // True once this controller is no member any more, or must remain one, so that the process may end.
    bool isLeaveComplete() const;

    // Sets the controllers at which a controller with an open membership looks for its group. Those that may bootstrap
    // a group stay the ones of the start, so that two groups cannot be bootstrapped.
    void setSeeds(std::vector<core::NodeId> seeds) { m_seeds = std::move(seeds); }

    RaftRole role() const { return m_role; }
    Term term() const { return m_vote.term; }
    core::NodeId leader() const { return m_leader; }
    LogIndex commitIndex() const { return m_commitIndex; }
    LogIndex appliedIndex() const { return m_appliedIndex; }
    DiskIdentity disk() const { return m_disk; }
    const RaftLog& log() const { return m_log; }
    // Why this controller accepts no commands; empty when it accepts them or another controller may.
    const std::string& problem() const { return m_problem; }
    // True on a voter whose disk is confirmed: its log holds every entry that it has acknowledged.
    bool isConfirmedVoter() const { return m_role != RaftRole::Halted && m_isDiskConfirmed && isSelfVoter(); }
    // True on a leader that accepts commands.
    bool isAccepting() const;
    // On a leader, number of voters with lost disks that its quorums include.
    std::size_t lostVoterCount() const { return countLostVoters(m_log.membership()); }

private:
    // Replication state of another member, kept by the leader (nextIndex and matchIndex of ATC 2014, figure 2).
    struct Progress {
        DiskIdentity disk { 0 };
        LogIndex matchIndex { 0 };
        LogIndex nextIndex { 1 };
        // matchIndex at the previous heartbeat; no change since then means that sent entries may be lost.
        LogIndex matchIndexAtHeartbeat { 0 };
        // Newest read for which the member has confirmed the leadership.
        std::uint64_t readSequence { 0 };
        std::uint64_t generation { 0 };
        core::TimePoint lastContact;
        core::TimePoint snapshotSentAt;
        // The member has announced that its process stops.
        bool isStopping { false };
    };
    // Latest state of a peer's disk that this process has observed in messages.
    struct PeerRecord {
        std::uint64_t generation { 0 };
        std::uint64_t startNonce { 0 };
        Term term { 0 };
        LogIndex lastIndex { 0 };
    };
    // Latest reply of a peer to the DiskCheckRequests of this start.
    struct DiskCheckResult {
        bool hasGroup { false };
        bool hasSameGroup { false };
        DiskIdentity disk { 0 };
        LogIndex membershipIndex { 0 };
        Membership membership;
    };

    // RaftNode.cpp

    // Initializes all state from the store and starts a disk check.
    void loadState(StoredState, core::TimePoint now);
    // Last step of every public function that may write: syncs the store, applies committed entries and sends the
    // queued messages.
    void syncAndSend(RaftOutput&);
    void halt(const core::Error&);
    // Performs a write; on failure halts the node and returns false.
    template <typename Write> bool tryWrite(Write);
    bool saveVote(VoteState);
    bool appendToLog(std::vector<LogEntry>);
    void applyCommitted();
    void compactIfLong();
    bool isMembershipCommitUnsaved() const;
    void saveCommitIfDue(core::TimePoint now);
    // Queues a message for syncAndSend().
    void enqueue(core::NodeId, decltype(RaftMessage::body));
    bool isSelfVoter() const;
    bool acceptsMessage(core::NodeId, const RaftMessage&) const;

    // RaftElection.cpp
    void resetElectionTimer(core::TimePoint now);
    void becomeFollower(Term, core::NodeId leader, core::TimePoint now);
    bool mayStandForElection() const;
    void startElection(bool isPreVote, core::TimePoint now);
    void countVotes(core::TimePoint now);
    void becomeLeader(core::TimePoint now);
    void checkQuorum(core::TimePoint now);
    void stepDownIfNoVoter(core::TimePoint now);
    bool isInContact(const Member&, core::TimePoint now) const;
    bool hasLeaderContact(core::TimePoint now) const;
    void handle(core::NodeId from, const RaftMessage&, const VoteRequest&, core::TimePoint now);
    void handle(core::NodeId from, const RaftMessage&, const VoteReply&, core::TimePoint now);

    // RaftQuorum.cpp
    // Whether a voter takes part in a decision: has voted, has stored an entry, is in contact or has confirmed a read.
    using Agreement = std::function<bool(const Member&)>;
    bool isQuorum(const Agreement&) const;
    bool isQuorumOf(const Membership&, const Agreement&) const;
    std::size_t countAgreeing(const Membership&, const Agreement&) const;
    const Membership* membershipBeingReplaced() const;
    std::vector<const Membership*> membershipsInForce() const;
    std::set<core::NodeId> peersInForce() const;
    std::size_t lostVoterAllowance(const Membership&) const;
    std::size_t countLostVoters(const Membership&) const;
    bool hasVote(const Member&, DiskIdentity) const;
    bool isSelf(const Member&) const;
    // Null if the disk of the member is not the one that the leader replicates to.
    const Progress* findProgress(const Member&) const;
    void handle(core::NodeId from, const RaftMessage&, const DiskIdentityRequest&, core::TimePoint now);
    void handle(core::NodeId from, const RaftMessage&, const DiskIdentityReply&, core::TimePoint now);

    // RaftReplication.cpp
    bool followLeader(core::NodeId leader, Term, core::TimePoint now);
    void sendEntries(core::NodeId, core::TimePoint now);
    void broadcastEntries(core::TimePoint now, bool isHeartbeat);
    LogIndex durableIndex(const Member&) const;
    LogIndex newestDurableOnQuorum() const;
    void advanceCommit();
    void handle(core::NodeId from, const RaftMessage&, const AppendRequest&, core::TimePoint now);
    void handle(core::NodeId from, const RaftMessage&, const AppendReply&, core::TimePoint now);
    void handle(core::NodeId from, const RaftMessage&, const SnapshotRequest&, core::TimePoint now);
    bool storeEntries(const AppendRequest&);

    // RaftDiskCheck.cpp
    void sendDiskChecks(core::TimePoint now);
    std::set<core::NodeId> diskCheckPeers() const;
    void concludeDiskCheck(core::TimePoint now);
    bool isDiskConfirmedByVoters(core::TimePoint now) const;
    const Membership& newestKnownMembership() const;
    void rejoinWithNewDisk(core::TimePoint now);
    void recordPeerState(core::NodeId, const RaftMessage&);
    bool hasLaterStateOf(core::NodeId, const RaftMessage&, const DiskCheckRequest&) const;
    void handle(core::NodeId from, const RaftMessage&, const DiskCheckRequest&, core::TimePoint now);
    void handle(core::NodeId from, const RaftMessage&, const DiskCheckReply&, core::TimePoint now);

    // RaftMembership.cpp
    void bootstrapGroup(core::TimePoint now);
    void admitController(core::NodeId, const RaftMessage&, const DiskCheckRequest&, core::TimePoint now);
    Member ownStart() const;
    void recordStart(const Member&, core::TimePoint now);
    // On the leader: true if a member has announced its stop, or has had no contact for the removal timeout and may
    // have failed permanently.
    bool isSilent(core::NodeId, core::TimePoint now) const;
    bool hasAnnouncedStop(core::NodeId) const;
    void removeSilentMembers(core::TimePoint now);
    bool hasVoterToSpare() const;
    void removeFromMembership(core::NodeId, core::TimePoint now);
    void setVoter(core::NodeId, bool isVoter, core::TimePoint now);
    bool canBootstrapGroup() const;
    bool canChangeMembership() const;
    void changeMembership(Membership, core::TimePoint now);
    void updateProgress(core::TimePoint now);

    // RaftReplacement.cpp
    void promoteLearners(core::TimePoint now);
    bool mayVote(const Member& learner, core::TimePoint now) const;
    bool isLearnerInContact(const Member&, core::TimePoint now) const;
    std::size_t intendedVoterCount() const;
    std::size_t votersInContact(core::TimePoint now) const;
    void demoteReplacedVoters(core::TimePoint now);
    bool hasMajorityInContactWithout(core::NodeId, core::TimePoint now) const;

    // RaftLeave.cpp
    void sendLeaveRequest(core::TimePoint now);
    void leaveAsLeader(core::TimePoint now);
    bool mustRetain(core::TimePoint now) const;
    void handle(core::NodeId from, const RaftMessage&, const LeaveRequest&, core::TimePoint now);
    void handle(core::NodeId from, const RaftMessage&, const LeaveReply&, core::TimePoint now);

    // RaftRejoin.cpp
    void sendRejoinNotices(core::TimePoint now);
    void discoverSender(core::NodeId, const RaftMessage&);
    void handle(core::NodeId from, const RaftMessage&, const RejoinNotice&, core::TimePoint now);

    RaftOptions m_options;
    LogStore& m_store;
    StateMachine& m_stateMachine;
    core::RandomSource& m_random;

    RaftRole m_role { RaftRole::CheckingDisk };
    std::string m_problem;
    DiskIdentity m_disk { 0 };
    std::uint64_t m_generation { 0 };
    std::uint64_t m_startNonce { 0 };
    VoteState m_vote;
    RaftLog m_log;
    LogIndex m_durableIndex { 0 };
    LogIndex m_commitIndex { 0 };
    LogIndex m_appliedIndex { 0 };
    LogIndex m_savedCommitIndex { 0 };
    core::TimePoint m_nextCommitSave {};

    bool m_hasUnsyncedVote { false };
    bool m_hasUnsyncedEntries { false };
    std::vector<std::pair<core::NodeId, RaftMessage>> m_outbox;

    core::NodeId m_leader;
    core::TimePoint m_lastLeaderContact;
    core::TimePoint m_electionDeadline;
    core::TimePoint m_nextHeartbeat;
    core::TimePoint m_nextRejoinNotice;
    // Disks of the other controllers that have granted their vote.
    std::map<core::NodeId, DiskIdentity> m_votes;
    std::uint64_t m_diskIdentityNonce { 0 };
    // Disks of voters that were replaced by others before the present term of this controller as candidate or leader.
    std::set<ControllerDisk> m_lostDisks;

    std::map<core::NodeId, Progress> m_progress;
    // Index of the no-operation entry with which this controller began its term as leader.
    LogIndex m_firstIndexOfTerm { 0 };
    std::uint64_t m_readSequence { 0 };

    std::map<ControllerDisk, PeerRecord> m_peerRecords;
    std::map<core::NodeId, DiskCheckResult> m_diskCheckResults;
    // Controllers of the settings, which may have been read again since the start.
    std::vector<core::NodeId> m_seeds;
    // Controllers discovered through messages: members listed in a DiskCheckReply, and senders of messages of the group
    // that are not members according to the log. Used only with an open membership.
    std::set<core::NodeId> m_discoveredControllers;
    // True once the disk check is complete: this controller may vote and acknowledge entries.
    bool m_isDiskConfirmed { false };
    core::TimePoint m_startedAt;
    core::TimePoint m_nextDiskCheck;

    bool m_isLeaving { false };
    std::optional<LeaveOutcome> m_leaveOutcome;
    core::TimePoint m_nextLeaveRequest;
};

template <typename Write> bool RaftNode::tryWrite(Write write)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<bool> {
            BOOST_LEAF_CHECK(write());
            return true;
        },
        [this](const core::Error& error) {
            halt(error);
            return false;
        },
        [this] {
            halt({ core::ErrorKind::IoFailed, "the store failed; replace the disk and restart the controller" });
            return false;
        });
}

} // namespace ibisgw::configuration
