#include "ibisgw/configuration/ReplicatedConfiguration.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace ibisgw;
using namespace ibisgw::configuration;

namespace {

std::string documentOf(std::uint64_t number)
{
    return nlohmann::json { { "n", number }, { "text", std::string(200, 'x') } }.dump();
}

void submit(ReplicatedConfiguration& state, std::uint64_t number)
{
    const auto base = state.history().current().revision;
    state.apply(state.encode({ "s" + std::to_string(number), "operator", base, documentOf(number) }));
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("the replicated state limits its history and submission outcomes, also after a snapshot")
    {
        ReplicatedConfiguration state;
        constexpr std::uint64_t count = SubmissionTable::capacity + 10;
        for (std::uint64_t number = 1; number <= count; ++number)
            submit(state, number);

        SUBCASE("without a snapshot") { }
        SUBCASE("after a restart from a snapshot")
        {
            const auto snapshot = state.takeSnapshot();
            REQUIRE(state.restore(snapshot));
            CHECK(state.takeSnapshot() == snapshot);
        }
        CHECK(state.submissions().size() == SubmissionTable::capacity);
        CHECK(state.submissions().find("s10") == nullptr);
        REQUIRE(state.submissions().find("s11") != nullptr);
        CHECK(state.submissions().find("s11")->revision == 11);
        // At least the last 100 revisions are available, for the history and for differences between revisions.
        for (auto revision = count - 100; revision <= count; ++revision) {
            REQUIRE(state.history().find(revision));
            CHECK(state.history().find(revision)->document == documentOf(revision));
        }
        CHECK(state.history().since(count - 3).size() == 3);

        // A resubmission whose identifier was evicted has an outdated base, so it is not accepted twice.
        state.apply(state.encode({ "s10", "operator", 9, documentOf(10) }));
        CHECK(state.submissions().find("s10")->kind == OutcomeKind::Conflict);
        CHECK(state.history().current().revision == count);
    }

    TEST_CASE("malformed commands have no effect and truncated snapshots are rejected")
    {
        ReplicatedConfiguration state;
        submit(state, 1);
        const auto before = state.takeSnapshot();
        state.apply("");
        state.apply("\x9f");
        CHECK(state.takeSnapshot() == before);
        for (std::size_t n = 1; n < before.size(); ++n)
            CHECK_FALSE(ReplicatedConfiguration().restore(before.substr(0, n)));
    }

    TEST_CASE("a change of a large document is replicated as a patch")
    {
        ReplicatedConfiguration state;
        submit(state, 1);
        CHECK(state.encode({ "s2", "operator", 1, documentOf(2) }).size() < documentOf(2).size() / 2);
        submit(state, 2);
        CHECK(state.history().current().document == documentOf(2));
        CHECK(state.history().current().hash == hashDocument(documentOf(2)));
    }
}
