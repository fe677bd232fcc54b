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
    PingRequest, // asks the receiver to probe `subject`
    Gossip,
    Join, // asks for the member list; carries the sender's own entry
    JoinReply,
};

// Number and hash of the revision that a daemon has in force.
struct RevisionHead {
    core::Revision revision { 0 };
    std::uint64_t hash { 0 };

    auto operator<=>(const RevisionHead&) const = default;
};

// Lease renewals and loads of all upstreams of the sender whose identifiers lie in [first, last].
struct LoadSlice {
    core::UpstreamId first;
    core::UpstreamId last;
    // Over identifier, incarnation and state; loads apply only when the receiver holds the same set.
    std::uint32_t hash { 0 };
    // For each upstream, by identifier: low byte of the sequence, busy slots (at most 255).
    std::vector<std::uint8_t> loads;
};

// Announcements of all upstreams of the sender in a range, in answer to a slice that differed.
struct AnnouncementRange {
    core::UpstreamId first;
    core::UpstreamId last;
    bool wantsReply { false };
};

// A flow record as its origin encoded it; opaque to membership.
struct FlowRecordItem {
    core::NodeId origin;
    // Larger in each incarnation of the origin; sequences start over with it.
    std::uint64_t epoch { 0 };
    std::uint64_t sequence { 0 };
    std::vector<std::uint8_t> record;

    bool operator==(const FlowRecordItem&) const = default;
};

// Flow records of an origin that the sender holds.
struct FlowRecordHead {
    core::NodeId origin;
    std::uint64_t epoch { 0 };
    std::uint64_t oldest { 0 };
    std::uint64_t newest { 0 };
};

// Asks for the flow records of an origin with sequences in [from, to].
struct FlowRecordRequest {
    core::NodeId origin;
    std::uint64_t epoch { 0 };
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
};

// Asks a peer for what follows the revision that the sender has in force.
struct RevisionRequest {
    RevisionHead base;
    // Document that the sender is receiving in pieces, and the first byte that it lacks.
    RevisionHead wanted;
    std::uint32_t offset { 0 };
};

// A change from one accepted revision to the next, as an RFC 6902 patch.
struct DeltaItem {
    RevisionHead base;
    RevisionHead target;
    std::string patch;
    std::string author;
    std::string submission;
};

struct DocumentPiece {
    RevisionHead head;
    std::uint32_t size { 0 };
    std::uint32_t offset { 0 };
    std::string bytes;
    std::string author;
    std::string submission;
};

// State of one zone, exchanged between the delegates of zones.
struct ZoneSummary {
    core::ZoneName zone;
    // Grows with each summary of the zone; the largest wins.
    std::uint64_t version { 0 };
    RevisionHead newest;
    // Lowest revision in force on a daemon of the zone that is alive.
    core::Revision oldestRevision { 0 };
    std::uint32_t aliveCount { 0 };
    // Daemons that have `newest` in force.
    std::uint32_t inForceCount { 0 };
    std::vector<core::NodeId> delegates;
};

// Any message between daemons, apart from relays and streams.
struct GossipMessage {
    MessageType type { MessageType::Gossip };
    // Number of the probe that a ping starts and an ack answers; 1 in a join that asks for the list, and its reply.
    std::uint64_t probe { 0 };
    // Target of a ping request and of its ack; in a join and its reply, the member after which the list goes on.
    core::NodeId subject;
    core::Incarnation incarnation { 0 };
    // The sender has received nothing for a while, so its messages do not show that it can be reached.
    bool isIsolated { false };
    RevisionHead head;
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
    std::vector<FlowRecordHead> flowHeads;
};

// Bytes of the message body in the encoding of adapters/GossipCodec.
std::size_t encodedSize(const GossipMessage&);

// Long names can make a message exceed a datagram: drops entries that a later message can carry.
void trimToDatagram(GossipMessage&);

// Largest body: a datagram of 1,400 bytes minus the authentication envelope.
inline constexpr std::size_t maxBodyBytes = 1400 - 60;

} // namespace ibisgw::membership
