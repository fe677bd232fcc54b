#include "ibisgw/packet/Packet.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::packet {

namespace {

constexpr core::NameTable<PacketType, 9> packetTypeNames { {
    { PacketType::Open, "open" },
    { PacketType::Opened, "opened" },
    { PacketType::Data, "data" },
    { PacketType::Request, "request" },
    { PacketType::Answer, "answer" },
    { PacketType::Refusal, "refusal" },
    { PacketType::Cancel, "cancel" },
    { PacketType::Close, "close" },
    { PacketType::Reset, "reset" },
} };

constexpr core::NameTable<RefusalKind, 3> refusalKindNames { {
    { RefusalKind::None, "none" },
    { RefusalKind::NotRun, "not_run" },
    { RefusalKind::OutcomeUnknown, "outcome_unknown" },
} };

} // namespace

std::string_view nameOf(PacketType type)
{
    return packetTypeNames.nameOf(type);
}

std::string_view nameOf(RefusalKind kind)
{
    return refusalKindNames.nameOf(kind);
}

std::optional<PacketType> packetTypeFromNumber(std::uint64_t number)
{
    if (number > static_cast<std::uint64_t>(PacketType::Reset))
        return std::nullopt;
    return static_cast<PacketType>(number);
}

std::optional<RefusalKind> refusalKindFromNumber(std::uint64_t number)
{
    if (number > static_cast<std::uint64_t>(RefusalKind::OutcomeUnknown))
        return std::nullopt;
    return static_cast<RefusalKind>(number);
}

} // namespace ibisgw::packet
