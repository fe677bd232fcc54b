#pragma once

#include "ibisgw/adapters/TraceWriter.h"
#include "ibisgw/core/RandomSource.h"
#include "ibisgw/packet/Packet.h"

#include <memory>
#include <string>
#include <string_view>

namespace ibisgwd {

// Writes a span for each sampled packet that this balancer handles, and hands the span on in the packets
// that follow from it, so that the hops of one flow can be joined.
class HopTracer {
public:
    // Without a writer nothing is sampled.
    HopTracer(std::string daemon, std::unique_ptr<ibisgw::adapters::TraceWriter>, ibisgw::core::RandomSource&);

    // Handles the packet with `handle()`, inside a span if its flow is sampled.
    template <typename Handler> void trace(std::string_view side, const ibisgw::packet::Packet& packet, Handler handle)
    {
        if (!isSampled(packet)) {
            handle();
            return;
        }
        begin();
        handle();
        end(side, packet);
    }

    // True while a packet of a sampled flow is handled.
    bool isInSpan() const { return m_span != 0; }
    // Marks a packet that is sent inside a span.
    void mark(ibisgw::packet::Packet&) const;

private:
    bool isSampled(const ibisgw::packet::Packet&) const;
    void begin();
    void end(std::string_view side, const ibisgw::packet::Packet&);

    std::string m_daemon;
    std::unique_ptr<ibisgw::adapters::TraceWriter> m_writer;
    ibisgw::core::RandomSource& m_random;
    // 0 outside a span.
    std::uint64_t m_span { 0 };
    std::uint64_t m_startUs { 0 };
};

} // namespace ibisgwd
