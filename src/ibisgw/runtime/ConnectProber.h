#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/direct/ResponseMonitor.h"

#include <functional>
#include <map>
#include <optional>

namespace ibisgw::runtime {

// Probes whether an upstream accepts TCP connections. No data is sent on a connection, so a probe occupies no slot of
// the upstream.
class ConnectProber {
public:
    using ResultHandler = std::function<void(upstream::InstanceId, direct::ProbeResult)>;

    explicit ConnectProber(ResultHandler);
    ~ConnectProber();
    ConnectProber(const ConnectProber&) = delete;
    ConnectProber& operator=(const ConnectProber&) = delete;

    void probe(upstream::InstanceId, core::Endpoint, core::TimePoint now);
    // Passes the results of finished and timed-out probes to the handler.
    void tick(core::TimePoint now);
    // Cancels all running probes without calling the handler.
    void cancelAll();
    std::uint64_t probeCount() const { return m_probeCount; }

private:
    struct Probe {
        // Non-blocking socket; negative if none could be created.
        int fd { -1 };
        core::TimePoint deadline;
        // Set if the result was known at once.
        std::optional<direct::ProbeResult> result;
    };

    static void closeSocket(Probe&);

    ResultHandler m_handler;
    std::map<upstream::InstanceId, Probe> m_probes;
    std::uint64_t m_probeCount { 0 };
};

} // namespace ibisgw::runtime
