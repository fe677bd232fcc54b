#include "ibisgw/adapters/TraceWriter.h"

#include "ibisgw/adapters/TraceIds.h"
#include "ibisgw/adapters/detail/SpanJson.h"
#include "ibisgw/core/JsonText.h"

#include <nlohmann/json.hpp>

namespace ibisgw::adapters {

core::Result<std::unique_ptr<TraceWriter>> TraceWriter::open(
    const std::string& file, double samplingRate, std::uint64_t maxFileBytes)
{
    std::ofstream out(file, std::ios::app | std::ios::binary);
    out.seekp(0, std::ios::end);
    if (!out)
        return core::fail(core::ErrorKind::IoFailed, "cannot write '" + file + "'; correct trace_file");
    const auto size = static_cast<std::uint64_t>(out.tellp());
    return std::unique_ptr<TraceWriter>(
        new TraceWriter(std::move(out), samplingRate, maxFileBytes > size ? maxFileBytes - size : 0));
}

TraceWriter::TraceWriter(std::ofstream file, double samplingRate, std::uint64_t remainingBytes)
    : m_file(std::move(file))
    , m_samplingRate(samplingRate)
    , m_remainingBytes(remainingBytes)
{
}

bool TraceWriter::isSampled(std::uint64_t flowHash) const
{
    return adapters::isSampled(flowHash, m_samplingRate);
}

void TraceWriter::write(const Span& span)
{
    const auto line = core::formatJson(detail::toJson(span)) + "\n";
    if (line.size() > m_remainingBytes) {
        ++m_droppedSpans;
        return;
    }
    // Flushed after each line, so that other processes read complete spans.
    m_file << line << std::flush;
    if (!m_file) {
        m_file.clear();
        ++m_droppedSpans;
        return;
    }
    m_remainingBytes -= line.size();
}

} // namespace ibisgw::adapters
