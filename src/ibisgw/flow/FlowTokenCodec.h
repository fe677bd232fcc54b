#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/packet/Packet.h"

#include <array>
#include <cstddef>
#include <optional>

namespace ibisgw::flow {

using TokenKey = std::array<std::byte, 32>;

// Issues and verifies flow tokens. A token names the upstream that serves a flow, so any balancer
// can forward a later packet without state. The tag is an HMAC-SHA-256 over flow key and upstream,
// truncated to 32 bits: a caller cannot steer its packets to an upstream of its choice.
class FlowTokenCodec {
public:
    // The previous key is still accepted, so that keys can be rotated one daemon at a time.
    FlowTokenCodec(const TokenKey& current, std::optional<TokenKey> previous);

    packet::FlowToken issue(const core::FlowKey&, core::UpstreamId) const;
    bool verify(const core::FlowKey&, const packet::FlowToken&) const;

private:
    TokenKey m_current;
    std::optional<TokenKey> m_previous;
};

} // namespace ibisgw::flow
