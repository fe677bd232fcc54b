#include "ibisgw/adapters/detail/DocumentScope.h"

#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ibisgw::adapters::detail {

namespace {

using configuration::Document;
using configuration::Service;

constexpr std::string_view servicesPrefix = "/services/";

template <typename Entry> const Entry* findNamed(const std::vector<Entry>& entries, const std::string& name)
{
    const auto it = std::ranges::find(entries, name, &Entry::name);
    return it == entries.end() ? nullptr : &*it;
}

bool isSameService(const Service& a, const Service& b)
{
    Document first;
    Document second;
    first.services = { a };
    second.services = { b };
    return configuration::canonicalText(first) == configuration::canonicalText(second);
}

std::vector<core::Problem> findForbiddenChanges(
    const Document& base, const Document& submitted, const std::string& organization)
{
    std::vector<core::Problem> forbiddenChanges;
    for (std::size_t n = 0; n < submitted.organizations.size(); ++n) {
        if (!findNamed(base.organizations, submitted.organizations[n].name))
            forbiddenChanges.push_back({ core::childPath("/organizations", n),
                "only a token for the whole system may add an organization; remove it" });
    }
    for (std::size_t n = 0; n < submitted.zones.size(); ++n) {
        const auto* zone = findNamed(base.zones, submitted.zones[n].name);
        if (!zone || zone->region != submitted.zones[n].region)
            forbiddenChanges.push_back({ core::childPath("/zones", n),
                "only a token for the whole system may add or change a zone; restore it or leave it out" });
    }
    for (std::size_t n = 0; n < submitted.services.size(); ++n) {
        const auto& service = submitted.services[n];
        const auto* old = findNamed(base.services, service.name);
        if (service.organization != organization && (!old || !isSameService(*old, service)))
            forbiddenChanges.push_back({ core::childPath("/services", n),
                "the token may change only services of organization '" + organization + "'; leave this one out" });
    }
    for (std::size_t n = 0; n < submitted.evacuatedZones.size(); ++n) {
        if (!base.isEvacuated(submitted.evacuatedZones[n]))
            forbiddenChanges.push_back({ core::childPath("/evacuated_zones", n),
                "only a token for the whole system may evacuate a zone; leave it out" });
    }
    return forbiddenChanges;
}

// Appends the services of the combined document to `combined`. Returns for each of them its index in the
// submitted document, or the number of submitted services if it belongs to another organization.
std::vector<std::size_t> combineServices(
    const Document& base, const Document& submitted, const std::string& organization, std::vector<Service>& combined)
{
    std::vector<std::size_t> origins;
    const auto add = [&](const Service& service, std::size_t origin) {
        combined.push_back(service);
        origins.push_back(origin);
    };
    std::vector<bool> isUsed(submitted.services.size());
    for (const auto& it : base.services) {
        if (it.organization != organization) {
            add(it, submitted.services.size());
            continue;
        }
        const auto* replacement = findNamed(submitted.services, it.name);
        if (!replacement || replacement->organization != organization)
            continue;
        const auto origin = static_cast<std::size_t>(replacement - submitted.services.data());
        add(*replacement, origin);
        isUsed[origin] = true;
    }
    for (std::size_t n = 0; n < submitted.services.size(); ++n) {
        if (!isUsed[n] && submitted.services[n].organization == organization)
            add(submitted.services[n], n);
    }
    return origins;
}

// Converts a path of the combined document, which the caller does not see, to a path of the submitted one.
// A problem in a service of another organization is reported for all submitted services: the base document is
// valid, so one of them causes it.
std::string submittedPath(const std::string& path, const std::vector<std::size_t>& origins, std::size_t submittedCount)
{
    if (!path.starts_with(servicesPrefix))
        return path;
    std::size_t end = 0;
    const auto index = std::stoul(path.substr(servicesPrefix.size()), &end);
    if (index >= origins.size() || origins[index] >= submittedCount)
        return "/services";
    return core::childPath("/services", origins[index]) + path.substr(servicesPrefix.size() + end);
}

} // namespace

Document restrictDocument(const Document& document, const std::string& organization)
{
    Document restricted;
    restricted.zones = document.zones;
    restricted.evacuatedZones = document.evacuatedZones;
    for (const auto& it : document.organizations) {
        if (it.name == organization)
            restricted.organizations.push_back(it);
    }
    for (const auto& it : document.services) {
        if (it.organization == organization)
            restricted.services.push_back(it);
    }
    return restricted;
}

ScopedChange applyScopedChange(const Document& base, const Document& submitted, const std::string& organization)
{
    ScopedChange change;
    change.forbiddenChanges = findForbiddenChanges(base, submitted, organization);
    change.document.organizations = base.organizations;
    change.document.zones = base.zones;
    change.document.evacuatedZones = base.evacuatedZones;
    const auto origins = combineServices(base, submitted, organization, change.document.services);
    auto reading = configuration::readDocument(configuration::writeDocument(change.document));
    for (auto& it : reading.problems)
        change.problems.push_back(
            { submittedPath(it.path, origins, submitted.services.size()), std::move(it.message) });
    return change;
}

} // namespace ibisgw::adapters::detail
