#include "ibisgw/adapters/MetricsRegistry.h"

#include <charconv>

namespace ibisgw::adapters {

namespace {

// Escapes a label value or a help text. Label values may contain any text of the operators' document.
std::string escaped(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n')
            result += "\\n";
        else if (c == '\\' || c == '"')
            result.append(1, '\\').append(1, c);
        else
            result += c;
    }
    return result;
}

std::string labelText(const MetricsRegistry::Labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels)
        text.append(text.empty() ? "" : ",").append(name).append("=\"").append(escaped(value)).append("\"");
    return text;
}

std::string numberText(double value)
{
    char buf[32];
    const auto [end, ec] = std::to_chars(buf, buf + sizeof buf, value);
    return { buf, end };
}

void appendHeader(std::string& out, const std::string& name, const std::string& help, const char* type)
{
    out.append("# HELP ").append(name).append(" ").append(escaped(help)).append("\n");
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void appendSample(std::string& out, const std::string& name, const std::string& labels, const std::string& value)
{
    out.append(name);
    if (!labels.empty())
        out.append("{").append(labels).append("}");
    out.append(" ").append(value).append("\n");
}

void appendBucket(
    std::string& out, const std::string& name, const std::string& labels, const std::string& bound, std::uint64_t count)
{
    const auto separator = labels.empty() ? "" : ",";
    appendSample(out, name + "_bucket", labels + separator + "le=\"" + bound + "\"", std::to_string(count));
}

void appendLatency(
    std::string& out, const std::string& name, const std::string& labels, const LatencyHistogram& latency)
{
    for (std::size_t n = 0; n < LatencyHistogram::upperBounds.size(); ++n)
        appendBucket(out, name, labels, numberText(LatencyHistogram::upperBounds[n]), latency.countUpTo(n));
    appendBucket(out, name, labels, "+Inf", latency.count());
    appendSample(out, name + "_sum", labels, numberText(latency.sumSeconds()));
    appendSample(out, name + "_count", labels, std::to_string(latency.count()));
}

} // namespace

template <typename Metric>
Metric& MetricsRegistry::findOrCreate(
    Families<Metric>& families, const std::string& name, const std::string& help, const Labels& labels)
{
    auto& family = families[name];
    if (family.help.empty())
        family.help = help;
    return family.metrics[labelText(labels)];
}

std::uint64_t& MetricsRegistry::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return findOrCreate(m_counters, name, help, labels);
}

double& MetricsRegistry::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return findOrCreate(m_gauges, name, help, labels);
}

LatencyHistogram& MetricsRegistry::latency(const std::string& name, const std::string& help, const Labels& labels)
{
    return findOrCreate(m_latencies, name, help, labels);
}

std::string MetricsRegistry::render() const
{
    std::string out;
    for (const auto& [name, family] : m_counters) {
        appendHeader(out, name, family.help, "counter");
        for (const auto& [labels, value] : family.metrics)
            appendSample(out, name, labels, std::to_string(value));
    }
    for (const auto& [name, family] : m_gauges) {
        appendHeader(out, name, family.help, "gauge");
        for (const auto& [labels, value] : family.metrics)
            appendSample(out, name, labels, numberText(value));
    }
    for (const auto& [name, family] : m_latencies) {
        appendHeader(out, name, family.help, "histogram");
        for (const auto& [labels, latency] : family.metrics)
            appendLatency(out, name, labels, latency);
    }
    return out;
}

} // namespace ibisgw::adapters
