#pragma once

#include "ibisgw/upstream/InstanceReport.h"

#include <span>

namespace ibisgw::sync {

// Keeps what upstreams have said about leaving, over a loss of power. A controller confirms a departure only when it is
// kept: otherwise an upstream that has left would be in use again after a restart of all controllers.
class DepartureStore {
public:
    virtual ~DepartureStore() = default;

    // True once the reports are durable. Reports of upstreams that are not leaving are not accepted.
    virtual bool keep(std::span<const upstream::InstanceReport>) = 0;
};

} // namespace ibisgw::sync
