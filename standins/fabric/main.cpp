#include "common/StandinOptions.h"
#include "fabric/Fabric.h"

using namespace ibisgw;

int main(int argc, char** argv)
{
    cxxopts::Options options("ibisgw-fabric", "Forwards packets to random live balancers");
    options.add_options()("caller-side", "Address for packets from callers",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))("upstream-side",
        "Address for packets from upstreams and heartbeats of balancers",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "ports-file", "File that receives the bound addresses", cxxopts::value<std::string>()->default_value(""))(
        "seed", "Seed of the random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "loss", "Share of packets lost", cxxopts::value<double>()->default_value("0"))("duplication",
        "Share of packets delivered twice", cxxopts::value<double>()->default_value("0"))("help", "Show this text");
    return standins::runStandin(options, argc, argv, [](const auto& arguments) -> core::Result<int> {
        BOOST_LEAF_AUTO(callerAddress, standins::endpointOption(arguments, "caller-side"));
        BOOST_LEAF_AUTO(upstreamAddress, standins::endpointOption(arguments, "upstream-side"));
        BOOST_LEAF_AUTO(callerSide, adapters::UdpSocket::bind(callerAddress));
        BOOST_LEAF_AUTO(upstreamSide, adapters::UdpSocket::bind(upstreamAddress));
        const auto portsFile = arguments["ports-file"].template as<std::string>();
        if (!portsFile.empty())
            standins::writeJsonFile(portsFile,
                { { "caller_side", callerSide.localEndpoint().toString() },
                    { "upstream_side", upstreamSide.localEndpoint().toString() } });
        standins::Fabric fabric(
            { arguments["seed"].template as<std::uint64_t>(), arguments["loss"].template as<double>(),
                arguments["duplication"].template as<double>() },
            callerSide, upstreamSide);
        fabric.run();
        return 0;
    });
}
