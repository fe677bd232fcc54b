#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/ProblemList.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace ibisgw;
using nlohmann::json;

namespace {

json validDocument()
{
    return json::parse(R"({
        "organizations": [{"name": "peachtree"}, {"name": "gravurwerk"}],
        "zones": [{"name": "bern", "region": "ch-mittelland"}, {"name": "biel", "region": "ch-mittelland"}],
        "services": [
            {"name": "atelier", "organization": "gravurwerk", "addresses": ["127.0.0.1:4430"], "zones": ["bern"],
             "cross_zone": false, "drain_limit_ms": 60000,
             "kinds": [{"id": 1, "name": "progress", "idempotent": true, "placement": "sticky"},
                       {"id": 2, "name": "order", "deadline_ms": 900, "retry_limit": 2, "concurrency_limit": 10,
                        "queue_limit": 0, "on_partition": "refuse"}]},
            {"name": "slotdesk", "organization": "peachtree", "addresses": ["127.0.0.1:4431", "127.0.0.1:4432"],
             "kinds": [{"id": 3, "name": "booking"}]}
        ]
    })");
}

std::string problemPaths(const json& document)
{
    const auto reading = configuration::readDocument(document);
    // Guards against a partial document, which a daemon would apply.
    CHECK(reading.document.has_value() == reading.problems.empty());
    return support::pathsOf(reading.problems);
}

