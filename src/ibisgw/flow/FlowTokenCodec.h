#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/packet/Packet.h"

// The one-shot HMAC functions of OpenSSL 3 allocate memory for each token. The deprecated SHA-256 functions do not.
#ifndef OPENSSL_SUPPRESS_DEPRECATED
#define OPENSSL_SUPPRESS_DEPRECATED
#endif
#include <openssl/sha.h>

#include <array>
#include <cstddef>
#include <optional>

namespace ibisgw::flow {

using TokenKey = std::array<std::byte, 32>;

// Issues and verifies flow tokens. A token names the upstream that serves a flow, so any balancer can forward a later
// packet without an entry for the flow. The tag is an HMAC-SHA-256 over flow key and upstream, truncated to 32 bits, so
// that a caller can't send its packets to an upstream of its choice.
class FlowTokenCodec {
public:
    // Tokens are issued with the current key. Those of the previous key are still accepted, so that the key can be
    // rotated one daemon at a time.
    FlowTokenCodec(const TokenKey& current, std::optional<TokenKey> previous);

    packet::FlowToken issue(const core::FlowKey&, core::UpstreamId) const;
    bool verify(const core::FlowKey&, const packet::FlowToken&) const;

private:
    // HMAC state (RFC 2104) with the inner and outer padded keys already hashed.
    struct Key {
        explicit Key(const TokenKey&);
        std::uint32_t tag(const core::FlowKey&, core::UpstreamId) const;

        SHA256_CTX inner;
        SHA256_CTX outer;
    };

    Key m_current;
    std::optional<Key> m_previous;
};

} // namespace ibisgw::flow
