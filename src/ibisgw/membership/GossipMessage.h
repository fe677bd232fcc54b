#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/membership/Member.h"
#include "ibisgw/upstream/Announcement.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ibisgw::membership {

enum class MessageType : std::uint8_t {
    Ping,
    Ack,
    PingRequest, // requests that the receiver probes `subject`
    Gossip, // carries data only, without a reply
    Join, // requests the member list; carries the entry of the sender
    JoinReply, // carries a part of the member list
};

// Number and hash of the revision that a daemon has in force.
struct RevisionId {
    core::Revision revision { 0 };
    std::uint64_t hash { 0 };

    auto operator<=>(const RevisionId&) const = default;
};

// Lease renewals and loads of all upstreams that the sender holds with identifiers in [first, last].
struct LoadSlice {
    core::UpstreamId first;
    core::UpstreamId last;
    // Hash of identifier, incarnation and state of these upstreams. The receiver applies the loads only if it holds the
    // same set.
    std::uint32_t hash { 0 };
    // Two bytes for each upstream, ordered by identifier: low byte of the sequence, and busy slots (at most 255).
    std::vector<std::uint8_t> loads;
};

// Range of identifiers that a message carries the announcements of: all that the sender holds in it. Sent in reply to a
// slice that differed.
struct AnnouncementRange {
    core::UpstreamId first;
    core::UpstreamId last;
    // Requests the receiver's announcements of the range that the message lacks.
    bool wantsReply { false };
};

// A flow record as the origin, the daemon that published it, encoded it. Membership does not decode it.
struct FlowRecordItem {
    core::NodeId origin;
    // Increases with each start of the origin; sequences start over in each epoch.
    std::uint64_t epoch { 0 };
    std::uint64_t sequence { 0 };
    std::vector<std::uint8_t> record;

    bool operator==(const FlowRecordItem&) const = default;
};

// Sequences of the oldest and the newest flow record of an origin that the sender holds.
struct FlowRecordRange {
    core::NodeId origin;
    std::uint64_t epoch { 0 };
    std::uint64_t oldest { 0 };
    std::uint64_t newest { 0 };
};

// Requests the flow records of an origin with sequences in [from, to].
struct FlowRecordRequest {
    core::NodeId origin;
    std::uint64_t epoch { 0 };
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
};

// Requests deltas that lead from a revision to a later one, or a piece of a document.
struct RevisionRequest {
    // Revision that the sender has in force; zero when deltas are of no use to it.
    RevisionId base;
    // Document that the sender is receiving in pieces, and the offset of the requested piece in bytes.
    RevisionId wanted;
    std::uint32_t offset { 0 };
};

// The change from one accepted revision to the next, as a JSON Patch (RFC 6902).
struct DeltaItem {
    RevisionId base;
    RevisionId target;
    std::string patch;
    std::string author;
    std::string submission;
};

// A piece of the compressed document of a revision.
struct DocumentPiece {
    RevisionId head;
    // Size of the whole compressed document, and position of this piece, in bytes.
    std::uint32_t size { 0 };
    std::uint32_t offset { 0 };
    std::string bytes;
    std::string author;
    std::string submission;
};

// State of one zone, exchanged between the delegates of the zones.
struct ZoneSummary {
    core::ZoneName zone;
    // Increases with each summary of the zone; receivers keep the summary with the highest version.
    std::uint64_t version { 0 };
    // Revision in force on the delegate that made the summary.
    RevisionId newest;
    // Lowest revision in force on any daemon of the zone that is not dead.
    core::Revision oldestRevision { 0 };
    // Number of daemons of the zone that are not dead.
    std::uint32_t aliveCount { 0 };
    // Number of these daemons that have `newest` or a later revision in force.
    std::uint32_t inForceCount { 0 };
    std::vector<core::NodeId> delegates;
};

// Any control datagram between daemons; packets relayed for callers and streams have formats of their own. Each message
// carries the header, up to flowSequence, and any of the lists.
struct GossipMessage {
    MessageType type { MessageType::Gossip };
    // Number of the probe in a ping, a ping request and an ack. In a join and its reply, 1 when the whole list is
    // requested, and 0 when only the entry of the answering daemon is.
    std::uint64_t probe { 0 };
    // Target of a ping request and of its ack. In a join, the member after which the reply is to continue the list; in
    // a reply, its last member, invalid when the list is complete.
    core::NodeId subject;
    // Incarnation of the sender.
    core::Incarnation incarnation { 0 };
    // The sender has received no message for isolationLimit, so its messages do not prove that it can be reached.
    bool isIsolated { false };
    // Revision in force on the sender.
    RevisionId head;
    // Epoch and sequence of the newest flow record of the sender.
    std::uint64_t flowEpoch { 0 };
    std::uint64_t flowSequence { 0 };
    std::vector<Member> members;
    std::vector<upstream::Announcement> announcements;
    std::vector<AnnouncementRange> ranges;
    std::vector<LoadSlice> loads;
    std::vector<FlowRecordItem> flowRecords;
    std::vector<FlowRecordRequest> flowRequests;
    std::optional<RevisionRequest> revisionRequest;
    std::vector<DeltaItem> deltas;
    std::optional<DocumentPiece> piece;
    std::vector<ZoneSummary> zones;
    std::vector<FlowRecordRange> flowHeads;
};

// Bytes of the message body in the encoding of adapters/GossipCodec.
std::size_t encodedSize(const GossipMessage&);

// Removes zone summaries, members and announcements, which later messages repeat, until the message fits into a
// datagram. Only long names make this necessary.
void trimToDatagram(GossipMessage&);

// Largest body of a message in bytes: a datagram of 1,400 bytes less the authentication envelope.
inline constexpr std::size_t maxBodyBytes = 1400 - 60;

} // namespace ibisgw::membership
