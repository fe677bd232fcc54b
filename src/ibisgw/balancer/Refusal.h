#pragma once

#include "ibisgw/packet/Packet.h"

namespace ibisgw::balancer {

// A balancer's refusal of a caller's packet. `not_run` is allowed only for opens: another balancer may have
// forwarded another copy of a request (R4).
packet::Packet makeRefusal(const packet::Packet& refused, packet::RefusalKind);

} // namespace ibisgw::balancer
