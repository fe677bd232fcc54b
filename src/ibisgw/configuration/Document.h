#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/NameTable.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::configuration {

// How a new flow of a kind is placed.
enum class Placement : std::uint8_t {
    Sticky, // long streams: default upstream, bounded by the mean number of flows
    Load, // short requests that occupy a slot: the least loaded upstream
};

// What a zone does with a kind of request while it is cut off from the controllers.
enum class PartitionBehaviour : std::uint8_t {
    Serve,
    Refuse,
};

inline constexpr core::NameTable<Placement, 2> placementNames { {
    { Placement::Sticky, "sticky" },
    { Placement::Load, "load" },
} };

inline constexpr core::NameTable<PartitionBehaviour, 2> partitionBehaviourNames { {
    { PartitionBehaviour::Serve, "serve" },
    { PartitionBehaviour::Refuse, "refuse" },
} };

struct RequestKind {
    core::KindId id { 0 };
    std::string name;
    // A request of a kind that is not idempotent runs at most once.
    bool idempotent { false };
    Placement placement { Placement::Load };
    std::uint32_t deadlineMs { 5000 };
    // Further attempts to place an open after an upstream has refused it.
    std::uint16_t retryLimit { 1 };
    // Flows of this kind in progress, for each balancer.
    std::uint32_t concurrencyLimit { 1024 };
    // Opens that may wait for capacity, for each balancer.
    std::uint32_t queueLimit { 64 };
    PartitionBehaviour onPartition { PartitionBehaviour::Serve };
};

struct Service {
    core::ServiceName name;
    std::string organization;
    std::vector<core::Endpoint> addresses;
    std::vector<core::ZoneName> zones;
    // Whether a zone without an eligible upstream may use upstreams of other zones.
    bool crossZone { true };
    // Flows that are still open on a draining upstream after this time are reset.
    std::uint32_t drainLimitMs { 3'600'000 };
    // Upstreams that get no new work whatever they announce, until an operator removes them here.
    std::vector<core::Endpoint> drainedUpstreams;
    std::vector<RequestKind> kinds;

    const RequestKind* findKind(core::KindId) const;
};

struct Zone {
    core::ZoneName name;
    std::string region;
};

struct Organization {
    std::string name;
};

// The operators' document: everything that operators decide. Immutable once accepted.
struct Document {
    std::vector<Organization> organizations;
    std::vector<Zone> zones;
    std::vector<Service> services;

    // Null when no service has the address.
    const Service* findService(const core::Endpoint& address) const;
};

} // namespace ibisgw::configuration
