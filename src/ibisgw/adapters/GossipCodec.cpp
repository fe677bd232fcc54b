#include "ibisgw/adapters/GossipCodec.h"

#include "ibisgw/adapters/detail/CborReader.h"
#include "ibisgw/adapters/detail/CborWriter.h"
#include "ibisgw/membership/detail/MessageFields.h"

namespace ibisgw::adapters {

namespace {

namespace fields = membership::detail;

// Longest name of a daemon, service, zone, region or group.
constexpr std::size_t maxNameBytes = 64;
// Longest author or submission identifier.
constexpr std::size_t maxAuthorBytes = 256;
// An encoded item has at least one byte, so a list cannot have more items than a body has bytes.
constexpr std::size_t maxListItems = membership::maxBodyBytes;
constexpr std::size_t maxDelegates = 4;
// Largest value of an endpoint that is packed into 48 bits.
constexpr std::uint64_t maxPackedEndpoint = (std::uint64_t { 1 } << 48) - 1;
// Largest first sequence number of a run of flow records; incrementing it for each record of the run cannot overflow.
constexpr std::uint64_t maxFlowSequence = std::uint64_t { 1 } << 62;
// Largest configuration document (1 MiB).
constexpr std::uint64_t maxDocumentBytes = 1 << 20;

// Decodes a gossip message. Errors are sticky: after the first one the remaining fields are read as empty values, and
// read() returns nothing.
class GossipReader {
public:
    explicit GossipReader(std::span<const std::byte> body)
        : m_reader(body)
    {
    }

    std::optional<membership::GossipMessage> read()
    {
        membership::GossipMessage message;
        expectFields(fields::messageFields);
        m_isWellFormed = m_isWellFormed && m_reader.number() == fields::gossipVersion;
        message.type = static_cast<membership::MessageType>(
            m_reader.number(static_cast<std::uint64_t>(membership::MessageType::JoinReply)));
        message.probe = m_reader.number();
        message.subject = readNodeId();
        message.incarnation = m_reader.number();
        message.isIsolated = readFlag();
        read(message.head);
        message.flowEpoch = m_reader.number();
        message.flowSequence = m_reader.number();
        readList(message.members);
        readList(message.announcements);
        readList(message.ranges);
        readList(message.loads);
        readFlowRecords(message.flowRecords);
        readList(message.flowRequests);
        readOptional(message.revisionRequest);
        readList(message.deltas);
        readOptional(message.piece);
        readList(message.zones);
        readList(message.flowHeads);
        if (!m_isWellFormed || !m_reader.finished())
            return std::nullopt;
        return message;
    }

private:
    bool isWellFormed() const { return m_isWellFormed && !m_reader.failed(); }

    void expectFields(std::size_t count) { m_isWellFormed = m_isWellFormed && m_reader.arrayStart() == count; }

    core::NodeId readNodeId() { return { m_reader.number(maxPackedEndpoint) }; }

    core::UpstreamId readUpstreamId() { return { m_reader.number(maxPackedEndpoint) }; }

    bool readFlag() { return m_reader.number(1) != 0; }

    std::string readByteString()
    {
        const auto data = m_reader.bytes();
        return { reinterpret_cast<const char*>(data.data()), data.size() };
    }

    std::vector<std::uint8_t> readOctets()
    {
        const auto data = m_reader.bytes();
        const auto* first = reinterpret_cast<const std::uint8_t*>(data.data());
        return { first, first + data.size() };
    }

    template <typename Item> void readList(std::vector<Item>& items)
    {
        const auto count = m_reader.arrayStart();
        m_isWellFormed = m_isWellFormed && count <= maxListItems;
        for (std::size_t n = 0; n < count && isWellFormed(); ++n)
            read(items.emplace_back());
    }

    template <typename Item> void readOptional(std::optional<Item>& item)
    {
        const auto count = m_reader.arrayStart();
        m_isWellFormed = m_isWellFormed && count <= 1;
        if (count == 1 && isWellFormed())
            read(item.emplace());
    }

    void read(membership::RevisionId& head)
    {
        head.revision = m_reader.number();
        head.hash = m_reader.number();
    }

    void read(membership::Member& member)
    {
        expectFields(fields::memberFields);
        member.id = readNodeId();
        member.name = m_reader.text(maxNameBytes);
        member.zone = m_reader.text(maxNameBytes);
        member.region = m_reader.text(maxNameBytes);
        member.group = m_reader.text(maxNameBytes);
        member.roles = static_cast<std::uint8_t>(
            m_reader.number(std::uint64_t { membership::balancerRole | membership::controllerRole }));
        member.incarnation = m_reader.number();
        member.state = static_cast<membership::MemberState>(
            m_reader.number(static_cast<std::uint64_t>(membership::MemberState::Dead)));
        member.isSynchronized = readFlag();
        member.revision = m_reader.number();
        member.suspectedBy = readNodeId();
        m_isWellFormed = m_isWellFormed && member.id.isValid();
    }

