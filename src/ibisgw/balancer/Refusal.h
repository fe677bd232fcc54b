#pragma once

#include "ibisgw/packet/Packet.h"

namespace ibisgw::balancer {

// Creates the refusal of a caller's packet by this balancer. `not_run` is valid only for opens: another balancer may
// have forwarded a copy of a request to its upstream (R4).
packet::Packet makeRefusal(const packet::Packet& refused, packet::RefusalKind);

} // namespace ibisgw::balancer
