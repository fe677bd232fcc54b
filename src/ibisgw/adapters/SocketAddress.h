#pragma once

#include "ibisgw/core/Endpoint.h"

#include <netinet/in.h>

namespace ibisgw::adapters {

inline sockaddr_in toSocketAddress(core::Endpoint endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

inline core::Endpoint toEndpoint(const sockaddr_in& address)
{
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

} // namespace ibisgw::adapters
