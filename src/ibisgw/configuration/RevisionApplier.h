#pragma once

#include "ibisgw/configuration/AcceptedRevision.h"
#include "ibisgw/configuration/ApplyOutcome.h"
#include "ibisgw/configuration/RevisionDelta.h"

#include <deque>

namespace ibisgw::configuration {

// Rules that protect the document in force. Production code leaves them on; each is switched off in a test
// that shows that a check detects the damage.
struct ApplierRules {
    bool refuseLowerRevisions { true };
    bool verifyHashes { true };
};

// Holds the document in force on one daemon, and applies whole revisions in the order of their numbers.
// The number in force never decreases.
class RevisionApplier {
public:
    // Deltas kept for peers that missed some: 64 of about 300 bytes cover 2.4 h at 630 changes a day.
    static constexpr std::size_t maxDeltas = 64;

    explicit RevisionApplier(ApplierRules = {});

    // Applies a whole document, which may skip revisions.
    ApplyOutcome applyDocument(const AcceptedRevision&);
    // Applies a delta whose base is in force.
    ApplyOutcome applyDelta(const RevisionDelta&);

    // Revision 0 until the first document has been applied.
    const AcceptedRevision& inForce() const { return m_inForce; }
    // The delta that leads from the given revision to its successor; null when it is no longer kept.
    const RevisionDelta* deltaFrom(core::Revision base, std::uint64_t baseHash) const;
    // The delta that was applied or made last; null when there is none.
    const RevisionDelta* newestDelta() const { return m_deltas.empty() ? nullptr : &m_deltas.back(); }

private:
    void keepDelta(RevisionDelta);

    ApplierRules m_rules;
    AcceptedRevision m_inForce;
    std::deque<RevisionDelta> m_deltas;
};

} // namespace ibisgw::configuration
