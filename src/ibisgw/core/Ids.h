#pragma once

#include "ibisgw/core/Endpoint.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace ibisgw::core {

// Identifies an upstream by the address and port on which it serves, packed into 48 bits. The daemons derive the
// identifier from the address without coordination, and the address from the identifier.
struct UpstreamId {
    std::uint64_t value { 0 };

    auto operator<=>(const UpstreamId&) const = default;

    static constexpr UpstreamId fromEndpoint(Endpoint endpoint)
    {
        return { (std::uint64_t { endpoint.address } << 16) | endpoint.port };
    }
    constexpr Endpoint endpoint() const
    {
        return { static_cast<std::uint32_t>(value >> 16), static_cast<std::uint16_t>(value & 0xffff) };
    }
    constexpr bool isValid() const { return value != 0; }
};

// Identifies a daemon by the address and port of its control socket.
struct NodeId {
    std::uint64_t value { 0 };

    auto operator<=>(const NodeId&) const = default;

    static constexpr NodeId fromEndpoint(Endpoint endpoint)
    {
        return { (std::uint64_t { endpoint.address } << 16) | endpoint.port };
    }
    constexpr Endpoint endpoint() const
    {
        return { static_cast<std::uint32_t>(value >> 16), static_cast<std::uint16_t>(value & 0xffff) };
    }
    constexpr bool isValid() const { return value != 0; }
};

// Identifies a request within a flow; chosen by the caller.
using RequestId = std::uint64_t;

// Name of a service in the operators' document.
using ServiceName = std::string;

// Name of an availability zone.
using ZoneName = std::string;

// Identifies a kind of request; unique within a document.
using KindId = std::uint16_t;

// Number of an accepted configuration; increases by one with each accepted submission. 0 means none.
using Revision = std::uint64_t;

// Incarnation number of an upstream or daemon; increases with each restart.
using Incarnation = std::uint64_t;

} // namespace ibisgw::core

template <> struct std::hash<ibisgw::core::UpstreamId> {
    std::size_t operator()(ibisgw::core::UpstreamId id) const noexcept { return std::hash<std::uint64_t> {}(id.value); }
};

template <> struct std::hash<ibisgw::core::NodeId> {
    std::size_t operator()(ibisgw::core::NodeId id) const noexcept { return std::hash<std::uint64_t> {}(id.value); }
};
