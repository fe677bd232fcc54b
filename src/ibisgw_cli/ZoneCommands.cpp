#include "ibisgw_cli/ZoneCommands.h"

#include <ostream>

namespace ibisgw_cli {

namespace {

using nlohmann::json;

// `order` is the last part of the path of the API: evacuate or restore.
ExitStatus sendOrder(const Invocation& invocation, const std::string& order)
{
    auto status = ExitStatus::Ok;
    const auto client = invocation.connect(status);
    if (!client)
        return status;
    const auto& zone = invocation.arguments[0];
    const auto reply = client->post("/api/v1/zones/" + ApiClient::percentEncode(zone) + "/" + order, json::object());
    // Without an answer the order may or may not be accepted; it is safe to repeat the request.
    status = exitStatusOfSubmission(reply);
    if (reply.status == 200 && reply.body.contains("evacuated"))
        status = ExitStatus::Ok;
    if (status != ExitStatus::Ok)
        return invocation.reportFailure(reply, status);
    if (invocation.format == OutputFormat::Json)
        invocation.printJson(reply.body);
    else
        invocation.out << "zone " << zone << " is " << (reply.body["evacuated"] == true ? "evacuated" : "in service")
                       << " by revision " << reply.body.value("revision", json()) << "\n";
    return status;
}

} // namespace

ExitStatus runZoneEvacuate(const Invocation& invocation)
{
    return sendOrder(invocation, "evacuate");
}

ExitStatus runZoneRestore(const Invocation& invocation)
{
    return sendOrder(invocation, "restore");
}

ExitStatus runZoneList(const Invocation& invocation)
{
    auto status = ExitStatus::Ok;
    const auto client = invocation.connect(status);
    if (!client)
        return status;
    const auto reply = client->get("/api/v1/zones");
    status = exitStatusOf(reply);
    if (status != ExitStatus::Ok)
        return invocation.reportFailure(reply, status);
    if (invocation.format == OutputFormat::Json) {
        invocation.printJson(reply.body);
        return status;
    }
    invocation.out << "revision " << reply.body.value("revision", json()) << " is in force on this daemon\n";
    printTable(invocation.out, reply.body.value("zones", json::array()), { "name", "region", "evacuated" });
    return status;
}

} // namespace ibisgw_cli
