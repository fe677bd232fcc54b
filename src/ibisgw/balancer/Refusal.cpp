#include "ibisgw/balancer/Refusal.h"

namespace ibisgw::balancer {

packet::Packet makeRefusal(const packet::Packet& refused, packet::RefusalKind kind)
{
    packet::Packet refusal;
    refusal.type = packet::PacketType::Refusal;
    refusal.flow = refused.flow;
    refusal.kind = refused.kind;
    refusal.request = refused.request;
    refusal.refusal = kind;
    refusal.trace = refused.trace;
    return refusal;
}

} // namespace ibisgw::balancer
