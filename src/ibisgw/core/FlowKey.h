#pragma once

#include "ibisgw/core/Endpoint.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace ibisgw::core {

// Identifies a flow: the caller's endpoint and the service address it connected to.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    auto operator<=>(const FlowKey&) const = default;

    // XXH3-64 of the packed fields; the same on every daemon.
    std::uint64_t hash() const;
};

// Weight of a candidate for a flow in rendezvous hashing (Thaler and Ravishankar, 1998). The candidate with the highest
// weight is selected.
std::uint64_t rendezvousWeight(std::uint64_t flowHash, std::uint64_t candidate);

} // namespace ibisgw::core

template <> struct std::hash<ibisgw::core::FlowKey> {
    std::size_t operator()(const ibisgw::core::FlowKey& key) const noexcept { return key.hash(); }
};
