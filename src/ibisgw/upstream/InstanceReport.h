#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace ibisgw::upstream {

// Identifies an upstream that names itself. Unlike an address, it is not given to another upstream; a restart
// may keep it, and then has another incarnation.
struct InstanceId {
    std::uint64_t value { 0 };

    auto operator<=>(const InstanceId&) const = default;
};

enum class InstanceState : std::uint8_t {
    Ready,
    Draining, // keeps its flows, takes no new ones
    Gone, // has left or was replaced at its address; final for its incarnation
};

std::string_view nameOf(InstanceState);

// What an upstream says about itself, or what is known of one that has left.
struct InstanceReport {
    InstanceId id;
    // Unix time of its start in milliseconds, by the clock of its VM.
    core::Incarnation incarnation { 0 };
    // Grows with each report of one incarnation; orders reports that overtake each other.
    std::uint64_t sequence { 0 };
    InstanceState state { InstanceState::Ready };
    core::ServiceName service;
    core::ZoneName zone;
    core::Endpoint address;
    std::uint32_t slots { 1 };
    // How much longer the upstream stays slow after its start.
    core::Duration coldRemaining { 0 };

    bool operator==(const InstanceReport&) const = default;
};

// Number of 32 bits that stands for one incarnation of an upstream of one service. Packets carry it instead of
// per-flow state, so that every balancer forwards an open flow alike. Never 0, which means "no token".
std::uint32_t tokenOf(const InstanceReport&);

} // namespace ibisgw::upstream

template <> struct std::hash<ibisgw::upstream::InstanceId> {
    std::size_t operator()(ibisgw::upstream::InstanceId id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.value);
    }
};
