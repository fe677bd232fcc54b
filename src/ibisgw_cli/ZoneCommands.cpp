#include "ibisgw_cli/ZoneCommands.h"

#include <ostream>

namespace ibisgw_cli {

namespace {

using nlohmann::json;

// `order` is the last part of the path of the API: evacuate or restore.
ExitStatus sendZoneOrder(const Invocation& invocation, const std::string& order)
{
    const auto& zone = invocation.arguments[0];
    return invocation.sendOrder(
        "/api/v1/zones/" + ApiClient::percentEncode(zone) + "/" + order, "evacuated", [&zone](const json& answer) {
            const bool isEvacuated = answer["evacuated"] == true;
            return "zone " + zone + " is " + (isEvacuated ? "evacuated" : "in service") + " by revision "
                + answer.value("revision", json()).dump();
        });
}

} // namespace

ExitStatus runZoneEvacuate(const Invocation& invocation)
{
    return sendZoneOrder(invocation, "evacuate");
}

ExitStatus runZoneRestore(const Invocation& invocation)
{
    return sendZoneOrder(invocation, "restore");
}

ExitStatus runZoneList(const Invocation& invocation)
{
    auto status = ExitStatus::Ok;
    const auto body = invocation.get("/api/v1/zones", status);
    if (!body)
        return status;
    if (invocation.format == OutputFormat::Json) {
        invocation.printJson(*body);
        return status;
    }
    invocation.out << "revision " << body->value("revision", json()) << " is in force on this daemon\n";
    printTable(invocation.out, body->value("zones", json::array()), { "name", "region", "evacuated" });
    return status;
}

} // namespace ibisgw_cli
