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
// Smallest encoded item has one byte, so a list cannot have more items than a body has bytes.
constexpr std::size_t maxListItems = membership::maxBodyBytes;
constexpr std::size_t maxDelegates = 4;
constexpr std::uint64_t maxPackedEndpoint = (std::uint64_t { 1 } << 48) - 1;
// Leaves room for the sequences of a run.
constexpr std::uint64_t maxFlowSequence = std::uint64_t { 1 } << 62;
// Largest document: the bound of the document in force (1 MiB).
constexpr std::uint64_t maxDocumentBytes = 1 << 20;

class Reader {
public:
    explicit Reader(std::span<const std::byte> body)
        : m_reader(body)
    {
    }

    std::optional<membership::GossipMessage> read()
    {
        membership::GossipMessage message;
        expectFields(fields::messageFields);
        m_ok = m_ok && m_reader.number() == fields::gossipVersion;
        message.type = static_cast<membership::MessageType>(
            m_reader.number(static_cast<std::uint64_t>(membership::MessageType::JoinReply)));
        message.probe = m_reader.number();
        message.subject = node();
        message.incarnation = m_reader.number();
        message.isIsolated = flag();
        read(message.head);
        message.flowEpoch = m_reader.number();
        message.flowSequence = m_reader.number();
        list(message.members);
        list(message.announcements);
        list(message.ranges);
        list(message.loads);
        flowRecords(message.flowRecords);
        list(message.flowRequests);
        optional(message.revisionRequest);
        list(message.deltas);
        optional(message.piece);
        list(message.zones);
        list(message.flowHeads);
        if (!m_ok || !m_reader.finished())
            return std::nullopt;
        return message;
    }

private:
    bool good() const { return m_ok && !m_reader.failed(); }

    void expectFields(std::size_t count) { m_ok = m_ok && m_reader.arrayStart() == count; }

    core::NodeId node() { return { m_reader.number(maxPackedEndpoint) }; }

    core::UpstreamId upstreamId() { return { m_reader.number(maxPackedEndpoint) }; }

    bool flag() { return m_reader.number(1) != 0; }

    std::string byteString()
    {
        const auto data = m_reader.bytes();
        return { reinterpret_cast<const char*>(data.data()), data.size() };
    }

    std::vector<std::uint8_t> octets()
    {
        const auto data = m_reader.bytes();
        const auto* first = reinterpret_cast<const std::uint8_t*>(data.data());
        return { first, first + data.size() };
    }

    template <typename Item> void list(std::vector<Item>& items)
    {
        const auto count = m_reader.arrayStart();
        m_ok = m_ok && count <= maxListItems;
        for (std::size_t n = 0; n < count && good(); ++n)
            read(items.emplace_back());
    }

    template <typename Item> void optional(std::optional<Item>& item)
    {
        const auto count = m_reader.arrayStart();
        m_ok = m_ok && count <= 1;
        if (count == 1 && good())
            read(item.emplace());
    }

    void read(membership::RevisionHead& head)
    {
        head.revision = m_reader.number();
        head.hash = m_reader.number();
    }

    void read(membership::Member& member)
    {
        expectFields(fields::memberFields);
        member.id = node();
        member.name = m_reader.text(maxNameBytes);
        member.zone = m_reader.text(maxNameBytes);
        member.region = m_reader.text(maxNameBytes);
        member.group = m_reader.text(maxNameBytes);
        member.roles = static_cast<std::uint8_t>(
            m_reader.number(std::uint64_t { membership::balancerRole | membership::controllerRole }));
        member.incarnation = m_reader.number();
        member.state = static_cast<membership::MemberState>(
            m_reader.number(static_cast<std::uint64_t>(membership::MemberState::Dead)));
        member.isSynchronized = flag();
        member.revision = m_reader.number();
        member.accuser = node();
        m_ok = m_ok && member.id.isValid();
    }

