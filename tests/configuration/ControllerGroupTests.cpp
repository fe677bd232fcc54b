#include "ibisgw/core/PcgRandomSource.h"
#include "support/ControllerGroup.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration limit = 30s;

struct Group {
    core::PcgRandomSource random { 11 };
    MessageQueue queue { { 1ms, 3ms, 0.0, 0.0 }, random };
    ControllerGroup controllers;
    std::uint64_t changes { 0 };

    explicit Group(std::size_t count = 3, RaftOptions options = {})
        : controllers(count, std::move(options), queue, random)
    {
        controllers.startAll();
        REQUIRE(controllers.runUntilComplete(limit));
    }

    Submission change(core::Revision base)
    {
        const auto number = std::to_string(++changes);
        return { "change " + number, "operator " + number, base, R"({"n":)" + number + "}" };
    }
    // Submits one change to the leader and waits for its outcome.
    SubmissionOutcome accept()
    {
        ControllerGroup::Machine leader = 0;
        REQUIRE(controllers.runUntil(
            [&] {
                leader = controllers.acceptingLeader();
                return leader != 0 && controllers.beginRead(leader).has_value();
            },
            limit));
        return settle(leader, change(controllers.service(leader).newestKnown().revision));
    }
    SubmissionOutcome settle(ControllerGroup::Machine machine, const Submission& submission)
    {
        controllers.submit(machine, submission);
        controllers.runUntil([&] { return controllers.service(machine).outcomeOf(submission.id).isFinal(); }, 5s);
        return controllers.service(machine).outcomeOf(submission.id);
    }
    // The two controllers that do not lead.
    std::pair<ControllerGroup::Machine, ControllerGroup::Machine> followers()
    {
        const auto leader = controllers.acceptingLeader();
        return { leader == 1 ? 2 : 1, leader == 3 ? 2 : 3 };
    }
    void checkNothingLost()
    {
        CHECK_MESSAGE(controllers.checks().violations().empty(), controllers.checks().firstViolation());
    }
};

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("of two operators that race, one is told who has won")
    {
        Group group;
        const auto leader = group.controllers.acceptingLeader();
        const auto first = group.change(0);
        const auto second = group.change(0);
        group.controllers.submit(leader, first);
        group.controllers.submit(leader, second);
        REQUIRE(group.settle(leader, first).kind == OutcomeKind::Accepted);
        const auto lost = group.settle(leader, second);
        CHECK(lost.kind == OutcomeKind::Conflict);
        CHECK(lost.revision == 1);
        CHECK(lost.author == first.author);

        SUBCASE("and gets the same answers after a change of leader and a restart of all")
        {
            group.accept();
            group.controllers.kill(leader);
            REQUIRE(group.controllers.runUntil([&] { return group.controllers.acceptingLeader() != 0; }, limit));
            for (ControllerGroup::Machine machine = 1; machine <= 3; ++machine)
                group.controllers.kill(machine);
            group.controllers.startAll();
            REQUIRE(group.controllers.runUntilComplete(limit));
            const auto next = group.controllers.acceptingLeader();
            const auto again = group.settle(next, first);
            CHECK(again.kind == OutcomeKind::Accepted);
            CHECK(again.revision == 1);
            CHECK(group.settle(next, second).author == first.author);
        }
        SUBCASE("and a follower names the leader instead of taking a change")
        {
            const auto outcome = group.controllers.submit(group.followers().first, group.change(1));
            CHECK(outcome.kind == OutcomeKind::NotLeader);
            CHECK(outcome.leader == ControllerGroup::nodeOf(leader));
        }
        SUBCASE("and a document that is not JSON or nested too deeply is refused")
        {
            auto change = group.change(1);
            change.document = "{";
            CHECK(group.controllers.submit(leader, change).kind == OutcomeKind::Invalid);
            change.document = std::string(100'000, '[') + std::string(100'000, ']');
            CHECK(group.controllers.submit(leader, change).kind == OutcomeKind::Invalid);
        }
    }

    TEST_CASE("a second controller that is lost right after a repair takes nothing accepted with it")
    {
        Group group;
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        const auto [lagging, wiped] = group.followers();
        // The change is only on the leader and on the disk that is wiped.
        group.controllers.isolate(lagging);
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        group.controllers.kill(wiped);
        group.controllers.store(wiped).wipe();
        group.controllers.start(wiped);
        group.queue.runFor(5s);
        // The leader alone has the change now, so nothing can be accepted safely.
        CHECK(group.controllers.acceptingLeader() == 0);
        CHECK_FALSE(group.controllers.service(wiped).status().problem.empty());

        group.queue.healAll();
        REQUIRE(group.controllers.runUntilComplete(limit));
        group.controllers.kill(group.controllers.acceptingLeader());
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        CHECK(group.controllers.checks().newestAccepted() == 3);
        group.checkNothingLost();
    }

    TEST_CASE("a controller whose disk is replaced by an older copy rejoins as a learner")
    {
        RaftOptions options;
        SUBCASE("by the number of its start") { }
        SUBCASE("and would lose an accepted revision without that rule")
        {
            options.disabledRules.diskAge = true;
        }
        Group group(3, options);
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        const auto leader = group.controllers.acceptingLeader();
        const auto [restored, other] = group.followers();
        const auto copy = group.controllers.store(restored).copy();
        group.controllers.kill(restored);
        group.controllers.start(restored);
        group.queue.runFor(3s);
        // The change is on the leader, which ends, and on the disk that is replaced.
        group.controllers.isolate(other);
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        group.controllers.kill(leader);
        group.controllers.kill(restored);
        group.controllers.store(restored).restoreCopy(copy);
        group.queue.healAll();
        group.controllers.start(restored);
        group.queue.runFor(10s);
        if (options.disabledRules.diskAge) {
            CHECK(group.controllers.checks().count(ViolationKind::Lost) > 0);
            return;
        }
        CHECK(group.controllers.acceptingLeader() == 0);
        CHECK(group.controllers.store(restored).disk() != copy.disk);
        group.controllers.start(leader);
        REQUIRE(group.controllers.runUntilComplete(limit));
        CHECK(group.accept().revision == 3);
        group.checkNothingLost();
    }

    TEST_CASE("a controller that was cut off neither disturbs the others nor answers with old state")
    {
        Group group;
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        SUBCASE("as a follower it does not depose the leader on its return")
        {
            const auto leader = group.controllers.acceptingLeader();
            const auto term = group.controllers.service(leader).raft().term();
            group.controllers.isolate(group.followers().first);
            group.queue.runFor(60s);
            group.queue.healAll();
            group.queue.runFor(10s);
            CHECK(group.controllers.acceptingLeader() == leader);
            CHECK(group.controllers.service(leader).raft().term() == term);
        }
        SUBCASE("as the leader it steps down and its reads stay unanswered")
        {
            const auto leader = group.controllers.acceptingLeader();
            group.controllers.isolate(leader);
            const auto ticket = group.controllers.beginRead(leader);
            REQUIRE(ticket);
            group.queue.runFor(1s);
            CHECK(group.controllers.service(leader).readState(*ticket) == ReadState::Pending);
            group.queue.runFor(2s);
            CHECK(group.controllers.service(leader).readState(*ticket) == ReadState::Lost);
            CHECK(group.controllers.submit(leader, group.change(1)).kind == OutcomeKind::NotLeader);
            CHECK_FALSE(group.controllers.service(leader).status().problem.empty());
        }
        group.checkNothingLost();
    }

    TEST_CASE("a dead controller is removed, so that a further loss leaves a majority")
    {
        Group group(5);
        const auto leader = group.controllers.acceptingLeader();
        std::vector<ControllerGroup::Machine> others;
        for (ControllerGroup::Machine machine = 1; machine <= 5; ++machine) {
            if (machine != leader)
                others.push_back(machine);
        }
        for (const auto machine : { others[0], others[1] }) {
            group.controllers.kill(machine);
            REQUIRE(group.controllers.remove(leader, machine));
            // One change at a time: two at once could give majorities without a common voter.
            CHECK_FALSE(group.controllers.remove(leader, others[2]));
            group.queue.runFor(1s);
        }
        CHECK(group.controllers.service(leader).status().voters.size() == 3);
        group.controllers.kill(others[2]);
        CHECK(group.accept().kind == OutcomeKind::Accepted);
        group.checkNothingLost();
    }

    TEST_CASE("a controller whose sync fails acknowledges nothing and says why")
    {
        Group group;
        const auto leader = group.controllers.acceptingLeader();
        group.controllers.store(leader).failNextSync(false);
        const auto change = group.change(0);
        CHECK(group.controllers.submit(leader, change).kind == OutcomeKind::Unknown);
        CHECK(group.controllers.service(leader).status().role == RaftRole::Halted);
        CHECK_FALSE(group.controllers.service(leader).status().problem.empty());
        CHECK(group.accept().kind == OutcomeKind::Accepted);
        group.checkNothingLost();
    }

    TEST_CASE("an entry of an earlier term is not committed by counting copies")
    {
        // Figure 8 of Ongaro and Ousterhout 2014 with three controllers.
        RaftOptions options;
        options.maxAppendBytes = 1;
        SUBCASE("so it can be replaced without a loss") { }
        SUBCASE("and would be lost if it were")
        {
            options.disabledRules.ownTermCommit = true;
        }
        Group group(3, options);
        const auto first = group.controllers.acceptingLeader();
        auto& firstRaft = group.controllers.service(first).raft();
        // Only the first leader has the entry.
        group.controllers.isolate(first);
        group.controllers.submit(first, group.change(0));
        const auto index = firstRaft.log().lastIndex();
        const auto term = firstRaft.term();
        // Only the second leader has an entry of the next term.
        ControllerGroup::Machine second = 0;
        REQUIRE(group.controllers.runUntil(
            [&] {
                for (ControllerGroup::Machine machine = 1; machine <= 3; ++machine) {
                    const auto& raft = group.controllers.service(machine).raft();
                    if (raft.role() == RaftRole::Leader && raft.term() > term)
                        second = machine;
                }
                return second != 0;
            },
            limit));
        const auto third = 6 - first - second;
        group.queue.healAll();
        group.controllers.isolate(second);
        // The first leader leads again and copies the old entry, but not its new one, to the third.
        auto& thirdLog = group.controllers.service(third).raft().log();
        REQUIRE(group.controllers.runUntil([&] { return thirdLog.lastIndex() >= index; }, limit));
        REQUIRE(thirdLog.lastIndex() == index);
        REQUIRE(thirdLog.lastTerm() == term);
        group.queue.cut(first, third);
        group.queue.runFor(100ms);
        REQUIRE(firstRaft.role() == RaftRole::Leader);
        CHECK((firstRaft.commitIndex() >= index) == options.disabledRules.ownTermCommit);
        // The second leader replaces the old entry.
        group.controllers.isolate(first);
        group.queue.heal(second, third);
        group.queue.heal(third, second);
        REQUIRE(group.controllers.runUntil([&] { return thirdLog.lastTerm() > term + 1; }, limit));
        CHECK((group.controllers.checks().count(ViolationKind::Lost) > 0) == options.disabledRules.ownTermCommit);
    }
}
