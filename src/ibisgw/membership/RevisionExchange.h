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

// Brings the newest accepted revision that any peer holds into force: deltas where a peer still has them,
// otherwise the whole document, compressed, in pieces from several peers at once.
class RevisionExchange {
public:
    // Pieces start at multiples of this, so that pieces of several peers fit together.
    static constexpr std::size_t pieceBytes = 1024;

    explicit RevisionExchange(core::RandomSource&, configuration::ApplierRules = {});

    // True when the revision is new and is now in force.
    bool publish(const configuration::AcceptedRevision&);
    // Notes what the sender has in force; true when the message brought a newer revision into force.
    bool handle(core::NodeId from, const GossipMessage&, core::TimePoint now, MessageSink&);
    void tick(core::TimePoint now, MessageSink&);
    void forgetPeer(core::NodeId);

    RevisionHead head() const;
    // Newest revision that a peer has reported.
    core::Revision newestKnown() const;
    const configuration::RevisionApplier& applier() const { return m_applier; }
    // The delta that led to the revision in force, if it fits into a datagram.
    std::optional<DeltaItem> newestDelta() const;

private:
    struct Transfer {
        RevisionHead head;
        core::NodeId firstPeer;
        std::string buffer;
        std::string author;
        std::string submission;
        std::set<std::size_t> missing;
        std::map<std::size_t, core::TimePoint> requestedUntil;
    };

    void answer(core::NodeId from, const RevisionRequest&, MessageSink&);
    void answerFromTransfer(core::NodeId from, std::size_t offset, MessageSink&) const;
    const std::string& compressedDocument();
    bool applyDelta(const DeltaItem&);
    bool addPiece(core::NodeId from, const DocumentPiece&);
    void requestNext(core::TimePoint now, MessageSink&);
    void requestPieces(core::TimePoint now, MessageSink&);
    std::vector<core::NodeId> peersWith(RevisionHead) const;

    core::RandomSource& m_random;
    configuration::RevisionApplier m_applier;
    std::map<core::NodeId, RevisionHead> m_peers;
    std::optional<Transfer> m_transfer;
    // A delta led to a document with another hash; only a whole document helps.
    bool m_needsDocument { false };
    // Pieces of peers with another release of zlib may not fit together; then one peer sends all.
    bool m_usesSinglePeer { false };
    RevisionHead m_compressedHead;
    std::string m_compressed;
    core::Duration m_requestTimeout;
    core::TimePoint m_nextRequestAt;
};

} // namespace ibisgw::membership
