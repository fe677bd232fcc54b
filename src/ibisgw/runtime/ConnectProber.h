#pragma once

#include "ibisgw/adapters/TcpStream.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/direct/ResponseMonitor.h"

#include <functional>
#include <map>
#include <memory>

namespace ibisgw::runtime {

// Probes whether an upstream accepts TCP connections. No data is sent on a connection, so a probe occupies no slot of
// the upstream.
class ConnectProber {
public:
    using ResultHandler = std::function<void(upstream::InstanceId, direct::ProbeResult)>;

    ConnectProber(adapters::EventLoop&, ResultHandler);
    ~ConnectProber();

    void probe(upstream::InstanceId, core::Endpoint, core::TimePoint now);
    // Passes the results of finished and timed-out probes to the handler.
    void tick(core::TimePoint now);
    // Cancels all running probes without calling the handler.
    void cancelAll() { m_probes.clear(); }
    std::uint64_t probeCount() const { return m_probeCount; }

private:
    struct Probe {
        std::unique_ptr<adapters::TcpStream> stream;
        core::TimePoint deadline;
        // Set in callbacks of the stream. A stream must not be destroyed in its own callback, so tick() evaluates the
        // flags and destroys the probe.
        bool isConnected { false };
        bool isClosed { false };
    };

    adapters::EventLoop& m_loop;
    ResultHandler m_handler;
    std::map<upstream::InstanceId, std::unique_ptr<Probe>> m_probes;
    std::uint64_t m_probeCount { 0 };
};

} // namespace ibisgw::runtime
