#pragma once

#include "ibisgw/adapters/TraceWriter.h"
#include "ibisgw/core/RandomSource.h"
#include "ibisgw/packet/Packet.h"

#include <memory>
#include <string>
#include <string_view>

namespace ibisgwd {

// Writes a span for each sampled packet that this balancer handles. Packets sent while it is handled carry the span as
// their parent, so that the hops of a flow can be joined into a trace.
class HopTracer {
public:
    // Without a writer no packets are sampled.
    HopTracer(std::string daemon, std::unique_ptr<ibisgw::adapters::TraceWriter>, ibisgw::core::RandomSource&);

    // Calls `handle()`, within a span if the flow of the packet is sampled. `source` names the sender's side, such as
    // "caller", in the hop name.
    template <typename Handler>
    void trace(std::string_view source, const ibisgw::packet::Packet& packet, Handler handle)
    {
        if (!isSampled(packet)) {
            handle();
            return;
        }
        beginSpan();
        handle();
        endSpan(source, packet);
    }

    // True during trace() for a packet of a sampled flow.
    bool isInSpan() const { return m_currentSpan != 0; }
    // Adds the trace and the current span to a packet that is about to be sent.
    void attachTrace(ibisgw::packet::Packet&) const;

private:
    bool isSampled(const ibisgw::packet::Packet&) const;
    void beginSpan();
    void endSpan(std::string_view source, const ibisgw::packet::Packet&);

    std::string m_daemon;
    std::unique_ptr<ibisgw::adapters::TraceWriter> m_writer;
    ibisgw::core::RandomSource& m_random;
    // Identifier of the current span; 0 outside a span.
    std::uint64_t m_currentSpan { 0 };
    std::uint64_t m_startUs { 0 };
};

} // namespace ibisgwd
