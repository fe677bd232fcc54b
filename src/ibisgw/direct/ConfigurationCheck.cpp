#include "ibisgw/direct/ConfigurationCheck.h"

#include "ibisgw/core/NameTable.h"
#include "ibisgw/core/ObjectReader.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace ibisgw::direct {

namespace {

using core::CheckReport;
using core::CheckRule;

constexpr core::NameTable<RouteKind, 4> kindNames { {
    { RouteKind::Idempotent, "idempotent" },
    { RouteKind::NonIdempotent, "non_idempotent" },
    { RouteKind::Upload, "upload" },
    { RouteKind::Download, "download" },
} };

std::string titleOf(const Route& route)
{
    return "route '" + route.name + "' at " + route.address.toString();
}

std::string textOf(core::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

void checkVersion(const RouteConfiguration& configuration, const RouteConfiguration& base, CheckReport& report)
{
    if (configuration.version > base.version)
        return;
    report.add(CheckRule::VersionNotHigher, "/version",
        std::to_string(configuration.version) + " is not higher than version " + std::to_string(base.version)
            + ", so the controllers ignore the configuration; use a version above " + std::to_string(base.version));
}

void checkRoute(const Route& route, const std::string& path, CheckReport& report)
{
    if (route.timeout < route.latencyObjective)
        report.add(CheckRule::TimeoutBelowObjective, path,
            titleOf(route) + " has a timeout of " + textOf(route.timeout) + ", below its latency objective of "
                + textOf(route.latencyObjective) + "; raise the timeout or lower the objective");
    for (const auto& it : route.targets) {
        if (it.weight == 0)
            report.add(CheckRule::ZeroWeight, path,
                titleOf(route) + " gives service '" + it.service
                    + "' the weight 0, so it gets no flows; raise the weight or remove the service");
    }
}

void checkServices(const RouteConfiguration& configuration, CheckReport& report)
{
    std::set<core::ServiceName> targets;
    for (const auto& route : configuration.routes) {
        for (const auto& it : route.targets)
            targets.insert(it.service);
    }
    std::set<core::ServiceName> names;
    std::size_t index = 0;
    for (const auto& it : configuration.services) {
        const auto path = core::childPath("/services", index++);
        if (!names.insert(it.name).second) {
            report.add(
                CheckRule::Shadowed, path, "service '" + it.name + "' is listed before; remove one of the entries");
            continue;
        }
        if (!targets.contains(it.name))
            report.add(CheckRule::UnusedService, path,
                "service '" + it.name + "' has no route; add it to the targets of a route or remove it");
        if (it.warmUpPerSecond > 0 && it.coldStart == core::Duration::zero())
            report.add(CheckRule::WarmUpWithoutColdStart, path,
                "service '" + it.name
                    + "' limits cold upstreams but has no cold start, so one that was silent counts as warm; set the "
                      "duration of the cold start or remove the limit");
    }
}

// Sum of the weights of each service, in a form that is equal for targets in any order.
std::string textOf(const std::vector<RouteTarget>& targets)
{
    std::map<core::ServiceName, std::uint64_t> weights;
    for (const auto& it : targets)
        weights[it.service] += it.weight;
    std::string text;
    for (const auto& [service, weight] : weights)
        text += (text.empty() ? "'" : ", '") + service + "' (weight " + std::to_string(weight) + ")";
    return text;
}

std::string coldStartTextOf(const ServiceConfiguration& service)
{
    std::ostringstream text;
    text << service.warmUpPerSecond << " requests/s for " << textOf(service.coldStart);
    return text.str();
}

// Adds a difference for each property of a route that has changed.
class RouteComparison {
public:
    RouteComparison(const Route& after, std::string path, CheckReport& report)
        : m_title(titleOf(after))
        , m_path(std::move(path))
        , m_report(report)
    {
    }

    void compare(const std::string& property, const std::string& before, const std::string& after, CheckRule rule)
    {
        if (before != after)
            m_report.addDifference(
                rule, m_path, m_title + ": " + property + " changes from " + before + " to " + after);
    }

private:
    std::string m_title;
    std::string m_path;
    CheckReport& m_report;
};

void compareRoute(const Route& before, const Route& after, const std::string& path, CheckReport& report)
{
    RouteComparison comparison(after, path, report);
    const auto kindOf = [](const Route& it) { return std::string(kindNames.nameOf(it.kind)); };
    comparison.compare("targets", textOf(before.targets), textOf(after.targets), CheckRule::ChangedTarget);
    comparison.compare("kind", kindOf(before), kindOf(after), CheckRule::ChangedTarget);
    comparison.compare("name", "'" + before.name + "'", "'" + after.name + "'", CheckRule::ChangedTarget);
    comparison.compare("timeout", textOf(before.timeout), textOf(after.timeout), CheckRule::ChangedLimit);
    comparison.compare(
        "latency objective", textOf(before.latencyObjective), textOf(after.latencyObjective), CheckRule::ChangedLimit);
    comparison.compare(
        "priority", std::to_string(before.priority), std::to_string(after.priority), CheckRule::ChangedLimit);
}

// Routes are matched by their addresses, because callers know the address only.
void compareRoutes(const std::vector<Route>& before, const std::vector<Route>& after, CheckReport& report)
{
    std::map<core::Endpoint, const Route*> oldRoutes;
    for (const auto& it : before)
        oldRoutes.emplace(it.address, &it);
    std::set<core::Endpoint> addresses;
    std::size_t index = 0;
    for (const auto& it : after) {
        const auto path = core::childPath("/routes", index++);
        addresses.insert(it.address);
        if (const auto old = oldRoutes.find(it.address); old != oldRoutes.end())
            compareRoute(*old->second, it, path, report);
        else
            report.addDifference(CheckRule::Added, path, titleOf(it) + " is added");
    }
    index = 0;
    for (const auto& it : before) {
        const auto path = core::childPath("/routes", index++);
        if (!addresses.contains(it.address))
            report.addDifference(CheckRule::Removed, path, titleOf(it) + " is removed, its callers get resets");
    }
}

// Adds a difference for each service of `services` that `others` lacks.
void compareServiceNames(const std::vector<ServiceConfiguration>& services,
    const std::vector<ServiceConfiguration>& others, CheckRule rule, CheckReport& report)
{
    const auto* const change = rule == CheckRule::Removed ? "' is removed" : "' is added";
    std::size_t index = 0;
    for (const auto& it : services) {
        const auto path = core::childPath("/services", index++);
        if (std::ranges::find(others, it.name, &ServiceConfiguration::name) == others.end())
            report.addDifference(rule, path, std::string("service '").append(it.name).append(change));
    }
}

void compareServices(const std::vector<ServiceConfiguration>& before, const std::vector<ServiceConfiguration>& after,
    CheckReport& report)
{
    compareServiceNames(before, after, CheckRule::Removed, report);
    compareServiceNames(after, before, CheckRule::Added, report);
    std::size_t index = 0;
    for (const auto& it : after) {
        const auto path = core::childPath("/services", index++);
        const auto old = std::ranges::find(before, it.name, &ServiceConfiguration::name);
        if (old != before.end() && *old != it)
            report.addDifference(CheckRule::ChangedLimit, path,
                "service '" + it.name + "': limit of cold upstreams changes from " + coldStartTextOf(*old) + " to "
                    + coldStartTextOf(it));
    }
}

void compareConfigurations(const RouteConfiguration& before, const RouteConfiguration& after, CheckReport& report)
{
    compareRoutes(before.routes, after.routes, report);
    compareServices(before.services, after.services, report);
    if (before.idleTimeout != after.idleTimeout)
        report.addDifference(CheckRule::ChangedLimit, "/limits",
            "idle timeout changes from " + textOf(before.idleTimeout) + " to " + textOf(after.idleTimeout));
}

} // namespace

CheckReport checkConfiguration(const RouteConfiguration& configuration, const RouteConfiguration* base)
{
    CheckReport report;
    report.addErrors(findProblems(configuration));
    if (report.count(core::Severity::Error) > 0)
        return report;
    checkServices(configuration, report);
    for (std::size_t n = 0; n < configuration.routes.size(); ++n)
        checkRoute(configuration.routes[n], core::childPath("/routes", n), report);
    if (base) {
        checkVersion(configuration, *base, report);
        compareConfigurations(*base, configuration, report);
    }
    return report;
}

} // namespace ibisgw::direct
