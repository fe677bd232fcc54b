#include "ibisgw/direct/PacedLink.h"

namespace ibisgw::direct {

namespace {

// A link at this share of its rate loses packets that come in bursts.
constexpr double fullReceiveShare = 0.8;
// Longer than the burst of one upload, 16 full packets, takes on a link of 2 Mbit/s.
constexpr core::Duration receiveWindow = std::chrono::milliseconds(200);

} // namespace

PacedLink::PacedLink(PacerOptions options, LinkCongestion& congestion, LinkAdmission& admission)
    : m_bytesPerSecond(options.bytesPerSecond)
    , m_pacer(options)
    , m_congestion(congestion)
    , m_admission(admission)
{
}

bool PacedLink::enqueue(EgressPacket packet, core::TimePoint now)
{
    const auto droppedBefore = m_pacer.droppedFull();
    const bool isQueued = m_pacer.enqueue(std::move(packet), now);
    if (m_pacer.droppedFull() > droppedBefore)
        m_congestion.noteDrop(now);
    reportQueued(now);
    return isQueued;
}

std::optional<EgressPacket> PacedLink::next(core::TimePoint now)
{
    auto packet = m_pacer.next(now);
    if (!packet)
        return packet;
    m_congestion.noteWait(packet->egressClass, now - packet->queuedAt, now);
    reportQueued(now);
    return packet;
}

void PacedLink::reportQueued(core::TimePoint now)
{
    m_admission.setQueued({ m_pacer.queuedCost(EgressClass::Control), m_pacer.queuedCost(EgressClass::Interactive),
                              m_pacer.queuedCost(EgressClass::Bulk) },
        now);
}

void PacedLink::noteReceived(std::size_t bytes, core::TimePoint now)
{
    if (m_bytesPerSecond == 0)
        return;
    if (now - m_receiveWindowStart >= receiveWindow) {
        m_receiveWindowStart = now;
        m_receivedBytes = 0;
    }
    m_receivedBytes += EgressPacer::costOf(bytes);
    const double limit = fullReceiveShare * static_cast<double>(m_bytesPerSecond) * core::toSeconds(receiveWindow);
    if (static_cast<double>(m_receivedBytes) > limit)
        m_congestion.noteFullReceiveRate(now);
}

void PacedLink::tick(core::TimePoint now)
{
    m_congestion.noteActivity(now);
    for (const auto egressClass : { EgressClass::Control, EgressClass::Interactive, EgressClass::Bulk })
        m_congestion.noteWait(egressClass, m_pacer.longestWait(egressClass, now), now);
}

} // namespace ibisgw::direct
