#include "ibisgwd/HopTracer.h"

#include "ibisgw/adapters/TraceIds.h"
#include "ibisgw/adapters/WallClock.h"

namespace ibisgwd {

using namespace ibisgw;

HopTracer::HopTracer(std::string daemon, std::unique_ptr<adapters::TraceWriter> writer, core::RandomSource& random)
    : m_daemon(std::move(daemon))
    , m_writer(std::move(writer))
    , m_random(random)
{
}

bool HopTracer::isSampled(const packet::Packet& packet) const
{
    return m_writer && m_writer->isSampled(packet.flow.hash());
}

void HopTracer::beginSpan()
{
    m_currentSpan = m_random.next() | 1;
    m_startUs = adapters::wallClockMicroseconds();
}

void HopTracer::endSpan(std::string_view source, const packet::Packet& packet)
{
    adapters::Span span;
    span.traceId = adapters::traceIdOfFlow(packet.flow.hash());
    span.spanId = adapters::formatSpanId(m_currentSpan);
    if (packet.trace.parentSpan != 0)
        span.parentId = adapters::formatSpanId(packet.trace.parentSpan);
    span.hop = m_daemon + "." + std::string(packet::nameOf(packet.type)) + "-from-" + std::string(source);
    span.startUs = m_startUs;
    span.durationUs = adapters::wallClockMicroseconds() - m_startUs;
    m_writer->write(span);
    m_currentSpan = 0;
}

void HopTracer::attachTrace(packet::Packet& packet) const
{
    packet.trace.traceLow = packet.flow.hash();
    packet.trace.parentSpan = m_currentSpan;
}

} // namespace ibisgwd
