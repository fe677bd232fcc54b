#include "ibisgw/membership/ControlBudget.h"

namespace ibisgw::membership {

namespace {

constexpr core::Duration window = std::chrono::seconds(1);

} // namespace

// Configuration leaves 17 % of the limit to membership, enough for five probes without rumors a second, so that a long
// transfer of a document cannot delay probes and refutations until peers declare this daemon dead. In the same way
// FlowRecords leaves 4 % to Configuration, and Load 4 % to FlowRecords: more than one probe or request takes.
ControlBudget::ControlBudget(std::size_t bytesPerSecond, bool reserveForMembership)
    : m_limits { reserveForMembership ? bytesPerSecond * 83 / 100 : bytesPerSecond, bytesPerSecond,
        bytesPerSecond * 79 / 100, bytesPerSecond * 75 / 100 }
{
}

bool ControlBudget::trySpend(Priority priority, std::size_t bodyBytes, core::TimePoint now)
{
    returnTokens(now);
    const auto bytes = bodyBytes + overheadBytes;
    if (m_spent + bytes > m_limits[static_cast<std::size_t>(priority)])
        return false;
    chargeBytes(bytes, now);
    return true;
}

std::size_t ControlBudget::room(Priority priority, core::TimePoint now)
{
    returnTokens(now);
    const auto limit = m_limits[static_cast<std::size_t>(priority)];
    return limit > m_spent + overheadBytes ? limit - m_spent - overheadBytes : 0;
}

void ControlBudget::chargeBytes(std::size_t bytes, core::TimePoint now)
{
    m_expenses.push_back({ now, bytes });
    m_spent += bytes;
    m_totalBytes += bytes;
}

void ControlBudget::returnTokens(core::TimePoint now)
{
    // Bytes spent exactly one second ago still count, so that the limit also holds for a closed window.
    while (!m_expenses.empty() && m_expenses.front().time < now - window) {
        m_spent -= m_expenses.front().bytes;
        m_expenses.pop_front();
    }
}

} // namespace ibisgw::membership
