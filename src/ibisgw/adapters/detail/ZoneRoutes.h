#pragma once

#include "ibisgw/adapters/detail/ApiCall.h"

namespace ibisgw::adapters::detail {

enum class ZoneOrder : std::uint8_t {
    Evacuate, // the upstreams of the zone get no new flows
    Restore, // the upstreams of the zone get new flows again
};

// Answers with the zones of the document in force at this daemon and whether each is evacuated.
void showZones(const ApiCallPtr&);
// Submits the newest accepted document with the zone added to the evacuated ones or removed. An order that changes
// nothing succeeds without a submission. Needs the scope of the whole system, because zones belong to no organization.
void orderEvacuation(const ApiCallPtr&, const core::ZoneName&, ZoneOrder);

} // namespace ibisgw::adapters::detail
