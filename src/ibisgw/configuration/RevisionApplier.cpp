#include "ibisgw/configuration/RevisionApplier.h"

#include "ibisgw/configuration/DocumentPatch.h"

namespace ibisgw::configuration {

RevisionApplier::RevisionApplier(ApplierRules rules)
    : m_rules(rules)
{
}

ApplyOutcome RevisionApplier::applyDocument(const AcceptedRevision& offered)
{
    if (m_rules.rejectLowerRevisions && offered.revision < m_inForce.revision)
        return ApplyOutcome::LowerRevision;
    if (m_rules.verifyHashes && hashDocument(offered.document) != offered.hash)
        return ApplyOutcome::WrongHash;
    if (offered.revision == m_inForce.revision)
        return offered.hash == m_inForce.hash ? ApplyOutcome::AlreadyInForce : ApplyOutcome::WrongHash;
    if (offered.revision == m_inForce.revision + 1 && m_inForce.revision > 0) {
        if (auto patch = makePatch(m_inForce.document, offered.document)) {
            keepDelta({ m_inForce.revision, m_inForce.hash, offered.revision, offered.hash, std::move(*patch),
                offered.author, offered.submission });
        }
    }
    m_inForce = offered;
    return ApplyOutcome::Applied;
}

ApplyOutcome RevisionApplier::applyDelta(const RevisionDelta& delta)
{
    if (m_rules.rejectLowerRevisions && delta.revision < m_inForce.revision)
        return ApplyOutcome::LowerRevision;
    if (delta.revision == m_inForce.revision)
        return delta.hash == m_inForce.hash ? ApplyOutcome::AlreadyInForce : ApplyOutcome::WrongHash;
    if (m_rules.verifyHashes && (delta.baseRevision != m_inForce.revision || delta.baseHash != m_inForce.hash))
        return ApplyOutcome::WrongBase;
    auto document = applyPatch(m_inForce.document, delta.patch);
    if (!document)
        return ApplyOutcome::Malformed;
    if (m_rules.verifyHashes && hashDocument(*document) != delta.hash)
        return ApplyOutcome::WrongHash;
    m_inForce = { delta.revision, std::move(*document), delta.hash, delta.author, delta.submission };
    keepDelta(delta);
    return ApplyOutcome::Applied;
}

const RevisionDelta* RevisionApplier::deltaFrom(core::Revision base, std::uint64_t baseHash) const
{
    for (const auto& it : m_deltas) {
        if (it.baseRevision == base && it.baseHash == baseHash)
            return &it;
    }
    return nullptr;
}

void RevisionApplier::keepDelta(RevisionDelta delta)
{
    m_deltas.push_back(std::move(delta));
    if (m_deltas.size() > maxDeltas)
        m_deltas.pop_front();
}

} // namespace ibisgw::configuration
