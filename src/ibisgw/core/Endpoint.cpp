#include "ibisgw/core/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace ibisgw::core {

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    in_addr address {};
    const std::string host(text.substr(0, colon));
    if (inet_pton(AF_INET, host.c_str(), &address) != 1)
        return std::nullopt;
    std::uint16_t port = 0;
    const auto digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc {} || end != digits.data() + digits.size())
        return std::nullopt;
    return Endpoint { ntohl(address.s_addr), port };
}

std::string Endpoint::toString() const
{
    char buf[INET_ADDRSTRLEN];
    in_addr networkOrderAddress { htonl(address) };
    inet_ntop(AF_INET, &networkOrderAddress, buf, sizeof buf);
    return std::string(buf) + ":" + std::to_string(port);
}

} // namespace ibisgw::core
