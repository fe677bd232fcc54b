#pragma once

#include "ibisgw/configuration/RevisionApplier.h"
#include "ibisgw/core/RandomSource.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/membership/MessageSink.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ibisgw::membership {

// Fetches the newest accepted revision that any peer holds, and brings it into force. Uses deltas where a peer still
// holds them, otherwise the whole compressed document, in pieces from several peers in parallel.
class RevisionExchange {
public:
    // Size of a piece in bytes. Pieces start at multiples of it, so that pieces from different peers can be combined.
    static constexpr std::size_t pieceBytes = 1024;

    explicit RevisionExchange(core::RandomSource&, configuration::ApplierRules = {});

    // True when the revision is new and is now in force.
    bool publish(const configuration::AcceptedRevision&);
    // Stores which revision the sender has in force, replies to its request, and applies deltas and pieces. True when
    // the message brought a newer revision into force.
    bool handle(core::NodeId from, const GossipMessage&, core::TimePoint now, MessageSink&);
    void tick(core::TimePoint now, MessageSink&);
    void forgetPeer(core::NodeId);

    RevisionId head() const;
    // Newest revision that a peer has in force.
    core::Revision newestKnown() const;
    const configuration::RevisionApplier& applier() const { return m_applier; }
    // The delta from the previous revision to the one in force, if it fits into a datagram.
    std::optional<DeltaItem> newestDelta() const;

private:
    // A compressed document that is being received in pieces.
    struct Transfer {
        RevisionId head;
        // Sender of the first piece.
        core::NodeId firstPeer;
        std::string buffer;
        std::string author;
        std::string submission;
        // Offsets of the pieces that have not arrived.
        std::set<std::size_t> missing;
        // Offsets of the pieces that were requested, and the time after which the request may be repeated.
        std::map<std::size_t, core::TimePoint> requestExpiries;
    };

    void answer(core::NodeId from, const RevisionRequest&, MessageSink&);
    void answerFromTransfer(core::NodeId from, std::size_t offset, MessageSink&) const;
    const std::string& compressedDocument();
    bool applyDelta(const DeltaItem&);
    bool addPiece(core::NodeId from, const DocumentPiece&);
    void requestNext(core::TimePoint now, MessageSink&);
    void requestPieces(core::TimePoint now, MessageSink&);
    std::vector<core::NodeId> peersWith(RevisionId) const;

    core::RandomSource& m_random;
    configuration::RevisionApplier m_applier;
    std::map<core::NodeId, RevisionId> m_peers;
    std::optional<Transfer> m_transfer;
    // A delta was malformed or led to a document with another hash than announced, so the whole document is requested.
    bool m_needsDocument { false };
    // A combined document was malformed: peers with different releases of zlib may compress it to different bytes. All
    // pieces of the next transfer then come from one peer.
    bool m_usesSinglePeer { false };
    // Revision of the document in m_compressed, which is compressed once for all requests.
    RevisionId m_compressedHead;
    std::string m_compressed;
    core::Duration m_requestTimeout;
    core::TimePoint m_nextRequestAt;
};

} // namespace ibisgw::membership
