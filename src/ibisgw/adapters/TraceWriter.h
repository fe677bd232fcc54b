#pragma once

#include "ibisgw/adapters/Span.h"
#include "ibisgw/core/Error.h"

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>

namespace ibisgw::adapters {

// Appends the spans of sampled flows to a trace file, one JSON object on each line.
class TraceWriter {
public:
    static constexpr std::uint64_t defaultMaxFileBytes = 64UL * 1024 * 1024;

    // `samplingRate` is between 0 and 1. Spans that would make the file larger than `maxFileBytes` are dropped, so that
    // the trace file cannot fill the disk.
    static core::Result<std::unique_ptr<TraceWriter>> open(
        const std::string& file, double samplingRate, std::uint64_t maxFileBytes = defaultMaxFileBytes);

    // Whether the flow is traced. Inexpensive; to be checked before a span is created.
    bool isSampled(std::uint64_t flowHash) const;
    void write(const Span&);

    // Spans that were not written because the file is full or a write failed.
    std::uint64_t droppedSpans() const { return m_droppedSpans; }

private:
    TraceWriter(std::ofstream, double samplingRate, std::uint64_t remainingBytes);

    std::ofstream m_file;
    double m_samplingRate;
    std::uint64_t m_remainingBytes;
    std::uint64_t m_droppedSpans { 0 };
};

} // namespace ibisgw::adapters
