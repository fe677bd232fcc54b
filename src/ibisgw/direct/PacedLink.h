#pragma once

#include "ibisgw/direct/EgressPacer.h"
#include "ibisgw/direct/LinkAdmission.h"
#include "ibisgw/direct/LinkCongestion.h"

namespace ibisgw::direct {

// A balancer's link: paces the packets that it sends. Reports their waits and the rate of the packets that come in to
// LinkCongestion, and the queued bytes to LinkAdmission.
class PacedLink {
public:
    PacedLink(PacerOptions, LinkCongestion&, LinkAdmission&);

    // As for EgressPacer.
    bool admit(std::size_t bytes, core::TimePoint now) { return m_pacer.admit(bytes, now); }
    bool enqueue(EgressPacket, core::TimePoint now);
    std::optional<EgressPacket> next(core::TimePoint now);
    // A packet of this size came in.
    void noteReceived(std::size_t bytes, core::TimePoint now);
    // Judges the packets that still wait. Call before silence is judged.
    void tick(core::TimePoint now);

    const EgressPacer& pacer() const { return m_pacer; }

private:
    void reportQueued(core::TimePoint now);

    std::uint64_t m_bytesPerSecond;
    EgressPacer m_pacer;
    // Bytes that came in since m_receiveWindowStart.
    std::size_t m_receivedBytes { 0 };
    core::TimePoint m_receiveWindowStart {};
    LinkCongestion& m_congestion;
    LinkAdmission& m_admission;
};

} // namespace ibisgw::direct
