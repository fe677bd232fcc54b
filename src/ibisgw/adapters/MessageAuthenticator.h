#pragma once

#include "ibisgw/core/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace ibisgw::adapters {

// What a message between daemons carries.
enum class Channel : std::uint8_t {
    Relay, // a caller's packet on its way to the home of its flow
    Gossip,
    Consensus,
    Stream,
};

using SharedKey = std::array<std::byte, 32>;

// Keys of a group of daemons. A message names its key by number, so that a new key can be given to
// all daemons before the first one signs with it.
struct KeyRing {
    std::uint8_t signingKey { 0 };
    std::unordered_map<std::uint8_t, SharedKey> keys;
};

struct AuthenticatedMessage {
    core::NodeId sender;
    Channel channel { Channel::Relay };
    // Points into the datagram.
    std::span<const std::byte> body;
};

struct AuthenticationCounters {
    std::uint64_t accepted { 0 };
    std::uint64_t malformed { 0 };
    std::uint64_t unknownKey { 0 };
    std::uint64_t altered { 0 };
    std::uint64_t replayed { 0 };
};

// Largest UDP payload over IPv4.
inline constexpr std::size_t maxUdpPayloadBytes = 65'507;

// Largest message on a stream; holds a snapshot with a document of the largest size (1 MiB).
inline constexpr std::size_t maxStreamMessageBytes = std::size_t { 4 } * 1024 * 1024;

// Seals and opens messages between daemons: HMAC-SHA-256 truncated to 16 bytes (RFC 2104, section 5)
// over sender, key number, epoch, sequence and body. Messages are not encrypted.
class MessageAuthenticator {
public:
    // The epoch must be larger after each restart of the sender; receivers drop older epochs.
    // Larger messages than the limit are neither sealed nor opened.
    MessageAuthenticator(
        core::NodeId self, KeyRing, std::uint64_t epoch, std::size_t maxMessageBytes = maxUdpPayloadBytes);

    bool seal(Channel, std::span<const std::byte> body, std::vector<std::byte>& datagram);
    std::optional<AuthenticatedMessage> open(std::span<const std::byte> datagram);
    // Replaces the keys, for rotation without a restart.
    void setKeys(KeyRing);

    const AuthenticationCounters& counters() const { return m_counters; }

private:
    // Anti-replay window of one sender (RFC 4303, section 3.4.3).
    struct ReplayWindow {
        std::uint64_t epoch { 0 };
        std::uint64_t highest { 0 };
        std::uint64_t seen { 0 };
    };

    bool acceptSequence(core::NodeId sender, std::uint64_t epoch, std::uint64_t sequence);

    core::NodeId m_self;
    KeyRing m_keys;
    std::uint64_t m_epoch;
    std::size_t m_maxMessageBytes;
    std::uint64_t m_nextSequence { 1 };
    std::unordered_map<core::NodeId, ReplayWindow> m_windows;
    AuthenticationCounters m_counters;
};

} // namespace ibisgw::adapters
