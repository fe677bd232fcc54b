#include "ibisgw/configuration/DocumentCompression.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/ControllerGroup.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace support;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration convergenceTimeout = 30s;

// A simulated group of controllers that has elected a leader.
struct Group {
    core::PcgRandomSource random { 11 };
    MessageQueue queue { { 1ms, 3ms, 0.0, 0.0 }, random };
    ControllerGroup controllers;
    std::uint64_t changes { 0 };

    explicit Group(std::size_t count = 3, RaftOptions options = {})
        : controllers(count, std::move(options), queue, random)
    {
        controllers.startAll();
        REQUIRE(controllers.runUntilComplete(convergenceTimeout));
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
            convergenceTimeout));
        return submitAndAwait(leader, change(controllers.service(leader).newestCommitted().revision));
    }
    SubmissionOutcome submitAndAwait(ControllerGroup::Machine machine, const Submission& submission)
    {
        controllers.submit(machine, submission);
        controllers.runUntil([&] { return controllers.service(machine).outcomeOf(submission.id).isFinal(); }, 5s);
        return controllers.service(machine).outcomeOf(submission.id);
    }
    // The followers of a group of three controllers.
    std::pair<ControllerGroup::Machine, ControllerGroup::Machine> followers()
    {
        const auto leader = controllers.acceptingLeader();
        return { leader == 1 ? 2 : 1, leader == 3 ? 2 : 3 };
    }
    void checkNoViolations()
    {
        CHECK_MESSAGE(controllers.checks().violations().empty(), controllers.checks().firstViolation());
    }
};

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("one of two concurrent submissions is accepted and the other gets a conflict that names its author")
    {
        Group group;
        const auto leader = group.controllers.acceptingLeader();
        const auto first = group.change(0);
        const auto second = group.change(0);
        group.controllers.submit(leader, first);
        group.controllers.submit(leader, second);
        REQUIRE(group.submitAndAwait(leader, first).kind == OutcomeKind::Accepted);
        const auto rejected = group.submitAndAwait(leader, second);
        CHECK(rejected.kind == OutcomeKind::Conflict);
        CHECK(rejected.revision == 1);
        CHECK(rejected.author == first.author);

        SUBCASE("and both outcomes survive a change of the leader and a restart of all controllers")
        {
            group.accept();
            group.controllers.kill(leader);
            REQUIRE(group.controllers.runUntil(
                [&] { return group.controllers.acceptingLeader() != 0; }, convergenceTimeout));
            for (ControllerGroup::Machine machine = 1; machine <= 3; ++machine)
                group.controllers.kill(machine);
            group.controllers.startAll();
            REQUIRE(group.controllers.runUntilComplete(convergenceTimeout));
            const auto next = group.controllers.acceptingLeader();
            const auto again = group.submitAndAwait(next, first);
            CHECK(again.kind == OutcomeKind::Accepted);
            CHECK(again.revision == 1);
            CHECK(group.submitAndAwait(next, second).author == first.author);
        }
        SUBCASE("and a follower rejects a submission and names the leader")
        {
            const auto outcome = group.controllers.submit(group.followers().first, group.change(1));
            CHECK(outcome.kind == OutcomeKind::NotLeader);
            CHECK(outcome.leader == ControllerGroup::nodeOf(leader));
        }
        SUBCASE("and a document that is not JSON or is nested too deeply is rejected")
        {
            auto change = group.change(1);
            change.document = "{";
            CHECK(group.controllers.submit(leader, change).kind == OutcomeKind::Invalid);
            change.document = std::string(100'000, '[') + std::string(100'000, ']');
            CHECK(group.controllers.submit(leader, change).kind == OutcomeKind::Invalid);
        }
        // Guards against a revision that no other daemon can receive, whoever submits it.
        SUBCASE("and a document that is too large to be distributed is rejected")
        {
            auto change = group.change(1);
            change.document = "\"" + std::string(maxDocumentBytes - 1, 'a') + "\"";
            CHECK(group.controllers.submit(leader, change).kind == OutcomeKind::Invalid);
        }
    }

    TEST_CASE("a second controller that is lost right after a repair takes nothing accepted with it")
    {
        Group group;
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        const auto [lagging, wiped] = group.followers();
        // The second change is only on the leader and on the disk that is wiped.
        group.controllers.isolate(lagging);
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        group.controllers.kill(wiped);
        group.controllers.store(wiped).wipe();
        group.controllers.start(wiped);
        group.queue.runFor(5s);
        // Only the leader still has the change, so accepting another one would be unsafe.
        CHECK(group.controllers.acceptingLeader() == 0);
        CHECK_FALSE(group.controllers.service(wiped).status().problem.empty());

        group.queue.healAll();
        REQUIRE(group.controllers.runUntilComplete(convergenceTimeout));
        group.controllers.kill(group.controllers.acceptingLeader());
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        CHECK(group.controllers.checks().newestAccepted() == 3);
        group.checkNoViolations();
    }

    TEST_CASE("a controller whose disk is replaced by an older copy rejoins as a learner")
    {
        RaftOptions options;
        SUBCASE("with the disk check, which compares the generation of the disk") { }
        SUBCASE("and an accepted revision is lost if the disk check is disabled")
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
        // The second change is only on the leader, which is killed, and on the disk that is replaced by a copy.
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
        REQUIRE(group.controllers.runUntilComplete(convergenceTimeout));
        CHECK(group.accept().revision == 3);
        group.checkNoViolations();
    }

    TEST_CASE("a controller that was cut off neither disturbs the others nor answers with old state")
    {
        Group group;
        REQUIRE(group.accept().kind == OutcomeKind::Accepted);
        SUBCASE("a follower that rejoins does not depose the leader")
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
        SUBCASE("a partitioned leader steps down and does not serve its reads")
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
        group.checkNoViolations();
    }

    TEST_CASE("after failed controllers are removed, the group keeps a majority when another one fails")
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
            // Only one membership change at a time: with two, there could be majorities without a common voter.
            CHECK_FALSE(group.controllers.remove(leader, others[2]));
            group.queue.runFor(1s);
        }
        CHECK(group.controllers.service(leader).status().voters.size() == 3);
        group.controllers.kill(others[2]);
        CHECK(group.accept().kind == OutcomeKind::Accepted);
        group.checkNoViolations();
    }

    TEST_CASE("a controller whose sync fails acknowledges nothing and reports the problem")
    {
        Group group;
        const auto leader = group.controllers.acceptingLeader();
        group.controllers.store(leader).failNextSync(false);
        const auto change = group.change(0);
        CHECK(group.controllers.submit(leader, change).kind == OutcomeKind::Unknown);
        CHECK(group.controllers.service(leader).status().role == RaftRole::Halted);
        CHECK_FALSE(group.controllers.service(leader).status().problem.empty());
        CHECK(group.accept().kind == OutcomeKind::Accepted);
        group.checkNoViolations();
    }

    TEST_CASE("an entry of an earlier term is not committed by counting replicas")
    {
        // Figure 8 of Ongaro and Ousterhout 2014 with three controllers. With one entry in each AppendRequest, the
        // first leader can replicate its old entry without the new one.
        RaftOptions options;
        options.maxAppendBytes = 1;
        SUBCASE("so a later leader may replace it without loss of an accepted revision") { }
        SUBCASE("and an accepted revision is lost if this rule is disabled")
        {
            options.disabledRules.ownTermCommit = true;
        }
        Group group(3, options);
        const auto first = group.controllers.acceptingLeader();
        auto& firstRaft = group.controllers.service(first).raft();
        // The old entry is only on the first leader.
        group.controllers.isolate(first);
        group.controllers.submit(first, group.change(0));
        const auto index = firstRaft.log().lastIndex();
        const auto term = firstRaft.term();
        // The second leader appends an entry of the next term that no other controller has.
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
            convergenceTimeout));
        const auto third = 6 - first - second;
        group.queue.healAll();
        group.controllers.isolate(second);
        // The first leader is elected again and replicates the old entry, but not the one of its new term, to the
        // third controller.
        auto& thirdLog = group.controllers.service(third).raft().log();
        REQUIRE(group.controllers.runUntil([&] { return thirdLog.lastIndex() >= index; }, convergenceTimeout));
        REQUIRE(thirdLog.lastIndex() == index);
        REQUIRE(thirdLog.lastTerm() == term);
        group.queue.cut(first, third);
        group.queue.runFor(100ms);
        REQUIRE(firstRaft.role() == RaftRole::Leader);
        CHECK((firstRaft.commitIndex() >= index) == options.disabledRules.ownTermCommit);
        // The second leader is elected again and replaces the old entry on the third controller.
        group.controllers.isolate(first);
        group.queue.heal(second, third);
        group.queue.heal(third, second);
        REQUIRE(group.controllers.runUntil([&] { return thirdLog.lastTerm() > term + 1; }, convergenceTimeout));
        CHECK((group.controllers.checks().count(ViolationKind::Lost) > 0) == options.disabledRules.ownTermCommit);
    }
}