// A value of a type or size that the reader may not expect, for random corruption.
json randomValue(core::RandomSource& random)
{
    const json values[] = { nullptr, true, -1, 0, 70000, 1.5, 1e300, "", "x/~y", "\xff\xfe", "1.2.3.4", "1.2.3.4:99999",
        json::array(), json::array({ 1, nullptr, json::object() }), json::object(),
        json::object({ { "name", json::array() } }), std::numeric_limits<std::uint64_t>::max() };
    return values[random.below(std::size(values))];
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("a valid document is read completely and written back")
    {
        const auto reading = configuration::readDocument(validDocument());
        REQUIRE(reading.document);
        const auto& document = *reading.document;
        CHECK(document.services[0].kinds[1].deadlineMs == 900);
        CHECK(document.services[0].kinds[1].onPartition == configuration::PartitionBehaviour::Refuse);
        CHECK_FALSE(document.services[0].isCrossZoneAllowed);

        SUBCASE("the writer writes every field that the reader reads")
        {
            // Guards against a field that is lost when an accepted document is written.
            const auto written = configuration::writeDocument(document);
            const auto again = configuration::readDocument(written);
            REQUIRE(again.document);
            CHECK(configuration::writeDocument(*again.document) == written);
            // Every field of the operator's document has the same value in the written document.
            const auto flat = validDocument().flatten();
            for (const auto& [path, value] : flat.items())
                CHECK(written.at(json::json_pointer(path)) == value);
        }
        SUBCASE("the canonical text does not depend on the order of the fields")
        {
            // Guards against different hashes of equal documents.
            const auto text = configuration::canonicalText(document);
            const auto again = configuration::readDocument(json::parse(text));
            REQUIRE(again.document);
            CHECK(configuration::canonicalText(*again.document) == text);
            CHECK(text.starts_with(R"({"organizations":[{"name":"peachtree"})"));
        }
    }

    TEST_CASE("the list of evacuated zones is optional")
    {
        auto document = validDocument();
        SUBCASE("a document without evacuated zones is written without the member")
        {
            // Guards against a changed hash of a stored document, and against a member that daemons of an earlier
            // release refuse although no zone is evacuated.
            const auto text = configuration::canonicalText(*configuration::readDocument(document).document);
            CHECK(text.find("evacuated_zones") == std::string::npos);
            document["evacuated_zones"] = json::array();
            CHECK(configuration::canonicalText(*configuration::readDocument(document).document) == text);
        }
        SUBCASE("evacuated zones are read and written back")
        {
            document["evacuated_zones"] = { "biel", "bern" };
            const auto reading = configuration::readDocument(document);
            REQUIRE(reading.document);
            CHECK(reading.document->isEvacuated("bern"));
            CHECK_FALSE(reading.document->isEvacuated("thun"));
            CHECK(configuration::writeDocument(*reading.document)["evacuated_zones"] == document["evacuated_zones"]);
        }
        SUBCASE("unknown, repeated and malformed entries are reported")
        {
            // Guards against a misspelled zone, which would stay in service although its evacuation was accepted.
            document["evacuated_zones"] = { "biel", "brn", "biel", 7 };
            CHECK(problemPaths(document) == "/evacuated_zones/1 /evacuated_zones/2 /evacuated_zones/3");
            const auto problems = configuration::readDocument(document).problems;
            CHECK(support::mentions(problems, "correct the name"));
            CHECK(support::mentions(problems, "remove one of them"));
            document["evacuated_zones"] = "biel";
            CHECK(problemPaths(document) == "/evacuated_zones");
        }
    }

    // Guards against a limit of hedged requests that is lost, or that operators mistype without notice.
    TEST_CASE("the limit of hedged requests is read, checked and written")
    {
        auto document = validDocument();
        auto& service = document["services"][0];
        SUBCASE("a valid limit is kept")
        {
            service["hedging"] = { { "max_share", 0.05 } };
            const auto reading = configuration::readDocument(document);
            REQUIRE(reading.document);
            CHECK(reading.document->services[0].hedging.maxShare == 0.05);
            CHECK(reading.document->services[1].hedging.maxShare == 0);
            const auto written = configuration::writeDocument(*reading.document);
            CHECK(written["services"][0]["hedging"]["max_share"] == 0.05);
        }
        SUBCASE("a document without it has the same text as before, because earlier versions refuse the member")
        {
            for (const bool isZero : { false, true }) {
                if (isZero)
                    service["hedging"] = { { "max_share", 0 } };
                const auto reading = configuration::readDocument(document);
                REQUIRE(reading.document);
                CHECK(configuration::canonicalText(*reading.document).find("hedging") == std::string::npos);
            }
        }
        SUBCASE("any other value is refused with its path and the valid values")
        {
            for (const json& it : { json(-0.01), json(0.21), json("0.05"), json(nullptr) }) {
                service["hedging"] = { { "max_share", it } };
                const auto reading = configuration::readDocument(document);
                REQUIRE(reading.problems.size() == 1);
                CHECK(reading.problems[0].path == "/services/0/hedging/max_share");
                if (it.is_number())
                    CHECK(reading.problems[0].message == "must be between 0.0 and 0.2");
            }
            service["hedging"] = { { "share", 0.05 } };
            CHECK(problemPaths(document) == "/services/0/hedging/share");
            service["hedging"] = 0.05;
            CHECK_FALSE(configuration::readDocument(document).document);
        }
    }

    TEST_CASE("all faults are reported at once, so that an operator corrects a document in one pass")
    {
        auto document = validDocument();
        auto& services = document["services"];

        SUBCASE("unknown fields, such as a misspelled limit")
        {
            // Guards against a misspelled field that leaves the default value in force.
            document["zone"] = 1;
            services[0]["kinds"][1]["deadline"] = 5;
            CHECK(problemPaths(document) == "/services/0/kinds/1/deadline /zone");
        }
        SUBCASE("wrong types and missing fields")
        {
            services[0]["cross_zone"] = "yes";
            services[0]["kinds"][0]["id"] = "1";
            services[1].erase("organization");
            document["zones"][1] = "biel";
            CHECK(problemPaths(document)
                == "/services/0/cross_zone /services/0/kinds/0/id /services/1/organization /zones/1");
        }
        SUBCASE("values out of range, which would wrap around in a narrower integer")
        {
            services[0]["kinds"][0]["id"] = 65536;
            services[0]["kinds"][1]["deadline_ms"] = 0;
            services[0]["kinds"][1]["retry_limit"] = -1;
            services[1]["kinds"][0]["concurrency_limit"] = 1.5;
            services[1]["kinds"][0]["queue_limit"] = 4'294'967'296;
            CHECK(problemPaths(document)
                == "/services/0/kinds/0/id /services/0/kinds/1/deadline_ms /services/0/kinds/1/retry_limit "
                   "/services/1/kinds/0/concurrency_limit /services/1/kinds/0/queue_limit");
        }
        SUBCASE("unknown names of enumeration values")
        {
            // Guards against a regression: an unknown name was read as the default value.
            services[0]["kinds"][0]["placement"] = "stiky";
            services[0]["kinds"][1]["on_partition"] = "";
            CHECK(problemPaths(document) == "/services/0/kinds/0/placement /services/0/kinds/1/on_partition");
        }
        SUBCASE("duplicate names and kind numbers")
        {
            document["organizations"][1]["name"] = "peachtree";
            document["zones"][1]["name"] = "bern";
            services[1]["name"] = "atelier";
            services[1]["kinds"][0]["id"] = 2;
            services[0]["kinds"][1]["name"] = "progress";
            services[0]["organization"] = "peachtree";
            CHECK(problemPaths(document)
                == "/organizations/1/name /services/0/kinds/1/name /services/1/kinds/0/id /services/1/name "
                   "/zones/1/name");
        }
        SUBCASE("an address that two services use")
        {
            // Guards against packets that are delivered to upstreams of the wrong service.
            services[1]["addresses"] = { "bad", "127.0.0.1:4430", "127.0.0.1:0", "127.0.0.1:4431", "127.0.0.1:4431" };
            CHECK(problemPaths(document)
                == "/services/1/addresses/0 /services/1/addresses/1 /services/1/addresses/2 /services/1/addresses/4");
        }
        SUBCASE("references to zones and organizations that are not listed")
        {
            services[0]["zones"] = { "bern", "thun" };
            services[1]["organization"] = "nobody";
            CHECK(problemPaths(document) == "/services/0/zones/1 /services/1/organization");
        }
        SUBCASE("a service without addresses or kinds")
        {
            services[0]["addresses"] = json::array();
            services[0]["kinds"] = json::array();
            CHECK(problemPaths(document) == "/services/0/addresses /services/0/kinds");
        }
        SUBCASE("names that do not fit into URLs and metric labels")
        {
            services[0]["name"] = "a b";
            services[1]["name"] = std::string(65, 'x');
            CHECK(problemPaths(document) == "/services/0/name /services/1/name");
        }
    }

    TEST_CASE("the reader never throws, however corrupted the document is")
    {
        // Guards against daemons that terminate because of a document received from a peer.
        for (const json& it : { json(), json(1), json("x"), json::array({ 1 }), json::object() })
            CHECK_FALSE(configuration::readDocument(it).document);
        core::PcgRandomSource random(11);
        const auto valid = validDocument();
        const auto flat = valid.flatten();
        for (int round = 0; round < 5000; ++round) {
            auto damaged = valid;
            auto target = flat.begin();
            std::advance(target, static_cast<std::ptrdiff_t>(random.below(flat.size())));
            auto pointer = json::json_pointer(target.key());
            for (auto n = random.below(3); n > 0; --n)
                pointer.pop_back();
            damaged[pointer] = randomValue(random);
            const auto reading = configuration::readDocument(damaged);
            CHECK(reading.document.has_value() == reading.problems.empty());
        }
    }

    TEST_CASE("JSON text is rejected for faults that the parsed value does not show")
    {
        std::vector<core::Problem> problems;
        SUBCASE("a repeated field")
        {
            // Guards against one of the two values being dropped silently.
            CHECK_FALSE(core::parseJson(R"({"a": {"b": 1, "b": 2}})", problems));
            CHECK(support::mentions(problems, "'b'"));
        }
        SUBCASE("deep nesting")
        {
            // Guards against stack exhaustion when the value is copied recursively.
            CHECK_FALSE(core::parseJson(std::string(500'000, '['), problems));
            CHECK_FALSE(core::parseJson(std::string(100, '[') + std::string(100, ']'), problems));
            CHECK(support::mentions(problems, "levels"));
        }
        SUBCASE("malformed text is reported with its position")
        {
            CHECK_FALSE(core::parseJson("{\"a\": }", problems));
            CHECK(support::mentions(problems, "column 7"));
        }
        SUBCASE("the same field in different objects is accepted")
        {
            CHECK(core::parseJson(R"([{"a": {"a": 1}}, {"a": 2}])", problems));
            CHECK(problems.empty());
        }
    }
}
