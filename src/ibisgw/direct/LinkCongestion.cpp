#include "ibisgw/direct/LinkCongestion.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::direct {

namespace {

constexpr core::NameTable<CongestionCause, 4> causeNames { {
    { CongestionCause::Wait, "wait" },
    { CongestionCause::Drop, "drop" },
    { CongestionCause::Stall, "stall" },
    { CongestionCause::Receive, "receive" },
} };

// Waits from which on a packet shows congestion. Half of the 50 ms after which an opening packet without a response
// counts as evidence.
constexpr core::Duration controlWaitThreshold = std::chrono::milliseconds(25);
// Three quarters of the 100 ms for an unconfirmed opening. A burst of 16 full packets, which callers send at once,
// waits 70 ms at 2 Mbit/s.
constexpr core::Duration interactiveWaitThreshold = std::chrono::milliseconds(75);
// Half of the 200 ms after which callers retransmit.
constexpr core::Duration bulkWaitThreshold = std::chrono::milliseconds(100);
constexpr std::array<core::Duration, egressClassCount> waitThresholds { controlWaitThreshold, interactiveWaitThreshold,
    bulkWaitThreshold };

// A longer gap in the execution of the process delays packets as much as a full link does.
constexpr core::Duration stallThreshold = std::chrono::milliseconds(100);

// The judgement ends this long after the last sign of congestion: callers retransmit the packets that were late then
// after 200 ms at most.
constexpr core::Duration holdTime = std::chrono::milliseconds(200);

// Callers retransmit at intervals of up to 1.6 s and try a request three times.
constexpr core::Duration recoveryTime = std::chrono::seconds(5);

} // namespace

std::string_view nameOf(CongestionCause cause)
{
    return causeNames.nameOf(cause);
}

void LinkCongestion::noteWait(EgressClass egressClass, core::Duration wait, core::TimePoint now)
{
    if (wait >= waitThresholds[static_cast<std::size_t>(egressClass)])
        note(CongestionCause::Wait, now);
}

void LinkCongestion::noteActivity(core::TimePoint now)
{
    if (m_lastActivityAt && now - *m_lastActivityAt > stallThreshold)
        note(CongestionCause::Stall, now);
    m_lastActivityAt = now;
}

void LinkCongestion::note(CongestionCause cause, core::TimePoint now)
{
    if (!isCongested(now))
        m_cause = cause;
    m_clearAt = now + holdTime;
}

bool LinkCongestion::isRecovering(core::TimePoint now) const
{
    return m_clearAt != core::TimePoint {} && now - m_clearAt < recoveryTime;
}

bool LinkCongestion::discards(core::TimePoint since)
{
    if (since >= m_clearAt)
        return false;
    ++m_discardedCount;
    return true;
}

} // namespace ibisgw::direct
