#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ibisgw::core {

// IPv4 address and port, both in host byte order.
struct Endpoint {
    std::uint32_t address { 0 };
    std::uint16_t port { 0 };

    auto operator<=>(const Endpoint&) const = default;

    // Parses "a.b.c.d:port"; empty when the text has another form.
    static std::optional<Endpoint> parse(std::string_view);
    std::string toString() const;
};

} // namespace ibisgw::core

template <> struct std::hash<ibisgw::core::Endpoint> {
    std::size_t operator()(const ibisgw::core::Endpoint& endpoint) const noexcept
    {
        return std::hash<std::uint64_t> {}((std::uint64_t { endpoint.address } << 16) | endpoint.port);
    }
};