    void read(upstream::Announcement& announcement)
    {
        expectFields(fields::announcementFields);
        announcement.upstream = readUpstreamId();
        announcement.service = m_reader.text(maxNameBytes);
        announcement.zone = m_reader.text(maxNameBytes);
        announcement.incarnation = m_reader.number();
        announcement.sequence = m_reader.number();
        const auto state = upstream::upstreamStateFromNumber(m_reader.number());
        announcement.slots = static_cast<std::uint16_t>(m_reader.number(UINT16_MAX));
        announcement.busySlots = static_cast<std::uint16_t>(m_reader.number(UINT16_MAX));
        announcement.openFlows = static_cast<std::uint32_t>(m_reader.number(UINT32_MAX));
        m_isWellFormed = m_isWellFormed && state && announcement.upstream.isValid();
        announcement.state = state.value_or(upstream::UpstreamState::Stopped);
    }

    void read(membership::AnnouncementRange& range)
    {
        expectFields(fields::rangeFields);
        range.first = readUpstreamId();
        range.last = readUpstreamId();
        range.wantsReply = readFlag();
        m_isWellFormed = m_isWellFormed && range.first <= range.last;
    }

    void read(membership::LoadSlice& slice)
    {
        expectFields(fields::loadFields);
        slice.first = readUpstreamId();
        slice.last = readUpstreamId();
        slice.hash = static_cast<std::uint32_t>(m_reader.number(UINT32_MAX));
        slice.loads = readOctets();
        m_isWellFormed = m_isWellFormed && slice.first <= slice.last && slice.loads.size() % 2 == 0;
    }

    // Reads runs of records that have the same origin and epoch and consecutive sequence numbers. A run carries these
    // three fields once, with the sequence number of its first record.
    void readFlowRecords(std::vector<membership::FlowRecordItem>& items)
    {
        const auto runs = m_reader.arrayStart();
        for (std::size_t run = 0; run < runs && isWellFormed(); ++run) {
            expectFields(fields::flowRecordFields);
            membership::FlowRecordItem item;
            item.origin = readNodeId();
            item.epoch = m_reader.number();
            item.sequence = m_reader.number(maxFlowSequence);
            m_isWellFormed = m_isWellFormed && item.origin.isValid() && item.sequence > 0;
            const auto count = m_reader.arrayStart();
            m_isWellFormed = m_isWellFormed && count > 0;
            for (std::size_t n = 0; n < count && isWellFormed(); ++n) {
                item.record = readOctets();
                items.push_back(item);
                ++item.sequence;
            }
        }
    }

    void read(membership::FlowRecordRange& head)
    {
        expectFields(fields::flowHeadFields);
        head.origin = readNodeId();
        head.epoch = m_reader.number();
        head.oldest = m_reader.number();
        head.newest = m_reader.number();
        m_isWellFormed = m_isWellFormed && head.origin.isValid() && head.oldest <= head.newest;
    }

    void read(membership::FlowRecordRequest& request)
    {
        expectFields(fields::flowRequestFields);
        request.origin = readNodeId();
        request.epoch = m_reader.number();
        request.from = m_reader.number();
        request.to = m_reader.number();
        m_isWellFormed = m_isWellFormed && request.from <= request.to;
    }

    void read(membership::RevisionRequest& request)
    {
        expectFields(fields::revisionRequestFields);
        read(request.base);
        read(request.wanted);
        request.offset = static_cast<std::uint32_t>(m_reader.number(maxDocumentBytes));
    }

    void read(membership::DeltaItem& delta)
    {
        expectFields(fields::deltaFields);
        read(delta.base);
        read(delta.target);
        delta.patch = readByteString();
        delta.author = m_reader.text(maxAuthorBytes);
        delta.submission = m_reader.text(maxAuthorBytes);
        m_isWellFormed = m_isWellFormed && delta.base.revision < delta.target.revision;
    }

    void read(membership::DocumentPiece& piece)
    {
        expectFields(fields::pieceFields);
        read(piece.head);
        piece.size = static_cast<std::uint32_t>(m_reader.number(maxDocumentBytes));
        piece.offset = static_cast<std::uint32_t>(m_reader.number(maxDocumentBytes));
        piece.bytes = readByteString();
        piece.author = m_reader.text(maxAuthorBytes);
        piece.submission = m_reader.text(maxAuthorBytes);
        m_isWellFormed = m_isWellFormed && piece.offset + piece.bytes.size() <= piece.size;
    }

    void read(membership::ZoneSummary& summary)
    {
        expectFields(fields::zoneFields);
        summary.zone = m_reader.text(maxNameBytes);
        summary.version = m_reader.number();
        read(summary.newest);
        summary.oldestRevision = m_reader.number();
        summary.aliveCount = static_cast<std::uint32_t>(m_reader.number(UINT32_MAX));
        summary.inForceCount = static_cast<std::uint32_t>(m_reader.number(UINT32_MAX));
        const auto count = m_reader.arrayStart();
        m_isWellFormed = m_isWellFormed && count <= maxDelegates;
        for (std::size_t n = 0; n < count && isWellFormed(); ++n)
            summary.delegates.push_back(readNodeId());
    }

    detail::CborReader m_reader;
    bool m_isWellFormed { true };
};

} // namespace

bool encodeGossip(const membership::GossipMessage& message, std::vector<std::byte>& body)
{
    detail::CborWriter writer(body, membership::maxBodyBytes);
    fields::MessageFields<detail::CborWriter>(writer).write(message);
    return writer.finish();
}

std::optional<membership::GossipMessage> decodeGossip(std::span<const std::byte> body)
{
    if (body.size() > membership::maxBodyBytes)
        return std::nullopt;
    return GossipReader(body).read();
}

} // namespace ibisgw::adapters
