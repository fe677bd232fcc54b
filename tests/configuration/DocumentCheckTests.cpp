#include "ibisgw/configuration/DocumentCheck.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "support/CheckRows.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using core::CheckRule;
using nlohmann::json;
using support::CheckRow;

namespace {

const core::Endpoint knownUpstream { *core::Endpoint::parse("10.0.0.1:80") };

// A document without findings, in which each rule can be violated by one change.
json cleanDocument()
{
    return json::parse(R"({
        "organizations": [{"name": "gravurwerk"}],
        "zones": [{"name": "bern", "region": "ch"}, {"name": "biel", "region": "ch"}],
        "services": [
            {"name": "atelier", "organization": "gravurwerk", "addresses": ["127.0.0.1:4430"], "zones": ["bern"],
             "drained_upstreams": ["10.0.0.1:80"], "hedging": {"max_share": 0.05},
             "kinds": [{"id": 1, "name": "progress", "idempotent": true, "placement": "sticky"}]},
            {"name": "slotdesk", "organization": "gravurwerk", "addresses": ["127.0.0.1:4431"], "zones": ["biel"],
             "kinds": [{"id": 2, "name": "booking"}, {"id": 3, "name": "order"}]}
        ]
    })");
}

configuration::Document read(const json& document)
{
    return configuration::readDocument(document).document.value();
}

core::CheckReport check(const json& document, const configuration::Document* base = nullptr)
{
    return configuration::checkDocumentText(document.dump(), { base, { knownUpstream } });
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("a check of a document finds each violated rule, and no other")
    {
        CHECK(support::textOf(check(cleanDocument())).empty());
        const CheckRow rows[] = {
            { CheckRule::Invalid, "/services/1/addresses/0", "/services/1/addresses", { "127.0.0.1:4430" } },
            { CheckRule::Invalid, "/services/0/addresses", "/services/0/addresses", json::array() },
            { CheckRule::Invalid, "/services/0/kinds/0/concurrency_limit", "/services/0/kinds/0/concurrency_limit", 0 },
            { CheckRule::UnusedZone, "/zones/1", "/services/1/zones", { "bern" } },
            { CheckRule::UnknownDrainedUpstream, "/services/0/drained_upstreams/0", "/services/0/drained_upstreams/0",
                "10.0.0.2:80" },
            { CheckRule::RetriesExceedDeadline, "/services/1/kinds/0/retry_limit", "/services/1/kinds/0/deadline_ms",
                1 },
            { CheckRule::HedgingWithoutIdempotentKind, "/services/0/hedging/max_share",
                "/services/0/kinds/0/idempotent", false },
            { CheckRule::QueueAboveConcurrency, "/services/0/kinds/0/queue_limit",
                "/services/0/kinds/0/concurrency_limit", 63 },
            { CheckRule::QueueAboveConcurrency, "/services/1/kinds/0/queue_limit", "/services/1/kinds/0",
                json::parse(R"({"id": 2, "name": "booking", "concurrency_limit": 2, "deadline_ms": 30,
                                "queue_limit": 61})") },
        };
        for (const auto& it : rows)
            CHECK(support::textOf(check(it.applyTo(cleanDocument()))) == it.expectedText());

        SUBCASE("limits at their bounds, and what isn't known, give no warning")
        {
            auto document = cleanDocument();
            document["services"][0]["kinds"][0]["concurrency_limit"] = 64;
            document["services"][1]["kinds"][0].update(
                { { "concurrency_limit", 2 }, { "deadline_ms", 30 }, { "queue_limit", 60 }, { "retry_limit", 16 } });
            document["services"][0]["drained_upstreams"] = { "10.0.0.2:80" };
            CHECK(support::textOf(configuration::checkDocument(read(document))).empty());
            document["services"][1].erase("zones");
            CHECK(support::textOf(configuration::checkDocument(read(document))).empty());
        }
        SUBCASE("a document too large to be distributed is an error")
        {
            auto document = cleanDocument();
            auto& kinds = document["services"][1]["kinds"];
            for (int n = 10; n < 8000; ++n)
                kinds.push_back({ { "id", n }, { "name", "k" + std::to_string(n) } });
            CHECK(support::textOf(check(document)) == "invalid (root)");
        }
    }

    TEST_CASE("differences of a document are listed in the order of their risk")
    {
        const auto base = read(cleanDocument());
        CHECK(support::textOf(check(cleanDocument(), &base)).empty());
        const CheckRow rows[] = {
            { CheckRule::Removed, "/services/1/kinds/1", "/services/1/kinds",
                { { { "id", 2 }, { "name", "booking" } } } },
            { CheckRule::ChangedTarget, "/services/1/zones", "/services/1/zones", json::array() },
            { CheckRule::ChangedTarget, "/services/0/drained_upstreams/0", "/services/0/drained_upstreams",
                json::array() },
            { CheckRule::ChangedTarget, "/evacuated_zones/0", "/evacuated_zones", { "bern" } },
            { CheckRule::ChangedTarget, "/services/1/kinds/0/placement", "/services/1/kinds/0/placement", "sticky" },
            { CheckRule::ChangedLimit, "/services/1/kinds/0/deadline_ms", "/services/1/kinds/0/deadline_ms", 900 },
            { CheckRule::ChangedLimit, "/services/0/hedging", "/services/0/hedging/max_share", 0 },
            { CheckRule::Added, "/services/0/addresses/1", "/services/0/addresses",
                { "127.0.0.1:4430", "127.0.0.1:4432" } },
            { CheckRule::Added, "/organizations/1", "/organizations/1", { { "name", "peachtree" } } },
        };
        for (const auto& it : rows)
            CHECK(support::textOf(check(it.applyTo(cleanDocument()), &base)) == it.expectedText());

        SUBCASE("removed entries come first and have their path in the base")
        {
            // Guards against an unintended removal that an operator overlooks below many other changes.
            auto document = cleanDocument();
            document["services"][0]["name"] = "workshop";
            document["services"][1]["addresses"] = { "127.0.0.1:4439" };
            document["services"][1]["cross_zone"] = false;
            document["services"][1]["drain_limit_ms"] = 5;
            CHECK(support::textOf(check(document, &base))
                == "removed /services/0, removed /services/1/addresses/0, changed_target /services/1/cross_zone, "
                   "changed_limit /services/1/drain_limit_ms, added /services/0, added /services/1/addresses/0");
        }
        SUBCASE("of a document of one organization, what belongs to the whole system isn't compared")
        {
            auto document = cleanDocument();
            document["zones"].push_back({ { "name", "thun" }, { "region", "ch" } });
            const auto report = configuration::checkDocument(read(document), { &base, {}, true });
            CHECK(support::textOf(report).empty());
        }
    }
}
