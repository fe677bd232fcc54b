#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace ibisgw::upstream {

// Identifier that an upstream chooses for itself. Unlike an address, it is never reused by another upstream. A
// restarted upstream may keep its identifier and then has another incarnation.
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

// State that an upstream reports about itself, or the last known state of one that has left.
struct InstanceReport {
    InstanceId id;
    // Start of the upstream as Unix time in milliseconds, by the clock of its VM.
    core::Incarnation incarnation { 0 };
    // Increases with each report of one incarnation, so that reordered reports are recognized.
    std::uint64_t sequence { 0 };
    InstanceState state { InstanceState::Ready };
    core::ServiceName service;
    core::ZoneName zone;
    core::Endpoint address;
    std::uint32_t slots { 1 };
    // Remaining time of the cold start, during which the upstream is slower.
    core::Duration coldRemaining { 0 };

    bool operator==(const InstanceReport&) const = default;
};

// Identifies one call with which an upstream sent a report. A repeated call has another sequence.
struct ReportId {
    InstanceId instance;
    core::Incarnation incarnation { 0 };
    std::uint64_t sequence { 0 };

    auto operator<=>(const ReportId&) const = default;
};

// Returns the 32-bit token of one incarnation of an upstream for one service. The packets of a flow carry its token, so
// that every balancer forwards an open flow to the same upstream without per-flow state. Never 0, which means "no
// token".
std::uint32_t tokenOf(const InstanceReport&);

} // namespace ibisgw::upstream

template <> struct std::hash<ibisgw::upstream::InstanceId> {
    std::size_t operator()(ibisgw::upstream::InstanceId id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.value);
    }
};
