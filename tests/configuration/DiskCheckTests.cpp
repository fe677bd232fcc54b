#include "ibisgw/configuration/ConfigurationRegister.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/MemoryLogStore.h"

#include <doctest/doctest.h>

#include <optional>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

constexpr core::NodeId first { 1 };
constexpr core::NodeId second { 2 };
constexpr core::NodeId third { 3 };
constexpr std::uint64_t group = 100;

DiskIdentity diskOf(core::NodeId node)
{
    return 100 + node.value;
}

const Membership membership { group,
    { { first, diskOf(first), true, 1, 1 }, { second, diskOf(second), true, 1, 1 },
        { third, diskOf(third), true, 1, 1 } } };

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

// The third of three controllers, in term 4; the test sends the messages of the others.
struct ThirdController {
    core::PcgRandomSource random { 1 };
    MemoryLogStore store { random };
    core::TimePoint now { 100s };
    LatestMessages sent;
    std::optional<ConfigurationRegister> instance;

    ThirdController()
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
        for (const auto& it : { first, second })
            receive(it, 4, 1, DiskCheckReply { diskOf(third), request->startNonce, false, 1, membership });
        instance->tick(now, sent);
        REQUIRE(instance->raft().role() == RaftRole::Follower);
    }

    void receive(core::NodeId from, Term term, std::uint64_t generation, decltype(RaftMessage::body) body)
    {
        instance->handleMessage(from, { term, group, diskOf(from), generation, std::move(body) }, now, sent);
    }

    // Whether this controller reports that the disk of a controller that has just started is an older copy.
    bool reportsOutdated(core::NodeId from, LogIndex lastIndex)
    {
        receive(from, 5, 2, DiskCheckRequest { 2, lastIndex });
        const auto reply = sent.find<DiskCheckReply>();
        REQUIRE(reply);
        return reply->outdated;
    }
};

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("a controller votes for one candidate, and another becomes leader of that term")
    {
        ThirdController controller;
        controller.receive(second, 5, 1, VoteRequest { false, 1, 1 });
        REQUIRE(controller.sent.find<VoteReply>()->granted);
        const LogEntry entry { 5, EntryKind::NoOperation, {}, {} };
        controller.receive(first, 5, 1, AppendRequest { 1, 1, 1, 0, { entry, entry } });
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
}
