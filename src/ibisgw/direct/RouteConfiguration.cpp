#include "ibisgw/direct/RouteConfiguration.h"

#include "ibisgw/core/ObjectReader.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace ibisgw::direct {

namespace {

void checkTargets(const Route& route, const std::string& path, const std::set<core::ServiceName>& services,
    std::vector<core::Problem>& problems)
{
    if (route.totalWeight() == 0)
        problems.push_back({ path, "has no service with a weight above 0; add one" });
    for (const auto& it : route.targets) {
        if (!services.contains(it.service))
            problems.push_back({ path, "refers to the unknown service '" + it.service + "'; add it to the services" });
    }
}

} // namespace

std::uint64_t Route::totalWeight() const
{
    return std::accumulate(targets.begin(), targets.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const RouteTarget& it) { return sum + it.weight; });
}

std::vector<core::Problem> findProblems(const RouteConfiguration& configuration)
{
    std::vector<core::Problem> problems;
    if (configuration.version == 0)
        problems.push_back({ "/version", "is 0; versions start at 1" });
    std::set<core::ServiceName> services;
    for (const auto& it : configuration.services)
        services.insert(it.name);
    std::set<core::Endpoint> addresses;
    std::size_t index = 0;
    for (const auto& it : configuration.routes) {
        const auto path = core::childPath("/routes", index++);
        if (!addresses.insert(it.address).second)
            problems.push_back({ path, "has the address of another route; remove one of them" });
        if (it.timeout <= core::Duration::zero())
            problems.push_back({ path, "has no timeout; set one above 0" });
        checkTargets(it, path, services, problems);
    }
    return problems;
}

} // namespace ibisgw::direct
