#include "ibisgw/configuration/detail/ReferenceCheck.h"

#include "ibisgw/core/ObjectReader.h"

#include <set>
#include <string>
#include <unordered_map>

namespace ibisgw::configuration::detail {

namespace {

using core::Problem;

// The messages do not name the other entry of a conflict, because it may belong to an organization that the recipient
// of the message has no access to.

// Adds a problem for each entry whose name is already used in the list, and returns all names.
template <typename Entry>
std::set<std::string> collectNames(
    const std::vector<Entry>& entries, const std::string& list, std::vector<Problem>& problems)
{
    std::set<std::string> names;
    for (std::size_t n = 0; n < entries.size(); ++n) {
        const auto& name = entries[n].name;
        if (!name.empty() && !names.insert(name).second)
            problems.push_back(
                { core::childPath(list, n) + "/name", "is already used in this list; choose another name" });
    }
    return names;
}

// Packets carry the number of a kind without the name of the service, so the numbers must be unique in the document.
void checkKindIds(const Document& document, std::vector<Problem>& problems)
{
    std::set<core::KindId> ids;
    for (std::size_t n = 0; n < document.services.size(); ++n) {
        const auto& kinds = document.services[n].kinds;
        for (std::size_t k = 0; k < kinds.size(); ++k) {
            if (kinds[k].id != 0 && !ids.insert(kinds[k].id).second)
                problems.push_back({ core::childPath(core::childPath("/services", n) + "/kinds", k) + "/id",
                    std::to_string(kinds[k].id) + " is already the number of another kind; choose another number" });
        }
    }
}

void checkAddresses(const Document& document, std::vector<Problem>& problems)
{
    std::unordered_map<core::Endpoint, std::size_t> owners;
    for (std::size_t n = 0; n < document.services.size(); ++n) {
        const auto& addresses = document.services[n].addresses;
        for (std::size_t k = 0; k < addresses.size(); ++k) {
            if (addresses[k].port == 0)
                continue;
            const auto [owner, isNew] = owners.try_emplace(addresses[k], n);
            if (!isNew && owner->second != n)
                problems.push_back({ core::childPath(core::childPath("/services", n) + "/addresses", k),
                    addresses[k].toString() + " belongs to another service; give each service its own addresses" });
        }
    }
}

void checkEvacuatedZones(const Document& document, const std::set<std::string>& zones, std::vector<Problem>& problems)
{
    for (std::size_t n = 0; n < document.evacuatedZones.size(); ++n) {
        const auto& zone = document.evacuatedZones[n];
        if (!zone.empty() && !zones.contains(zone))
            problems.push_back({ core::childPath("/evacuated_zones", n),
                "'" + zone + "' is not listed in /zones; add it there, correct the name or remove it here" });
    }
}

} // namespace

void checkReferences(const Document& document, std::vector<Problem>& problems)
{
    const auto organizations = collectNames(document.organizations, "/organizations", problems);
    const auto zones = collectNames(document.zones, "/zones", problems);
    collectNames(document.services, "/services", problems);
    for (std::size_t n = 0; n < document.services.size(); ++n) {
        const auto& service = document.services[n];
        const auto path = core::childPath("/services", n);
        if (!service.organization.empty() && !organizations.contains(service.organization))
            problems.push_back({ path + "/organization",
                "'" + service.organization + "' is not listed in /organizations; add it there or correct the name" });
        for (std::size_t k = 0; k < service.zones.size(); ++k) {
            if (!service.zones[k].empty() && !zones.contains(service.zones[k]))
                problems.push_back({ core::childPath(path + "/zones", k),
                    "'" + service.zones[k] + "' is not listed in /zones; add it there or correct the name" });
        }
        collectNames(service.kinds, path + "/kinds", problems);
    }
    checkKindIds(document, problems);
    checkAddresses(document, problems);
    checkEvacuatedZones(document, zones, problems);
}

} // namespace ibisgw::configuration::detail
