#include "ibisgw/runtime/ConnectProber.h"

#include "ibisgw/adapters/EventLoop.h"

namespace ibisgw::runtime {

using direct::ProbeResult;

namespace {

// Far above the round-trip time between zones, and below the retransmission timeout of callers.
constexpr core::Duration probeTimeout = std::chrono::milliseconds(125);

} // namespace

ConnectProber::ConnectProber(adapters::EventLoop& loop, ResultHandler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
}

ConnectProber::~ConnectProber() = default;

void ConnectProber::probe(upstream::InstanceId id, core::Endpoint target, core::TimePoint now)
{
    auto probe = std::make_unique<Probe>();
    auto* entry = probe.get();
    entry->deadline = now + probeTimeout;
    entry->stream = adapters::TcpStream::connect(m_loop, target,
        { [entry] { entry->isConnected = true; }, [](const char*, std::size_t) {},
            [entry] { entry->isClosed = true; } });
    entry->isClosed = !entry->stream;
    ++m_probeCount;
    m_probes[id] = std::move(probe);
}

void ConnectProber::tick(core::TimePoint now)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        const auto& probe = *it->second;
        if (!probe.isConnected && !probe.isClosed && now < probe.deadline) {
            ++it;
            continue;
        }
        const auto result = probe.isConnected ? ProbeResult::Answered
            : probe.isClosed                  ? ProbeResult::Refused
                                              : ProbeResult::NoAnswer;
        const auto id = it->first;
        it = m_probes.erase(it);
        m_handler(id, result);
    }
}

} // namespace ibisgw::runtime
