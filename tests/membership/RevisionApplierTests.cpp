#include "ibisgw/configuration/DocumentPatch.h"
#include "ibisgw/configuration/RevisionApplier.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace ibisgw;
using configuration::ApplyOutcome;

namespace {

configuration::AcceptedRevision makeRevision(core::Revision number, int addresses)
{
    auto services = nlohmann::json::array();
    for (int n = 0; n < addresses; ++n)
        services.push_back({ { "name", "service-" + std::to_string(n) }, { "limit", number } });
    const auto document = nlohmann::json { { "services", services } }.dump();
    return { number, document, configuration::hashDocument(document), "operator", "s" + std::to_string(number) };
}

configuration::RevisionDelta makeDelta(
    const configuration::AcceptedRevision& base, const configuration::AcceptedRevision& target)
{
    return { base.revision, base.hash, target.revision, target.hash,
        *configuration::makePatch(base.document, target.document), target.author, target.submission };
}

} // namespace

TEST_SUITE("membership")
{
    TEST_CASE("a daemon applies accepted revisions in order and never returns to an earlier one")
    {
        const auto first = makeRevision(1, 3);
        const auto second = makeRevision(2, 4);
        const auto third = makeRevision(3, 2);
        configuration::RevisionApplier applier;
        REQUIRE(applier.applyDocument(first) == ApplyOutcome::Applied);

        SUBCASE("deltas in order lead to the accepted documents")
        {
            CHECK(applier.applyDelta(makeDelta(first, second)) == ApplyOutcome::Applied);
            CHECK(applier.applyDelta(makeDelta(second, third)) == ApplyOutcome::Applied);
            CHECK(applier.inForce() == third);
            CHECK(*applier.deltaFrom(1, first.hash) == makeDelta(first, second));
        }
        SUBCASE("a delta that arrives before its base is rejected and can be applied after it")
        {
            CHECK(applier.applyDelta(makeDelta(second, third)) == ApplyOutcome::WrongBase);
            CHECK(applier.inForce() == first);
            CHECK(applier.applyDelta(makeDelta(first, second)) == ApplyOutcome::Applied);
            CHECK(applier.applyDelta(makeDelta(second, third)) == ApplyOutcome::Applied);
            CHECK(applier.inForce() == third);
        }
        SUBCASE("a delta whose base has the same number but another document is rejected")
        {
            const auto other = makeRevision(1, 7);
            CHECK(applier.applyDelta(makeDelta(other, second)) == ApplyOutcome::WrongBase);
            CHECK(applier.inForce() == first);
        }
        SUBCASE("a lower revision is rejected, as a document and as a delta")
        {
            REQUIRE(applier.applyDocument(third) == ApplyOutcome::Applied);
            CHECK(applier.applyDocument(second) == ApplyOutcome::LowerRevision);
            CHECK(applier.applyDelta(makeDelta(first, second)) == ApplyOutcome::LowerRevision);
            CHECK(applier.inForce() == third);
        }
        SUBCASE("a document or delta that does not match its hash is rejected")
        {
            auto altered = second;
            altered.document.back() = ' ';
            CHECK(applier.applyDocument(altered) == ApplyOutcome::WrongHash);
            auto delta = makeDelta(first, second);
            delta.patch = "[]";
            CHECK(applier.applyDelta(delta) == ApplyOutcome::WrongHash);
            delta.patch = "[{]";
            CHECK(applier.applyDelta(delta) == ApplyOutcome::Malformed);
            CHECK(applier.inForce() == first);
        }
        SUBCASE("another document with the number of the revision in force is rejected")
        {
            CHECK(applier.applyDocument(makeRevision(1, 9)) == ApplyOutcome::WrongHash);
            CHECK(applier.applyDocument(first) == ApplyOutcome::AlreadyInForce);
        }
        SUBCASE("the oldest deltas are discarded")
        {
            for (core::Revision number = 2; number < 100; ++number)
                REQUIRE(applier.applyDocument(makeRevision(number, 3)) == ApplyOutcome::Applied);
            CHECK(applier.deltaFrom(1, first.hash) == nullptr);
            CHECK(applier.deltaFrom(98, makeRevision(98, 3).hash) != nullptr);
        }
    }

    TEST_CASE("with a rule of the applier switched off, the checks of the tests above detect the failure")
    {
        const auto first = makeRevision(1, 3);
        const auto second = makeRevision(2, 4);
        SUBCASE("without rejectLowerRevisions the revision in force decreases")
        {
            configuration::RevisionApplier applier({ .rejectLowerRevisions = false });
            applier.applyDocument(second);
            applier.applyDocument(first);
            CHECK(applier.inForce().revision < second.revision);
        }
        SUBCASE("without verifyHashes a document that was not accepted comes into force")
        {
            configuration::RevisionApplier applier({ .verifyHashes = false });
            applier.applyDocument(makeRevision(1, 7));
            applier.applyDelta(makeDelta(first, second));
            CHECK(applier.inForce().revision == 2);
            CHECK(configuration::hashDocument(applier.inForce().document) != second.hash);
        }
    }

    TEST_CASE("a patch stays small when one of many addresses is removed or added")
    {
        // Guards against patches that address array elements by index: they rewrite every element after the removed one
        // and do not fit into a datagram.
        const auto full = makeRevision(1, 480).document;
        auto json = nlohmann::json::parse(full);
        json["services"].erase(0);
        json["services"].insert(json["services"].begin() + 200, { { "name", "a~b/c" }, { "limit", 9 } });
        json["services"].erase(3);
        for (const auto& target : { json.dump(), std::string(R"({"a/b":{"c~":[1,2]},"services":[]})") }) {
            const auto patch = configuration::makePatch(full, target);
            REQUIRE(patch);
            CHECK(configuration::applyPatch(full, *patch) == target);
            CHECK(configuration::applyPatch(target, *configuration::makePatch(target, full)) == full);
        }
        json = nlohmann::json::parse(full);
        json["services"].erase(0);
        CHECK(configuration::makePatch(full, json.dump())->size() < 100);
    }
}
