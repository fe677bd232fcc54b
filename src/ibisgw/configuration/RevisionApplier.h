#pragma once

#include "ibisgw/configuration/AcceptedRevision.h"
#include "ibisgw/configuration/ApplyOutcome.h"
#include "ibisgw/configuration/RevisionDelta.h"

#include <deque>

namespace ibisgw::configuration {

// Safety rules that protect the document in force. Tests disable each rule to verify that a checker detects the
// violation; other code never does.
struct ApplierRules {
    bool rejectLowerRevisions { true };
    bool verifyHashes { true };
};

// Holds the document in force on one daemon and replaces it by newer revisions, received as whole documents or as
// deltas. The number of the revision in force never decreases.
class RevisionApplier {
public:
    // Number of deltas kept for peers that missed some: 64 of about 300 bytes each cover 2.4 h at 630 changes a day.
    static constexpr std::size_t maxDeltas = 64;

    explicit RevisionApplier(ApplierRules = {});

    // Applies a whole document; its revision need not be the successor of the one in force.
    ApplyOutcome applyDocument(const AcceptedRevision&);
    // Applies a delta; its base must be the revision in force.
    ApplyOutcome applyDelta(const RevisionDelta&);

    // Revision 0 until the first document has been applied.
    const AcceptedRevision& inForce() const { return m_inForce; }
    // The kept delta with the given base; null when there is none.
    const RevisionDelta* deltaFrom(core::Revision base, std::uint64_t baseHash) const;
    // The delta that was applied last, or computed last from a whole document; null when there is none.
    const RevisionDelta* newestDelta() const { return m_deltas.empty() ? nullptr : &m_deltas.back(); }

private:
    void keepDelta(RevisionDelta);

    ApplierRules m_rules;
    AcceptedRevision m_inForce;
    std::deque<RevisionDelta> m_deltas;
};

} // namespace ibisgw::configuration
