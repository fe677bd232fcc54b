#pragma once

#include "ibisgw/membership/GossipMessage.h"

#include <algorithm>
#include <span>

namespace ibisgw::membership::detail {

inline constexpr std::uint64_t gossipVersion = 1;
// Number of CBOR array elements of the message and of each of its parts.
inline constexpr std::size_t messageFields = 21;
inline constexpr std::size_t memberFields = 11;
inline constexpr std::size_t announcementFields = 9;
inline constexpr std::size_t rangeFields = 3;
inline constexpr std::size_t loadFields = 4;
inline constexpr std::size_t flowRecordFields = 4;
inline constexpr std::size_t flowHeadFields = 4;
inline constexpr std::size_t flowRequestFields = 4;
inline constexpr std::size_t revisionRequestFields = 5;
inline constexpr std::size_t deltaFields = 7;
inline constexpr std::size_t pieceFields = 7;
inline constexpr std::size_t zoneFields = 8;

// Passes the fields of a message to a writer in the order of the wire format. The codec and encodedSize() share this
// class, so that the budget counts exactly the bytes that are sent.
template <typename Writer> class MessageFields {
public:
    explicit MessageFields(Writer& writer)
        : m_writer(writer)
    {
    }

    void write(const GossipMessage& message)
    {
        m_writer.arrayOf(messageFields);
        numbers(gossipVersion, static_cast<std::uint64_t>(message.type), message.probe, message.subject.value,
            message.incarnation, std::uint64_t { message.isIsolated });
        write(message.head);
        numbers(message.flowEpoch, message.flowSequence);
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
    }

private:
    template <typename... Values> void numbers(Values... values) { (m_writer.number(values), ...); }

    template <typename Item> void list(const std::vector<Item>& items)
    {
        m_writer.arrayOf(items.size());
        for (const auto& it : items)
            write(it);
    }

    template <typename Item> void optional(const std::optional<Item>& item)
    {
        m_writer.arrayOf(item ? 1 : 0);
        if (item)
            write(*item);
    }

    void bytes(const std::string& text) { m_writer.bytes(std::as_bytes(std::span(text))); }

    void write(const RevisionId& head) { numbers(head.revision, head.hash); }

    void write(const Member& member)
    {
        m_writer.arrayOf(memberFields);
        numbers(member.id.value);
        m_writer.text(member.name);
        m_writer.text(member.zone);
        m_writer.text(member.region);
        m_writer.text(member.group);
        numbers(member.roles, member.incarnation, static_cast<std::uint64_t>(member.state),
            std::uint64_t { member.isSynchronized }, member.revision, member.suspectedBy.value);
    }

    void write(const upstream::Announcement& announcement)
    {
        m_writer.arrayOf(announcementFields);
        numbers(announcement.upstream.value);
        m_writer.text(announcement.service);
        m_writer.text(announcement.zone);
        numbers(announcement.incarnation, announcement.sequence, static_cast<std::uint64_t>(announcement.state),
            announcement.slots, announcement.busySlots, announcement.openFlows);
    }

    void write(const AnnouncementRange& range)
    {
        m_writer.arrayOf(rangeFields);
        numbers(range.first.value, range.last.value, std::uint64_t { range.wantsReply });
    }

    void write(const LoadSlice& slice)
    {
        m_writer.arrayOf(loadFields);
        numbers(slice.first.value, slice.last.value, slice.hash);
        m_writer.bytes(std::as_bytes(std::span(slice.loads)));
    }

    // Records of one origin with consecutive sequences form a run, which carries origin, epoch and first sequence once:
    // a record of 12 bytes takes 13 bytes then, instead of 36.
    void flowRecords(const std::vector<FlowRecordItem>& items)
    {
        const auto endsRun = [&](std::size_t n) {
            return n == items.size() || items[n].origin != items[n - 1].origin || items[n].epoch != items[n - 1].epoch
                || items[n].sequence != items[n - 1].sequence + 1;
        };
        std::size_t runs = 0;
        for (std::size_t n = 1; n <= items.size(); ++n)
            runs += endsRun(n) ? 1 : 0;
        m_writer.arrayOf(runs);
        for (std::size_t first = 0; first < items.size();) {
            auto end = first + 1;
            while (!endsRun(end))
                ++end;
            m_writer.arrayOf(flowRecordFields);
            numbers(items[first].origin.value, items[first].epoch, items[first].sequence);
            m_writer.arrayOf(end - first);
            for (; first < end; ++first)
                m_writer.bytes(std::as_bytes(std::span(items[first].record)));
        }
    }

    void write(const FlowRecordRange& head)
    {
        m_writer.arrayOf(flowHeadFields);
        numbers(head.origin.value, head.epoch, head.oldest, head.newest);
    }

    void write(const FlowRecordRequest& request)
    {
        m_writer.arrayOf(flowRequestFields);
        numbers(request.origin.value, request.epoch, request.from, request.to);
    }

    void write(const RevisionRequest& request)
    {
        m_writer.arrayOf(revisionRequestFields);
        write(request.base);
        write(request.wanted);
        numbers(request.offset);
    }

    void write(const DeltaItem& delta)
    {
        m_writer.arrayOf(deltaFields);
        write(delta.base);
        write(delta.target);
        bytes(delta.patch);
        m_writer.text(delta.author);
        m_writer.text(delta.submission);
    }

    void write(const DocumentPiece& piece)
    {
        m_writer.arrayOf(pieceFields);
        write(piece.head);
        numbers(piece.size, piece.offset);
        bytes(piece.bytes);
        m_writer.text(piece.author);
        m_writer.text(piece.submission);
    }

    void write(const ZoneSummary& summary)
    {
        m_writer.arrayOf(zoneFields);
        m_writer.text(summary.zone);
        numbers(summary.version);
        write(summary.newest);
        numbers(summary.oldestRevision, summary.aliveCount, summary.inForceCount);
        m_writer.arrayOf(summary.delegates.size());
        for (const auto& it : summary.delegates)
            numbers(it.value);
    }

    Writer& m_writer;
};

} // namespace ibisgw::membership::detail
