#include "ibisgw/adapters/PacketCodec.h"

#include "ibisgw/adapters/detail/CborReader.h"
#include "ibisgw/adapters/detail/CborWriter.h"

namespace ibisgw::adapters {

namespace {

constexpr std::uint64_t protocolVersion = 1;

// Number of array elements of each kind of frame, including protocol version and frame kind.
constexpr std::size_t packetFields = 18;
constexpr std::size_t announcementFields = 11;
constexpr std::size_t presenceFields = 4;

// Longest service or zone name that is accepted.
constexpr std::size_t maxNameBytes = 64;

std::uint64_t packEndpoint(const core::Endpoint& endpoint)
{
    return core::UpstreamId::fromEndpoint(endpoint).value;
}

core::Endpoint unpackEndpoint(std::uint64_t value)
{
    return core::UpstreamId { value }.endpoint();
}

// Largest value of an endpoint that is packed into 48 bits.
constexpr std::uint64_t maxPackedEndpoint = (std::uint64_t { 1 } << 48) - 1;

void writeHeader(detail::CborWriter& writer, std::size_t fields, FrameKind kind)
{
    writer.arrayOf(fields);
    writer.number(protocolVersion);
    writer.number(static_cast<std::uint64_t>(kind));
}

std::optional<FrameKind> readHeader(detail::CborReader& reader, std::size_t& fields)
{
    fields = reader.arrayStart();
    const auto version = reader.number();
    const auto kind = reader.number(static_cast<std::uint64_t>(FrameKind::Withdrawal));
    if (reader.failed() || version != protocolVersion)
        return std::nullopt;
    return static_cast<FrameKind>(kind);
}

bool expectHeader(detail::CborReader& reader, std::size_t expectedFields, FrameKind expectedKind)
{
    std::size_t fields = 0;
    const auto kind = readHeader(reader, fields);
    return kind == expectedKind && fields == expectedFields;
}

} // namespace

bool encodePacket(const packet::Packet& packet, Datagram& datagram)
{
    detail::CborWriter writer(datagram, maxDatagramBytes);
    writeHeader(writer, packetFields, FrameKind::Packet);
    writer.number(static_cast<std::uint64_t>(packet.type));
    writer.number(packEndpoint(packet.flow.caller));
    writer.number(packEndpoint(packet.flow.service));
    writer.number(packet.kind);
    writer.number(packet.request);
    writer.number(packet.upstream.value);
    writer.number(packet.token.upstream.value);
    writer.number(packet.token.tag);
    writer.number(packet.deadlineMs);
    writer.number(static_cast<std::uint64_t>(packet.refusal));
    writer.number(packet.relayHops);
    writer.number(packet.trace.traceHigh);
    writer.number(packet.trace.traceLow);
    writer.number(packet.trace.parentSpan);
    writer.number(packet.flags);
    writer.bytes(packet.payload);
    return writer.finish();
}

std::optional<packet::Packet> decodePacket(std::span<const std::byte> datagram)
{
    if (datagram.size() > maxDatagramBytes)
        return std::nullopt;
    detail::CborReader reader(datagram);
    if (!expectHeader(reader, packetFields, FrameKind::Packet))
        return std::nullopt;
    packet::Packet packet;
    const auto type = packet::packetTypeFromNumber(reader.number());
    packet.flow.caller = unpackEndpoint(reader.number(maxPackedEndpoint));
    packet.flow.service = unpackEndpoint(reader.number(maxPackedEndpoint));
    packet.kind = static_cast<core::KindId>(reader.number(UINT16_MAX));
    packet.request = reader.number();
    packet.upstream.value = reader.number(maxPackedEndpoint);
    packet.token.upstream.value = reader.number(maxPackedEndpoint);
    packet.token.tag = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    packet.deadlineMs = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    const auto refusal = packet::refusalKindFromNumber(reader.number());
    packet.relayHops = static_cast<std::uint8_t>(reader.number(UINT8_MAX));
    packet.trace.traceHigh = reader.number();
    packet.trace.traceLow = reader.number();
    packet.trace.parentSpan = reader.number();
    packet.flags = static_cast<std::uint8_t>(reader.number(UINT8_MAX));
    packet.payload = reader.bytes();
    if (!reader.finished() || !type || !refusal)
        return std::nullopt;
    packet.type = *type;
    packet.refusal = *refusal;
    return packet;
}

bool encodeAnnouncement(const upstream::Announcement& announcement, Datagram& datagram)
{
    detail::CborWriter writer(datagram, maxDatagramBytes);
    writeHeader(writer, announcementFields, FrameKind::Announcement);
    writer.number(announcement.upstream.value);
    writer.text(announcement.service);
    writer.text(announcement.zone);
    writer.number(announcement.incarnation);
    writer.number(announcement.sequence);
    writer.number(static_cast<std::uint64_t>(announcement.state));
    writer.number(announcement.slots);
    writer.number(announcement.busySlots);
    writer.number(announcement.openFlows);
    return writer.finish();
}

std::optional<upstream::Announcement> decodeAnnouncement(std::span<const std::byte> datagram)
{
    if (datagram.size() > maxDatagramBytes)
        return std::nullopt;
    detail::CborReader reader(datagram);
    if (!expectHeader(reader, announcementFields, FrameKind::Announcement))
        return std::nullopt;
    upstream::Announcement announcement;
    announcement.upstream.value = reader.number(maxPackedEndpoint);
    announcement.service = reader.text(maxNameBytes);
    announcement.zone = reader.text(maxNameBytes);
    announcement.incarnation = reader.number();
    announcement.sequence = reader.number();
    const auto state = upstream::upstreamStateFromNumber(reader.number());
    announcement.slots = static_cast<std::uint16_t>(reader.number(UINT16_MAX));
    announcement.busySlots = static_cast<std::uint16_t>(reader.number(UINT16_MAX));
    announcement.openFlows = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    if (!reader.finished() || !state || !announcement.upstream.isValid())
        return std::nullopt;
    announcement.state = *state;
    return announcement;
}

std::optional<FrameKind> peekFrameKind(std::span<const std::byte> datagram)
{
    detail::CborReader reader(datagram);
    std::size_t fields = 0;
    return readHeader(reader, fields);
}

bool encodePresence(const BalancerPresence& presence, Datagram& datagram)
{
    detail::CborWriter writer(datagram, maxDatagramBytes);
    writeHeader(writer, presenceFields, presence.kind);
    writer.number(packEndpoint(presence.callerSide));
    writer.number(packEndpoint(presence.upstreamSide));
    return writer.finish();
}

std::optional<BalancerPresence> decodePresence(std::span<const std::byte> datagram)
{
    detail::CborReader reader(datagram);
    std::size_t fields = 0;
    const auto kind = readHeader(reader, fields);
    if (fields != presenceFields || (kind != FrameKind::Heartbeat && kind != FrameKind::Withdrawal))
        return std::nullopt;
    BalancerPresence presence { *kind, {}, {} };
    presence.callerSide = unpackEndpoint(reader.number(maxPackedEndpoint));
    presence.upstreamSide = unpackEndpoint(reader.number(maxPackedEndpoint));
    if (!reader.finished())
        return std::nullopt;
    return presence;
}

} // namespace ibisgw::adapters
