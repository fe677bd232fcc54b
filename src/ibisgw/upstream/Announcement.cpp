#include "ibisgw/upstream/Announcement.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::upstream {

namespace {

constexpr core::NameTable<UpstreamState, 5> upstreamStateNames { {
    { UpstreamState::Warming, "warming" },
    { UpstreamState::Ready, "ready" },
    { UpstreamState::Shedding, "shedding" },
    { UpstreamState::Draining, "draining" },
    { UpstreamState::Stopped, "stopped" },
} };

} // namespace

std::string_view nameOf(UpstreamState state)
{
    return upstreamStateNames.nameOf(state);
}

std::optional<UpstreamState> upstreamStateFromNumber(std::uint64_t number)
{
    if (number > static_cast<std::uint64_t>(UpstreamState::Stopped))
        return std::nullopt;
    return static_cast<UpstreamState>(number);
}

} // namespace ibisgw::upstream
