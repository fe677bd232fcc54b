#include "callers/CallerPool.h"
#include "common/StandinOptions.h"

using namespace ibisgw;

int main(int argc, char** argv)
{
    const auto text = [](const char* value) { return cxxopts::value<std::string>()->default_value(value); };
    const auto number = [](const char* value) { return cxxopts::value<unsigned>()->default_value(value); };
    cxxopts::Options options("ibisgw-callers", "Simulates callers that keep streams open and send requests");
    options.add_options()("fabric", "Address of the fabric for packets from callers", text("127.0.0.1:0"))(
        "service", "Service address", text("127.0.0.1:0"))("streams", "Streams to keep open", number("0"))(
        "requests-per-second", "Short flows with one request", number("0"))("duration-ms",
        "How long new requests start, in ms", number("10000"))("deadline-ms", "Deadline of a request", number("2000"))(
        "stream-kind", "Kind number of streams", number("1"))("request-kind", "Kind number of requests", number("2"))(
        "echo-token", "Echo flow tokens", cxxopts::value<bool>()->default_value("true"))(
        "report", "File that receives the report", text(""))("help", "Show this text");
    return standins::runStandin(options, argc, argv, [](const auto& arguments) -> core::Result<int> {
        const auto numberOf = [&](const char* name) { return arguments[name].template as<unsigned>(); };
        BOOST_LEAF_AUTO(fabric, standins::endpointOption(arguments, "fabric"));
        BOOST_LEAF_AUTO(service, standins::endpointOption(arguments, "service"));
        BOOST_LEAF_AUTO(socket, adapters::UdpSocket::bind({}));
        standins::CallerPoolOptions poolOptions;
        poolOptions.fabric = fabric;
        poolOptions.service = service;
        poolOptions.streamKind = static_cast<core::KindId>(numberOf("stream-kind"));
        poolOptions.requestKind = static_cast<core::KindId>(numberOf("request-kind"));
        poolOptions.streams = numberOf("streams");
        poolOptions.requestsPerSecond = numberOf("requests-per-second");
        poolOptions.duration = std::chrono::milliseconds(numberOf("duration-ms"));
        poolOptions.deadlineMs = numberOf("deadline-ms");
        poolOptions.echoToken = arguments["echo-token"].template as<bool>();
        standins::CallerPool pool(poolOptions, socket);
        pool.run();
        const auto reportFile = arguments["report"].template as<std::string>();
        if (!reportFile.empty())
            standins::writeJsonFile(reportFile, pool.report());
        return 0;
    });
}
