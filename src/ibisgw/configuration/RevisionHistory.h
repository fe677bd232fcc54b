#pragma once

#include "ibisgw/configuration/AcceptedRevision.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace ibisgw::configuration {

// The newest accepted revisions. The current document is kept as a whole; each older one as the JSON patch (RFC 6902)
// that restores it from its successor, if the patch is shorter than the document.
class RevisionHistory {
public:
    static constexpr std::size_t capacity = 128;

    // Revision 0 with an empty document before the first acceptance.
    const AcceptedRevision& current() const { return m_current; }
    void add(AcceptedRevision);
    // Empty when the revision is newer than the current one or no longer kept.
    std::optional<AcceptedRevision> find(core::Revision) const;
    // Revisions after the given one, oldest first, as far as they are kept.
    std::vector<AcceptedRevision> since(core::Revision) const;
    // Author of a kept revision without restoring its document; null when it is not kept.
    const std::string* authorOf(core::Revision) const;

    nlohmann::json toJson() const;
    // False for malformed input.
    bool restore(const nlohmann::json&);

private:
    // An older revision in its stored form.
    struct StoredRevision {
        // The revision with an empty document.
        AcceptedRevision header;
        // True if `text` is a patch that applies to the next document; false if it is the document itself.
        bool isPatch { false };
        std::string text;
    };
    // Restores the kept revisions from the current one back to the given one, newest first.
    std::vector<AcceptedRevision> newestFirstDownTo(core::Revision) const;

    AcceptedRevision m_current;
    // Oldest first.
    std::deque<StoredRevision> m_olderRevisions;
};

} // namespace ibisgw::configuration
