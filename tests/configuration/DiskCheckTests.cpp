#include "ibisgw/configuration/ConfigurationRegister.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/MemoryLogStore.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <map>
#include <optional>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

constexpr core::NodeId first { 1 };
constexpr core::NodeId second { 2 };
constexpr core::NodeId third { 3 };
constexpr core::NodeId fourth { 4 };
constexpr std::uint64_t group = 100;

DiskIdentity diskOf(core::NodeId node)
{
    return 100 + node.value;
}

Membership membershipOf(std::initializer_list<core::NodeId> voters)
{
    Membership membership { group, {} };
    for (const auto& it : voters)
        membership.put({ it, diskOf(it), true, 1, 1 });
    return membership;
}

// Keeps the latest message of each kind.
struct LatestMessages final : RaftOutput {
    void send(core::NodeId, const RaftMessage& message) override { latest[message.body.index()] = message; }

    template <typename Body> std::optional<Body> find() const
    {
        for (const auto& [kind, message] : latest) {
            if (const auto* body = std::get_if<Body>(&message.body))
                return *body;
        }
        return std::nullopt;
    }

    std::map<std::size_t, RaftMessage> latest;
};

// The third controller of a group, in term 4; the test sends the messages of the others.
struct ThirdController {
    Membership membership;
    core::PcgRandomSource random { 1 };
    MemoryLogStore store { random };
    core::TimePoint now { 100s };
    LatestMessages sent;
    std::optional<ConfigurationRegister> instance;

    explicit ThirdController(Membership members)
        : membership(std::move(members))
    {
        StoredState stored { .disk = diskOf(third), .generation = 1, .startNonce = 1, .vote = { 4, {} } };
        stored.commitIndex = 1;
        stored.entries = { LogEntry { 1, EntryKind::Membership, {}, membership } };
        store.restoreCopy(stored);
        restart();
    }

    // Starts the process again; the others confirm its disk.
    void restart()
    {
        RaftOptions options;
        options.self = third;
        options.controllers = { first, second, third };
        options.membershipMode = MembershipMode::Open;
        instance.emplace(options, store, random);
        REQUIRE(instance->start(now));
        instance->tick(now, sent);
        const auto request = sent.find<DiskCheckRequest>();
        REQUIRE(request);
        for (const auto& it : membership.nodes()) {
            if (it != third)
                receive(it, 4, DiskCheckReply { diskOf(third), request->startNonce, false, 1, membership });
        }
        instance->tick(now, sent);
        REQUIRE(instance->raft().role() == RaftRole::Follower);
    }

    void receive(core::NodeId from, Term term, decltype(RaftMessage::body) body)
    {
        receive(from, { term, group, diskOf(from), 1, std::move(body) });
    }

    void receive(core::NodeId from, const RaftMessage& message) { instance->handleMessage(from, message, now, sent); }

    // Whether this controller reports that the disk of a controller that has just started is an older copy.
    bool reportsOutdated(core::NodeId from, LogIndex lastIndex)
    {
        receive(from, { 5, group, diskOf(from), 2, DiskCheckRequest { 2, lastIndex } });
        const auto reply = sent.find<DiskCheckReply>();
        REQUIRE(reply);
        return reply->outdated;
    }

    RaftRole role() const { return instance->raft().role(); }

    // Starts an election; returns the nonce of the question for the disks of the others.
    std::uint64_t beginElection()
    {
        now += 2 * RaftOptions {}.electionTimeout;
        instance->tick(now, sent);
        REQUIRE(role() == RaftRole::PreCandidate);
        return sent.find<DiskIdentityRequest>()->nonce;
    }

    // The controller answers from an empty disk.
    void receiveFromNewDisk(core::NodeId from, std::uint64_t nonce)
    {
        receive(from, { 0, 0, diskOf(from) + 1, 1, DiskIdentityReply { nonce } });
    }
};

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("a controller votes for one candidate, and another becomes leader of that term")
    {
        ThirdController controller(membershipOf({ first, second, third }));
        controller.receive(second, 5, VoteRequest { false, 1, 1 });
        REQUIRE(controller.sent.find<VoteReply>()->granted);
        const LogEntry entry { 5, EntryKind::NoOperation, {}, {} };
        controller.receive(first, 5, AppendRequest { 1, 1, 1, 0, { entry, entry } });
        REQUIRE(controller.instance->raft().log().lastIndex() == 3);

        // Guards against a healthy disk that is erased: a candidate that lost the election need not have the entries of
        // its term, and was taken for the leader of the term because of the vote.
        SUBCASE("and the candidate that lost may restart without the entries of the term")
        {
            CHECK_FALSE(controller.reportsOutdated(second, 1));
        }
        // Guards against an older copy of a leader's disk that only a vote for that leader reveals.
        SUBCASE("and an older copy of the leader's disk is detected, also after a restart")
        {
            controller.restart();
            CHECK(controller.reportsOutdated(first, 1));
            CHECK_FALSE(controller.reportsOutdated(first, 3));
        }
    }

    // Guards against two leaders of one term: a disk that was lost after it had voted in a term could be left out of a
    // second quorum of the same term.
    TEST_CASE("a candidate of a group of four")
    {
        ThirdController controller(membershipOf({ first, second, third, fourth }));
        const auto nonce = controller.beginElection();
        controller.receive(first, 4, VoteReply { true, true });
        REQUIRE(controller.role() == RaftRole::PreCandidate);

        SUBCASE("counts a voter whose disk was lost before the term began")
        {
            controller.receiveFromNewDisk(second, nonce);
            REQUIRE(controller.role() == RaftRole::Candidate);
            controller.receive(first, 5, VoteReply { false, true });
            CHECK(controller.role() == RaftRole::Leader);
            CHECK(controller.instance->raft().lostVoterCount() == 1);
        }
        SUBCASE("counts no more than one of them")
        {
            controller.receiveFromNewDisk(second, nonce);
            controller.receiveFromNewDisk(fourth, nonce);
            REQUIRE(controller.role() == RaftRole::Candidate);
            CHECK(controller.instance->raft().lostVoterCount() == 1);
        }
        SUBCASE("counts no disk that was lost in the term")
        {
            controller.receive(second, 4, VoteReply { true, true });
            REQUIRE(controller.role() == RaftRole::Candidate);
            controller.receive(first, 5, VoteReply { false, true });
            controller.receiveFromNewDisk(second, nonce);
            CHECK(controller.role() == RaftRole::Candidate);
        }
        SUBCASE("does not take a delayed reply from an earlier disk for a lost one")
        {
            controller.receiveFromNewDisk(second, nonce + 1);
            CHECK(controller.role() == RaftRole::PreCandidate);
        }
        SUBCASE("does not count a voter that is only silent")
        {
            CHECK(controller.role() == RaftRole::PreCandidate);
        }
    }
}
