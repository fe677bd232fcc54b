#include "ibisgw/configuration/detail/DocumentComparison.h"

#include "ibisgw/configuration/DocumentWriter.h"
#include "ibisgw/core/ObjectReader.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace ibisgw::configuration::detail {

namespace {

using core::CheckReport;
using core::CheckRule;
using nlohmann::json;

// Lists of texts whose entries are compared one by one.
bool isSet(const std::string& member)
{
    return member == "addresses" || member == "drained_upstreams" || member == "evacuated_zones";
}

bool isLimit(const std::string& member)
{
    static const std::set<std::string> limits { "deadline_ms", "retry_limit", "concurrency_limit", "queue_limit",
        "drain_limit_ms", "hedging" };
    return limits.contains(member);
}

// How a list of objects is compared.
struct EntryList {
    std::string member;
    // Member that identifies an entry.
    std::string identity;
    std::string noun;
};

// Compares two documents in the form that the writer gives them, so that each member is present, except those that are
// written only if they are used.
class Comparison {
public:
    explicit Comparison(CheckReport& report)
        : m_report(report)
    {
    }

    // `owner` names the object that holds the list in messages, such as "service 'a': ".
    void compareEntries(const EntryList&, const json& before, const json& after, const std::string& path,
        const std::string& owner = "");
    void compareSets(const std::string& member, const json& before, const json& after, const std::string& path,
        const std::string& owner);

private:
    void compareMember(const std::string& member, const json& before, const json& after, const std::string& path,
        const std::string& owner);
    void compareObjects(const json& before, const json& after, const std::string& path, const std::string& owner);

    CheckReport& m_report;
};

std::string titleOf(const EntryList& list, const json& entry)
{
    return list.noun + " '" + entry.at("name").get<std::string>() + "'";
}

// The entry with its index, by its identity.
std::map<std::string, std::size_t> indexEntries(const EntryList& list, const json& entries)
{
    std::map<std::string, std::size_t> indexes;
    for (std::size_t n = 0; n < entries.size(); ++n)
        indexes.emplace(entries[n].at(list.identity).dump(), n);
    return indexes;
}

void Comparison::compareEntries(
    const EntryList& list, const json& before, const json& after, const std::string& path, const std::string& owner)
{
    const auto oldIndexes = indexEntries(list, before);
    const auto newIndexes = indexEntries(list, after);
    for (std::size_t n = 0; n < before.size(); ++n) {
        if (!newIndexes.contains(before[n].at(list.identity).dump()))
            m_report.addDifference(
                CheckRule::Removed, core::childPath(path, n), owner + titleOf(list, before[n]) + " is removed");
    }
    for (std::size_t n = 0; n < after.size(); ++n) {
        const auto entryPath = core::childPath(path, n);
        const auto title = owner + titleOf(list, after[n]);
        if (const auto old = oldIndexes.find(after[n].at(list.identity).dump()); old != oldIndexes.end())
            compareObjects(before[old->second], after[n], entryPath, title + ": ");
        else
            m_report.addDifference(CheckRule::Added, entryPath, title + " is added");
    }
}

// An address that is removed or added changes what callers reach; other lists change which upstreams serve them.
void Comparison::compareSets(
    const std::string& member, const json& before, const json& after, const std::string& path, const std::string& owner)
{
    const bool isAddress = member == "addresses";
    const auto listPath = core::childPath(path, member);
    const std::set<std::string> oldTexts(before.begin(), before.end());
    const std::set<std::string> newTexts(after.begin(), after.end());
    const auto reportMissing
        = [&](const json& list, const std::set<std::string>& others, CheckRule rule, const std::string& change) {
              for (std::size_t n = 0; n < list.size(); ++n) {
                  const auto text = list[n].get<std::string>();
                  if (!others.contains(text))
                      m_report.addDifference(isAddress ? rule : CheckRule::ChangedTarget, core::childPath(listPath, n),
                          (owner + "'").append(text).append(change));
              }
          };
    reportMissing(before, newTexts, CheckRule::Removed, "' is removed from " + member);
    reportMissing(after, oldTexts, CheckRule::Added, "' is added to " + member);
}

void Comparison::compareMember(
    const std::string& member, const json& before, const json& after, const std::string& path, const std::string& owner)
{
    if (member == "kinds")
        compareEntries({ "kinds", "id", "kind" }, before, after, core::childPath(path, member), owner);
    else if (isSet(member))
        compareSets(member, before, after, path, owner);
    else if (before != after)
        m_report.addDifference(isLimit(member) ? CheckRule::ChangedLimit : CheckRule::ChangedTarget,
            core::childPath(path, member), owner + member + " changes from " + before.dump() + " to " + after.dump());
}

void Comparison::compareObjects(
    const json& before, const json& after, const std::string& path, const std::string& owner)
{
    std::set<std::string> members;
    for (const auto* it : { &before, &after }) {
        for (const auto& [member, value] : it->items())
            members.insert(member);
    }
    for (const auto& it : members)
        compareMember(it, before.value(it, json()), after.value(it, json()), path, owner);
}

} // namespace

void compareDocuments(const Document& base, const Document& document, ComparedPart part, CheckReport& report)
{
    const auto before = writeDocument(base);
    const auto after = writeDocument(document);
    Comparison comparison(report);
    const auto compareList = [&](const EntryList& list) {
        comparison.compareEntries(list, before.at(list.member), after.at(list.member), "/" + list.member);
    };
    compareList({ "services", "name", "service" });
    if (part == ComparedPart::Services)
        return;
    compareList({ "zones", "name", "zone" });
    compareList({ "organizations", "name", "organization" });
    const auto none = json::array();
    comparison.compareSets(
        "evacuated_zones", before.value("evacuated_zones", none), after.value("evacuated_zones", none), "", "zone ");
}

} // namespace ibisgw::configuration::detail
