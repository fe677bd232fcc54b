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
    Conflict, // The base is not the newest revision.
    Unknown, // No answer from the leader yet; ask again with the same identifier.
};

std::string_view nameOf(SubmissionOutcome);
std::optional<SubmissionOutcome> submissionOutcomeFromName(std::string_view);

// A validated document that an operator wants in force.
struct ApiSubmission {
    core::Revision base { 0 };
    // Makes a resubmission idempotent. Identifiers of tokens that are bound to an organization start
    // with "<organization>/", so that organizations cannot collide.
    std::string identifier;
    std::string author;
    // Canonical text and its typed form.
    std::string text;
    std::shared_ptr<const configuration::Document> document;
};

struct SubmissionAnswer {
    SubmissionOutcome outcome { SubmissionOutcome::Unknown };
    // Accepted: the new revision. Conflict: the newest one.
    core::Revision revision { 0 };
    std::vector<core::Problem> problems;
};

struct HistoryEntry {
    core::Revision revision { 0 };
    std::string author;
    std::string submission;
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
    // Revision in force on the member, as far as this daemon knows.
    core::Revision revision { 0 };
};

struct SystemStatus {
    // Newest accepted revision that this daemon knows.
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
    // What decided: "table", "token", "record" or "default".
    std::string source;
};

} // namespace ibisgw::adapters
