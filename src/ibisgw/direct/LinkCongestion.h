#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/direct/EgressPacer.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ibisgw::direct {

// What showed that the link, or this process, is behind with its packets.
enum class CongestionCause : std::uint8_t {
    Wait, // a packet waited too long for the link
    Drop, // the queue to the link was full
    Stall, // the process didn't run
    Receive, // packets come in at nearly the rate of the link, so that others are lost before they arrive
};

std::string_view nameOf(CongestionCause);

// Detects that packets of this balancer are late through its own fault: its link is full, or the process didn't run.
// Silence of upstreams in that time proves nothing. A wrong judgement delays the detection of a failed upstream by its
// own duration.
class LinkCongestion {
public:
    // A packet has waited this long for the link, whether it was sent or waits still.
    void noteWait(EgressClass, core::Duration wait, core::TimePoint now);
    // A packet was dropped because the queue was full.
    void noteDrop(core::TimePoint now) { note(CongestionCause::Drop, now); }
    // Packets came in at nearly the rate of the link.
    void noteFullReceiveRate(core::TimePoint now) { note(CongestionCause::Receive, now); }
    // Must be called at each tick and for each packet; a long gap between two calls shows that the process didn't run.
    void noteActivity(core::TimePoint now);

    // Whether the link is congested or was so a moment ago.
    bool isCongested(core::TimePoint now) const { return now < m_clearAt; }
    // Whether so little time has passed since a congestion that callers may still press. Too early to reset open flows
    // of an upstream for its silence: the link may lose packets that are not seen here.
    bool isRecovering(core::TimePoint now) const;
    CongestionCause cause() const { return m_cause; }
    // End of the newest congestion: silence counts as evidence from then on only.
    core::TimePoint clearAt() const { return m_clearAt; }
    // Silence that began at this time counts from the returned time on.
    core::TimePoint countedFrom(core::TimePoint silentSince) const { return std::max(silentSince, m_clearAt); }
    // Whether an observation that began at `since` must be ignored because the link was congested at that time or
    // later. Counts those ignored.
    bool discards(core::TimePoint since);
    std::uint64_t discardedCount() const { return m_discardedCount; }

private:
    void note(CongestionCause, core::TimePoint now);

    core::TimePoint m_clearAt {};
    CongestionCause m_cause { CongestionCause::Wait };
    std::optional<core::TimePoint> m_lastActivityAt;
    std::uint64_t m_discardedCount { 0 };
};

} // namespace ibisgw::direct
