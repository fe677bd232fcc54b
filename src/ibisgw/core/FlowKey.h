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

    // 64-bit hash that is equal on every daemon (XXH3 over the packed fields).
    std::uint64_t hash() const;
};

// Mixes a flow hash with the identifier of a candidate, for rendezvous hashing
// (Thaler and Ravishankar, 1998). The candidate with the largest value wins.
std::uint64_t rendezvousWeight(std::uint64_t flowHash, std::uint64_t candidate);

} // namespace ibisgw::core

template <> struct std::hash<ibisgw::core::FlowKey> {
    std::size_t operator()(const ibisgw::core::FlowKey& key) const noexcept { return key.hash(); }
};
