#pragma once

#include "ibisgw/adapters/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ibisgw::adapters {

// Named metrics of one process, rendered in the Prometheus text format (version 0.0.4). The returned
// references stay valid as long as the registry.
class MetricsRegistry {
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    // Return the metric with this name and these labels, which is created if necessary. A name must be used for one
    // kind of metric only. The help text of the first call with a name is the one that is rendered.
    std::uint64_t& counter(const std::string& name, const std::string& help, const Labels& = {});
    double& gauge(const std::string& name, const std::string& help, const Labels& = {});
    // By convention the name of a latency ends in "_seconds".
    LatencyHistogram& latency(const std::string& name, const std::string& help, const Labels& = {});

    std::string render() const;

private:
    template <typename Metric> struct Family {
        std::string help;
        // Metrics by their labels in the text format.
        std::map<std::string, Metric> metrics;
    };
    template <typename Metric> using Families = std::map<std::string, Family<Metric>>;

    template <typename Metric>
    static Metric& findOrCreate(Families<Metric>&, const std::string& name, const std::string& help, const Labels&);

    Families<std::uint64_t> m_counters;
    Families<double> m_gauges;
    Families<LatencyHistogram> m_latencies;
};

} // namespace ibisgw::adapters
