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

// How a balancer chooses the upstream of a new flow.
enum class Placement : std::uint8_t {
    Sticky, // for long streams: the default upstream, with a load bound relative to the mean number of flows
    Load, // for short requests that occupy a slot: the least loaded upstream
};

// Whether a zone serves a kind of request while it is partitioned from the controllers.
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

// A kind of request of a service, with its placement and limits.
struct RequestKind {
    core::KindId id { 0 };
    std::string name;
    // A request of a kind that is not idempotent runs at most once.
    bool idempotent { false };
    Placement placement { Placement::Load };
    std::uint32_t deadlineMs { 5000 };
    // Further attempts to place an open after an upstream has refused it.
    std::uint16_t retryLimit { 1 };
    // Maximum number of open flows of this kind per balancer.
    std::uint32_t concurrencyLimit { 1024 };
    // Maximum number of opens per balancer that wait for capacity.
    std::uint32_t queueLimit { 64 };
    PartitionBehaviour onPartition { PartitionBehaviour::Serve };
};

// Extra attempts of late idempotent requests at a second upstream.
struct Hedging {
    // Highest share of extra requests among the requests of the service; 0 switches hedging off.
    double maxShare { 0 };
};

// A service that balancers offer to callers, with the addresses under which it is reached.
struct Service {
    core::ServiceName name;
    std::string organization;
    std::vector<core::Endpoint> addresses;
    std::vector<core::ZoneName> zones;
    // True if a zone without an eligible upstream may use upstreams of other zones.
    bool isCrossZoneAllowed { true };
    // Time after which flows that are still open on a draining upstream are reset.
    std::uint32_t drainLimitMs { 3'600'000 };
    // Upstreams that get no new flows, regardless of what they announce, until an operator deletes them from this
    // list.
    std::vector<core::Endpoint> drainedUpstreams;
    std::vector<RequestKind> kinds;
    // Extra attempts of late idempotent requests.
    Hedging hedging;

    const RequestKind* findKind(core::KindId) const;
};

struct Zone {
    core::ZoneName name;
    std::string region;
};

struct Organization {
    std::string name;
};

// The operators' document: the whole configuration that operators submit. Immutable once accepted.
struct Document {
    std::vector<Organization> organizations;
    std::vector<Zone> zones;
    std::vector<Service> services;
    // Zones whose upstreams get no new flows until an operator deletes the zone from this list.
    std::vector<core::ZoneName> evacuatedZones;

    // Null when no service has the address.
    const Service* findService(const core::Endpoint& address) const;
    bool hasZone(const core::ZoneName&) const;
    bool isEvacuated(const core::ZoneName&) const;
};

} // namespace ibisgw::configuration
