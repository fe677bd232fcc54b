#pragma once

#include "ibisgw/upstream/InstanceReport.h"

#include <span>

namespace ibisgw::sync {

// Durable storage for the reports of upstreams that are draining or gone; the data survives a power failure. A
// controller acknowledges a departure only after it is stored: otherwise an upstream that has left would receive flows
// again after a restart of all controllers.
class DepartureStore {
public:
    virtual ~DepartureStore() = default;

    // Stores the reports; true once they are durable. Reports of upstreams in state Ready are not accepted.
    virtual bool keep(std::span<const upstream::InstanceReport>) = 0;
};

} // namespace ibisgw::sync
