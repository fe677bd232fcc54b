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

// Kind of a message between daemons; the receiver dispatches the body by it.
enum class Channel : std::uint8_t {
    Relay, // packet of a caller that is forwarded to the home of its flow
    Gossip,
    Consensus,
    Stream, // control requests and replies
};

using SharedKey = std::array<std::byte, 32>;

// Keys that a group of daemons shares. A message carries the number of its key, so that a new key can be installed on
// all daemons before the first of them signs with it.
struct KeyRing {
    std::uint8_t signingKey { 0 };
    std::unordered_map<std::uint8_t, SharedKey> keys;
};

// Message whose tag and sequence number have been verified.
struct AuthenticatedMessage {
    core::NodeId sender;
    Channel channel { Channel::Relay };
    // Points into the datagram.
    std::span<const std::byte> body;
};

// Opened messages by result. `altered` counts messages whose tag does not match their content.
struct AuthenticationCounters {
    std::uint64_t accepted { 0 };
    std::uint64_t malformed { 0 };
    std::uint64_t unknownKey { 0 };
    std::uint64_t altered { 0 };
    std::uint64_t replayed { 0 };
};

// Largest UDP payload over IPv4.
inline constexpr std::size_t maxUdpPayloadBytes = 65'507;

// Largest message on a stream; large enough for a snapshot with a configuration document of the largest size (1 MiB).
inline constexpr std::size_t maxStreamMessageBytes = std::size_t { 4 } * 1024 * 1024;

// Authenticates messages between daemons and rejects replayed ones. The tag is an HMAC-SHA-256 truncated to 16 bytes
// (RFC 2104, section 5) over the envelope (protocol version, sender, key number, epoch, sequence number, channel) and
// the body. Messages are not encrypted.
class MessageAuthenticator {
public:
    // `epoch` must grow with each restart of the sender, because receivers reject messages of older epochs.
    // Messages of more than `maxMessageBytes` are neither sealed nor opened.
    MessageAuthenticator(
        core::NodeId self, KeyRing, std::uint64_t epoch, std::size_t maxMessageBytes = maxUdpPayloadBytes);

    // Writes the envelope, the body and the tag to `datagram`. Returns false when the signing key is missing or the
    // message is too large.
    bool seal(Channel, std::span<const std::byte> body, std::vector<std::byte>& datagram);
    // Returns nothing, and counts the reason, for a message that is malformed, names an unknown key, does not match its
    // tag or is replayed.
    std::optional<AuthenticatedMessage> open(std::span<const std::byte> datagram);
    // Replaces the keys, for key rotation without a restart.
    void setKeys(KeyRing);

    const AuthenticationCounters& counters() const { return m_counters; }

private:
    // Anti-replay window of one sender (RFC 4303, section 3.4.3). Bit n of `receivedBits` stands for the sequence
    // number `highestSequence` - n.
    struct ReplayWindow {
        std::uint64_t epoch { 0 };
        std::uint64_t highestSequence { 0 };
        std::uint64_t receivedBits { 0 };
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
