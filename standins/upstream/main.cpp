#include "common/StandinOptions.h"
#include "upstream/UpstreamHost.h"

using namespace ibisgw;

int main(int argc, char** argv)
{
    const auto text = [](const char* value) { return cxxopts::value<std::string>()->default_value(value); };
    const auto number = [](const char* value) { return cxxopts::value<unsigned>()->default_value(value); };
    cxxopts::Options options("ibisgw-upstream", "Upstream host that announces itself and runs requests");
    options.add_options()("listen", "Address to serve on", text("127.0.0.1:0"))("fabric",
        "Address of the fabric for packets from upstreams", text("127.0.0.1:0"))("service", "Service", text(""))(
        "zone", "Availability zone", text(""))("slots", "Requests run at once", number("2"))(
        "queue", "Requests that wait for a slot", number("8"))("service-ms", "Time of one request in ms", number("50"))(
        "warm-up-ms", "Length of the cold start in ms", number("0"))("report-lag-ms", "Age of reported load in ms",
        number("1000"))("drain-limit-ms", "Longest drain in ms", number("30000"))(
        "journal", "File that receives a line for each executed request", text(""))("help", "Show this text");
    return standins::runStandin(options, argc, argv, [](const auto& arguments) -> core::Result<int> {
        const auto milliseconds
            = [&](const char* name) { return std::chrono::milliseconds(arguments[name].template as<unsigned>()); };
        BOOST_LEAF_AUTO(listen, standins::endpointOption(arguments, "listen"));
        BOOST_LEAF_AUTO(fabric, standins::endpointOption(arguments, "fabric"));
        BOOST_LEAF_AUTO(socket, adapters::UdpSocket::bind(listen));
        standins::UpstreamHostOptions hostOptions;
        hostOptions.service = arguments["service"].template as<std::string>();
        hostOptions.zone = arguments["zone"].template as<std::string>();
        hostOptions.fabric = fabric;
        hostOptions.slots = static_cast<std::uint16_t>(arguments["slots"].template as<unsigned>());
        hostOptions.queueLimit = arguments["queue"].template as<unsigned>();
        hostOptions.serviceTime = milliseconds("service-ms");
        hostOptions.warmUp = milliseconds("warm-up-ms");
        hostOptions.reportLag = milliseconds("report-lag-ms");
        hostOptions.drainLimit = milliseconds("drain-limit-ms");
        hostOptions.journalFile = arguments["journal"].template as<std::string>();
        standins::UpstreamHost host(hostOptions, socket);
        host.run();
        return 0;
    });
}
