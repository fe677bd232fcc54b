#pragma once

#include "ibisgw/adapters/TcpStream.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/direct/ResponseMonitor.h"

#include <functional>
#include <map>
#include <memory>

namespace ibisgw::runtime {

// Finds out whether an upstream takes connections. Nothing is sent on them, so a probe takes no slot of the upstream.
class ConnectProber {
public:
    using ResultHandler = std::function<void(upstream::InstanceId, direct::ProbeResult)>;

    ConnectProber(adapters::EventLoop&, ResultHandler);
    ~ConnectProber();

    void probe(upstream::InstanceId, core::Endpoint, core::TimePoint now);
    // Ends the probes that have taken too long.
    void tick(core::TimePoint now);
    // Forgets all running probes without results.
    void abandon() { m_probes.clear(); }
    std::uint64_t probeCount() const { return m_probeCount; }

private:
    struct Probe {
        std::unique_ptr<adapters::TcpStream> stream;
        core::TimePoint deadline;
        // Set by the stream, which must not be destroyed within its own callback.
        bool isConnected { false };
        bool isClosed { false };
    };

    adapters::EventLoop& m_loop;
    ResultHandler m_handler;
    std::map<upstream::InstanceId, std::unique_ptr<Probe>> m_probes;
    std::uint64_t m_probeCount { 0 };
};

} // namespace ibisgw::runtime
