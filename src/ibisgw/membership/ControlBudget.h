#pragma once

#include "ibisgw/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace ibisgw::membership {

// Kinds of control messages, the most urgent first.
enum class Priority : std::uint8_t {
    Configuration, // also state changes of upstreams, such as draining
    Membership,
    FlowRecords,
    Load,
};

// Limits the control bytes that a daemon sends in any window of one second. A token bucket with rate r and burst b lets
// r + b bytes through in its worst second; with a burst of a whole datagram, r could be only 65 % of the limit. Here
// tokens return exactly one second after they were spent, so that the whole limit can be used.
class ControlBudget {
public:
    static constexpr std::size_t defaultBytesPerSecond = 4096;
    // Bytes of each datagram besides the body: 28 of IPv4 and UDP headers, 60 of the envelope of MessageAuthenticator.
    static constexpr std::size_t overheadBytes = 28 + 60;

    // With reserveForMembership, configuration leaves a share of the limit to probes.
    explicit ControlBudget(std::size_t bytesPerSecond = defaultBytesPerSecond, bool reserveForMembership = true);

    // Spends the bytes of a message with the given body if the limit of its priority allows them; otherwise returns
    // false.
    bool trySpend(Priority, std::size_t bodyBytes, core::TimePoint now);
    // Largest body in bytes that trySpend() would accept now.
    std::size_t room(Priority, core::TimePoint now);
    // Counts bytes that are sent outside of gossip, such as on streams between controllers.
    void chargeBytes(std::size_t bytes, core::TimePoint now);

    // Bytes spent since the start.
    std::uint64_t totalBytes() const { return m_totalBytes; }

private:
    struct Expense {
        core::TimePoint time;
        std::size_t bytes;
    };

    void returnTokens(core::TimePoint now);

    // By priority: bytes in the window up to which messages of the priority may be sent.
    std::array<std::size_t, 4> m_limits;
    std::deque<Expense> m_expenses;
    std::size_t m_spent { 0 };
    std::uint64_t m_totalBytes { 0 };
};

} // namespace ibisgw::membership
