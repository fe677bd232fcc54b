#include "ibisgw_cli/OperationCommands.h"

#include <ostream>

namespace ibisgw_cli {

namespace {

using nlohmann::json;

// `kind` is the collection in the path of the API: upstreams or balancers.
ExitStatus requestDrain(const Invocation& invocation, const std::string& kind)
{
    const auto& name = invocation.arguments[0];
    return invocation.sendOrder("/api/v1/" + kind + "/" + ApiClient::percentEncode(name) + "/drain", "draining",
        [&name](const json&) { return "draining " + name; });
}

} // namespace

ExitStatus runStatus(const Invocation& invocation)
{
    auto status = ExitStatus::Ok;
    const auto body = invocation.get("/api/v1/status", status);
    if (!body)
        return status;
    if (invocation.format == OutputFormat::Json) {
        invocation.printJson(*body);
        return status;
    }
    invocation.out << "revision " << body->value("newest_revision", json()) << " is in force on "
                   << body->value("daemons_in_force", json()) << " of " << body->value("daemons", json())
                   << " daemons\n";
    if (body->contains("members")) {
        printTable(invocation.out, json::array({ { { "leader", body->value("leader", json("")) } } }), { "leader" });
        printTable(invocation.out, body->at("members"),
            { "name", "control", "zone", "balancer", "controller", "state", "revision" });
    }
    return status;
}

ExitStatus runUpstreams(const Invocation& invocation)
{
    return invocation.showList(
        "/api/v1/upstreams", "upstreams", { "address", "service", "zone", "state", "slots", "load", "open_flows" });
}

ExitStatus runFlows(const Invocation& invocation)
{
    if (invocation.caller.empty() && invocation.service.empty())
        return invocation.showList("/api/v1/flows", "flows", { "service", "upstream", "open_flows" });
    if (invocation.caller.empty() || invocation.service.empty())
        return invocation.fail(ExitStatus::InvalidInput, "invalid_input", "give both --caller and --service");
    auto status = ExitStatus::Ok;
    const auto body = invocation.get("/api/v1/flows?caller=" + ApiClient::percentEncode(invocation.caller)
            + "&service=" + ApiClient::percentEncode(invocation.service),
        status);
    if (!body)
        return status;
    if (invocation.format == OutputFormat::Json)
        invocation.printJson(*body);
    else
        printTable(invocation.out, json::array({ *body }), { "service", "upstream", "source" });
    return status;
}

ExitStatus runDrainUpstream(const Invocation& invocation)
{
    return requestDrain(invocation, "upstreams");
}

ExitStatus runDrainBalancer(const Invocation& invocation)
{
    return requestDrain(invocation, "balancers");
}

ExitStatus runTrace(const Invocation& invocation)
{
    return invocation.showList("/api/v1/traces/" + ApiClient::percentEncode(invocation.arguments[0]), "spans",
        { "span", "parent", "hop", "service", "start_us", "duration_us" });
}

} // namespace ibisgw_cli
