#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Problem.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::configuration {
struct Document;
}

namespace ibisgw::adapters {

enum class SubmissionOutcome {
    Accepted,
    Rejected, // The document has problems; it never gets a revision.
    Conflict, // The base of the submission is not the newest revision.
    Unknown, // The leader has not answered yet; query the submission again with the same identifier.
};

std::string_view nameOf(SubmissionOutcome);
std::optional<SubmissionOutcome> submissionOutcomeFromName(std::string_view);

// A validated document that an operator submits as the next revision.
struct ApiSubmission {
    // Revision on which the document is based.
    core::Revision base { 0 };
    // Idempotency key: submitting again with the same identifier has no further effect. Identifiers of
    // callers that are bound to an organization start with "<organization>/", so that identifiers of two
    // organizations cannot collide.
    std::string identifier;
    std::string author;
    // The document as canonical text, and the same document parsed.
    std::string text;
    std::shared_ptr<const configuration::Document> document;
};

struct SubmissionAnswer {
    SubmissionOutcome outcome { SubmissionOutcome::Unknown };
    // The new revision if the outcome is Accepted, the newest accepted one if it is Conflict.
    core::Revision revision { 0 };
    std::vector<core::Problem> problems;
};

struct HistoryEntry {
    core::Revision revision { 0 };
    std::string author;
    // Identifier of the submission.
    std::string submission;
    // XXH3-64 of the document text.
    std::uint64_t hash { 0 };
};

struct MemberStatus {
    std::string name;
    core::Endpoint control;
    core::ZoneName zone;
    bool balancer { false };
    bool controller { false };
    // State in the member table, such as "alive", "suspect", "leaving".
    std::string state;
    // Newest revision in force on the member that has been reported to this daemon.
    core::Revision revision { 0 };
};

struct SystemStatus {
    // Newest accepted revision that this daemon has received.
    core::Revision newestRevision { 0 };
    core::Revision revisionInForce { 0 };
    // Empty when no leader is known.
    std::string leader;
    std::vector<MemberStatus> members;
};

struct UpstreamStatus {
    core::Endpoint address;
    core::ServiceName service;
    core::ZoneName zone;
    std::string state;
    std::uint32_t slots { 0 };
    // Busy slots divided by all slots.
    double load { 0.0 };
    std::uint64_t openFlows { 0 };
};

struct FlowCount {
    core::ServiceName service;
    core::Endpoint upstream;
    std::uint64_t openFlows { 0 };
};

struct FlowLocation {
    core::ServiceName service;
    core::Endpoint upstream;
    // Where the upstream was found: "table", "token", "record" or "default".
    std::string source;
};

} // namespace ibisgw::adapters
