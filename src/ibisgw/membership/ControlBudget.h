#pragma once

#include "ibisgw/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace ibisgw::membership {

enum class Priority : std::uint8_t {
    Configuration, // and upstream state changes such as draining
    Membership,
    FlowRecords,
    Load,
};

// Limits the control bytes that leave a daemon in every window of one second. A token bucket with rate r
// and burst b lets r + b bytes through in its worst second, so one that may send a whole datagram at once
// could use only 65 % of the limit. Tokens here return exactly one second after they were spent.
class ControlBudget {
public:
    static constexpr std::size_t defaultBytesPerSecond = 4096;
    // IPv4 and UDP headers, and the envelope of MessageAuthenticator.
    static constexpr std::size_t overheadBytes = 28 + 60;

    explicit ControlBudget(std::size_t bytesPerSecond = defaultBytesPerSecond, bool reserveForMembership = true);

    // Spends the bytes of a message with the given body, if its priority leaves room for them.
    bool trySpend(Priority, std::size_t bodyBytes, core::TimePoint now);
    // Bytes that a body of the given priority may have now.
    std::size_t room(Priority, core::TimePoint now);
    // Counts bytes that leave on other ways, such as streams between controllers.
    void noteSpent(std::size_t bytes, core::TimePoint now);

    std::uint64_t totalBytes() const { return m_totalBytes; }

private:
    struct Expense {
        core::TimePoint time;
        std::size_t bytes;
    };

    void returnTokens(core::TimePoint now);

    // Largest use of the window up to which a priority may still send.
    std::array<std::size_t, 4> m_limits;
    std::deque<Expense> m_expenses;
    std::size_t m_spent { 0 };
    std::uint64_t m_totalBytes { 0 };
};

} // namespace ibisgw::membership
