#include "ibisgw/membership/RevisionExchange.h"

#include "ibisgw/configuration/DocumentCompression.h"

#include <algorithm>

namespace ibisgw::membership {

using configuration::ApplyOutcome;

namespace {

// The timeout doubles with each request without a useful reply, because many daemons may request from the same peer.
constexpr core::Duration firstRequestTimeout = std::chrono::milliseconds(300);
constexpr core::Duration maxRequestTimeout = std::chrono::milliseconds(2400);
// Time until a piece is requested again. Long, because a peer that holds the document may have to wait for its control
// budget.
constexpr core::Duration pieceTimeout = std::chrono::milliseconds(2500);
// The same for a peer that is still receiving the document: it replies at once, or not at all if it lacks the piece.
constexpr core::Duration receiverPieceTimeout = std::chrono::milliseconds(600);
// With this many messages queued for the budget, a daemon does not reply to further requests for pieces, since the
// requests would time out before the reply.
constexpr std::size_t maxQueuedPieces = 4;
// Largest number of pieces that are requested at the same time. A compressed document of 480 addresses has about as
// many.
constexpr std::size_t maxOutstandingPieces = 4;
// Largest size of all deltas of one message in bytes, which leaves room for the header and the names.
constexpr std::size_t maxDeltaBytes = 1100;

std::size_t sizeOf(const configuration::RevisionDelta& delta)
{
    // Numbers and hashes of base and target take at most 40 bytes.
    return delta.patch.size() + delta.author.size() + delta.submission.size() + 40;
}

DeltaItem toItem(const configuration::RevisionDelta& delta)
{
    return { { delta.baseRevision, delta.baseHash }, { delta.revision, delta.hash }, delta.patch, delta.author,
        delta.submission };
}

} // namespace

RevisionExchange::RevisionExchange(core::RandomSource& random, configuration::ApplierRules rules)
    : m_random(random)
    , m_applier(rules)
    , m_requestTimeout(firstRequestTimeout)
{
}

bool RevisionExchange::publish(const configuration::AcceptedRevision& revision)
{
    return m_applier.applyDocument(revision) == ApplyOutcome::Applied;
}

bool RevisionExchange::handle(core::NodeId from, const GossipMessage& message, core::TimePoint now, MessageSink& sink)
{
    m_peers[from] = message.head;
    if (message.revisionRequest)
        answer(from, *message.revisionRequest, sink);
    bool isNewer = false;
    for (const auto& it : message.deltas)
        isNewer = applyDelta(it) || isNewer;
    if (message.piece)
        isNewer = addPiece(from, *message.piece) || isNewer;
    // The reply to a request has arrived, so the next request is sent without a delay.
    if (isNewer || message.piece) {
        m_requestTimeout = firstRequestTimeout;
        requestNext(now, sink);
    }
    return isNewer;
}

void RevisionExchange::tick(core::TimePoint now, MessageSink& sink)
{
    if (m_transfer || now >= m_nextRequestAt)
        requestNext(now, sink);
}

void RevisionExchange::forgetPeer(core::NodeId peer)
{
    m_peers.erase(peer);
}

RevisionId RevisionExchange::head() const
{
    return { m_applier.inForce().revision, m_applier.inForce().hash };
}

core::Revision RevisionExchange::newestKnown() const
{
    core::Revision newest = 0;
    for (const auto& [peer, head] : m_peers)
        newest = std::max(newest, head.revision);
    return newest;
}

std::optional<DeltaItem> RevisionExchange::newestDelta() const
{
    const auto* delta = m_applier.newestDelta();
    if (!delta || delta->revision != m_applier.inForce().revision || sizeOf(*delta) > maxDeltaBytes)
        return std::nullopt;
    return toItem(*delta);
}

void RevisionExchange::answer(core::NodeId from, const RevisionRequest& request, MessageSink& sink)
{
    if (m_transfer && request.wanted == m_transfer->head) {
        answerFromTransfer(from, request.offset, sink);
        return;
    }
    const auto& inForce = m_applier.inForce();
    if (inForce.revision <= request.base.revision)
        return;
    GossipMessage reply;
    std::size_t bytes = 0;
    const auto* delta = m_applier.deltaFrom(request.base.revision, request.base.hash);
    while (delta && bytes + sizeOf(*delta) <= maxDeltaBytes) {
        bytes += sizeOf(*delta);
        reply.deltas.push_back(toItem(*delta));
        delta = m_applier.deltaFrom(delta->revision, delta->hash);
    }
    if (reply.deltas.empty()) {
        if (sink.queuedCount(Priority::Configuration) >= maxQueuedPieces)
            return;
        const auto& document = compressedDocument();
        const auto isSame = request.wanted == head();
        const auto offset = isSame ? std::min<std::size_t>(request.offset, document.size()) : 0;
        reply.piece
            = DocumentPiece { head(), static_cast<std::uint32_t>(document.size()), static_cast<std::uint32_t>(offset),
                  document.substr(offset, pieceBytes), inForce.author, inForce.submission };
    }
    sink.post(Priority::Configuration, from, std::move(reply));
}

const std::string& RevisionExchange::compressedDocument()
{
    if (m_compressedHead != head()) {
        m_compressedHead = head();
        m_compressed = configuration::compressDocument(m_applier.inForce().document);
    }
    return m_compressed;
}

void RevisionExchange::answerFromTransfer(core::NodeId from, std::size_t offset, MessageSink& sink) const
{
    if (offset >= m_transfer->buffer.size() || m_transfer->missing.contains(offset)
        || sink.queuedCount(Priority::Configuration) > 0)
        return;
    GossipMessage reply;
    reply.piece = DocumentPiece { m_transfer->head, static_cast<std::uint32_t>(m_transfer->buffer.size()),
        static_cast<std::uint32_t>(offset), m_transfer->buffer.substr(offset, pieceBytes), m_transfer->author,
        m_transfer->submission };
    sink.post(Priority::Configuration, from, std::move(reply));
}

bool RevisionExchange::applyDelta(const DeltaItem& delta)
{
    const auto outcome = m_applier.applyDelta({ delta.base.revision, delta.base.hash, delta.target.revision,
        delta.target.hash, delta.patch, delta.author, delta.submission });
    // For a delta to the revision that is in force already, nothing changes: only a later revision may replace the
    // document.
    if (outcome == ApplyOutcome::WrongHash || outcome == ApplyOutcome::Malformed)
        m_needsDocument = true;
    return outcome == ApplyOutcome::Applied;
}

bool RevisionExchange::addPiece(core::NodeId from, const DocumentPiece& piece)
{
    if (piece.head.revision <= m_applier.inForce().revision)
        return false;
    if (!m_transfer || m_transfer->head.revision < piece.head.revision) {
        m_transfer
            = Transfer { piece.head, from, std::string(piece.size, '\0'), piece.author, piece.submission, {}, {} };
        for (std::size_t offset = 0; offset < piece.size; offset += pieceBytes)
            m_transfer->missing.insert(offset);
    }
    const auto expected = std::min<std::size_t>(pieceBytes, m_transfer->buffer.size() - piece.offset);
    if (m_transfer->head != piece.head || m_transfer->buffer.size() != piece.size || piece.bytes.size() != expected
        || m_transfer->missing.erase(piece.offset) == 0)
        return false;
    m_transfer->buffer.replace(piece.offset, piece.bytes.size(), piece.bytes);
    m_transfer->requestExpiries.erase(piece.offset);
    if (!m_transfer->missing.empty())
        return false;
    const auto done = std::move(*m_transfer);
    m_transfer.reset();
    const auto document = configuration::decompressDocument(done.buffer);
    const auto outcome = document
        ? m_applier.applyDocument({ done.head.revision, *document, done.head.hash, done.author, done.submission })
        : ApplyOutcome::Malformed;
    m_usesSinglePeer = outcome == ApplyOutcome::WrongHash || outcome == ApplyOutcome::Malformed;
    m_needsDocument = m_needsDocument && outcome != ApplyOutcome::Applied;
    return outcome == ApplyOutcome::Applied;
}

void RevisionExchange::requestNext(core::TimePoint now, MessageSink& sink)
{
    if (m_transfer && m_transfer->head.revision <= m_applier.inForce().revision)
        m_transfer.reset();
    const auto newest = newestKnown();
    if (newest <= m_applier.inForce().revision)
        return;
    if (m_transfer) {
        requestPieces(now, sink);
        return;
    }
    std::vector<core::NodeId> candidates;
    for (const auto& [peer, peerHead] : m_peers) {
        if (peerHead.revision == newest)
            candidates.push_back(peer);
    }
    m_nextRequestAt = now + m_requestTimeout;
    m_requestTimeout = std::min(2 * m_requestTimeout, maxRequestTimeout);
    GossipMessage message;
    message.revisionRequest = RevisionRequest { m_needsDocument ? RevisionId {} : head(), {}, 0 };
    sink.post(Priority::Configuration, candidates[m_random.below(candidates.size())], std::move(message));
}

void RevisionExchange::requestPieces(core::TimePoint now, MessageSink& sink)
{
    auto candidates = peersWith(m_transfer->head);
    if (m_usesSinglePeer)
        std::erase_if(candidates, [this](core::NodeId it) { return it != m_transfer->firstPeer; });
    if (candidates.empty()) {
        // All peers have a newer revision in force by now, which is requested from the start.
        m_transfer.reset();
        return;
    }
    std::erase_if(m_transfer->requestExpiries, [now](const auto& it) { return it.second <= now; });
    // Peers that are receiving the same document may hold other pieces already, since each daemon requests the pieces
    // in a random order.
    std::vector<core::NodeId> receivers;
    for (const auto& [peer, peerHead] : m_peers) {
        if (!m_usesSinglePeer && peerHead.revision < m_transfer->head.revision)
            receivers.push_back(peer);
    }
    std::vector<std::size_t> offsets;
    for (const auto offset : m_transfer->missing) {
        if (!m_transfer->requestExpiries.contains(offset))
            offsets.push_back(offset);
    }
    while (!offsets.empty() && m_transfer->requestExpiries.size() < maxOutstandingPieces) {
        const auto index = m_random.below(offsets.size());
        const auto offset = offsets[index];
        offsets.erase(offsets.begin() + static_cast<std::ptrdiff_t>(index));
        const bool usesReceiver = !receivers.empty() && m_random.chance(0.5);
        const auto& targets = usesReceiver ? receivers : candidates;
        m_transfer->requestExpiries[offset] = now + (usesReceiver ? receiverPieceTimeout : pieceTimeout);
        GossipMessage message;
        message.revisionRequest = RevisionRequest { {}, m_transfer->head, static_cast<std::uint32_t>(offset) };
        sink.post(Priority::Configuration, targets[m_random.below(targets.size())], std::move(message));
    }
}

std::vector<core::NodeId> RevisionExchange::peersWith(RevisionId wanted) const
{
    std::vector<core::NodeId> peers;
    for (const auto& [peer, peerHead] : m_peers) {
        if (peerHead == wanted)
            peers.push_back(peer);
    }
    return peers;
}

} // namespace ibisgw::membership