    void read(upstream::Announcement& announcement)
    {
        expectFields(fields::announcementFields);
        announcement.upstream = upstreamId();
        announcement.service = m_reader.text(maxNameBytes);
        announcement.zone = m_reader.text(maxNameBytes);
        announcement.incarnation = m_reader.number();
        announcement.sequence = m_reader.number();
        const auto state = upstream::upstreamStateFromNumber(m_reader.number());
        announcement.slots = static_cast<std::uint16_t>(m_reader.number(UINT16_MAX));
        announcement.busySlots = static_cast<std::uint16_t>(m_reader.number(UINT16_MAX));
        announcement.openFlows = static_cast<std::uint32_t>(m_reader.number(UINT32_MAX));
        m_ok = m_ok && state && announcement.upstream.isValid();
        announcement.state = state.value_or(upstream::UpstreamState::Stopped);
    }

    void read(membership::AnnouncementRange& range)
    {
        expectFields(fields::rangeFields);
        range.first = upstreamId();
        range.last = upstreamId();
        range.wantsReply = flag();
        m_ok = m_ok && range.first <= range.last;
    }

    void read(membership::LoadSlice& slice)
    {
        expectFields(fields::loadFields);
        slice.first = upstreamId();
        slice.last = upstreamId();
        slice.hash = static_cast<std::uint32_t>(m_reader.number(UINT32_MAX));
        slice.loads = octets();
        m_ok = m_ok && slice.first <= slice.last && slice.loads.size() % 2 == 0;
    }

    void flowRecords(std::vector<membership::FlowRecordItem>& items)
    {
        const auto runs = m_reader.arrayStart();
        for (std::size_t run = 0; run < runs && good(); ++run) {
            expectFields(fields::flowRecordFields);
            membership::FlowRecordItem item;
            item.origin = node();
            item.epoch = m_reader.number();
            item.sequence = m_reader.number(maxFlowSequence);
            m_ok = m_ok && item.origin.isValid() && item.sequence > 0;
            const auto count = m_reader.arrayStart();
            m_ok = m_ok && count > 0;
            for (std::size_t n = 0; n < count && good(); ++n) {
                item.record = octets();
                items.push_back(item);
                ++item.sequence;
            }
        }
    }

    void read(membership::FlowRecordHead& head)
    {
        expectFields(fields::flowHeadFields);
        head.origin = node();
        head.epoch = m_reader.number();
        head.oldest = m_reader.number();
        head.newest = m_reader.number();
        m_ok = m_ok && head.origin.isValid() && head.oldest <= head.newest;
    }

    void read(membership::FlowRecordRequest& request)
    {
        expectFields(fields::flowRequestFields);
        request.origin = node();
        request.epoch = m_reader.number();
        request.from = m_reader.number();
        request.to = m_reader.number();
        m_ok = m_ok && request.from <= request.to;
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
        delta.patch = byteString();
        delta.author = m_reader.text(maxAuthorBytes);
        delta.submission = m_reader.text(maxAuthorBytes);
        m_ok = m_ok && delta.base.revision < delta.target.revision;
    }

    void read(membership::DocumentPiece& piece)
    {
        expectFields(fields::pieceFields);
        read(piece.head);
        piece.size = static_cast<std::uint32_t>(m_reader.number(maxDocumentBytes));
        piece.offset = static_cast<std::uint32_t>(m_reader.number(maxDocumentBytes));
        piece.bytes = byteString();
        piece.author = m_reader.text(maxAuthorBytes);
        piece.submission = m_reader.text(maxAuthorBytes);
        m_ok = m_ok && piece.offset + piece.bytes.size() <= piece.size;
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
        m_ok = m_ok && count <= maxDelegates;
        for (std::size_t n = 0; n < count && good(); ++n)
            summary.delegates.push_back(node());
    }

    detail::CborReader m_reader;
    bool m_ok { true };
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
    return Reader(body).read();
}

} // namespace ibisgw::adapters
