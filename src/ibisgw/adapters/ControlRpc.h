#pragma once

#include "ibisgw/adapters/Span.h"
#include "ibisgw/configuration/AcceptedRevision.h"
#include "ibisgw/configuration/Submission.h"
#include "ibisgw/configuration/SubmissionOutcome.h"
#include "ibisgw/flow/FlowHandOver.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace ibisgw::adapters {

// Procedure that the receiver of a ControlRequest executes.
enum class ControlCall : std::uint8_t {
    Submit,
    FindOutcome,
    FindRevision,
    ListRevisions, // returns the newest revisions first, without their documents
    DrainBalancer, // starts a graceful shutdown of the receiving daemon
    FindSpans, // returns the spans of one trace from the trace file of the receiving daemon
    HandOver, // transfers flows to the receiving daemon, which becomes their home
    ReadNewest, // returns the newest accepted revision with its document; only the leader answers (linearizable read)
};

// Request of a daemon to a controller or to another daemon, sent on the stream channel. A call reads only the fields
// that it needs; the others keep their defaults.
struct ControlRequest {
    // Correlates request and reply: chosen by the requesting daemon and copied into the reply.
    std::uint64_t number { 0 };
    ControlCall call { ControlCall::Submit };
    // Submit reads all fields, FindOutcome only the identifier.
    configuration::Submission submission;
    // Revision that FindRevision returns.
    core::Revision revision { 0 };
    // Largest number of revisions that ListRevisions returns.
    std::uint64_t limit { 0 };
    // Trace whose spans FindSpans returns.
    std::string traceId;
    // Flows that HandOver transfers.
    std::vector<flow::FlowHandOver> flows;
};

// Reply to a ControlRequest. Fields that do not belong to the call keep their defaults.
struct ControlReply {
    // Number of the request.
    std::uint64_t number { 0 };
    // Result of Submit and FindOutcome.
    configuration::SubmissionOutcome outcome;
    // Result of FindRevision, ListRevisions and ReadNewest.
    std::vector<configuration::AcceptedRevision> revisions;
    // Result of FindSpans.
    std::vector<Span> spans;
};

// Requests and replies are CBOR arrays whose first element gives the message type, so one channel carries both.
// The decoders return nothing for a malformed message or one of the other type.
std::vector<std::uint8_t> encodeControlRequest(const ControlRequest&);
std::vector<std::uint8_t> encodeControlReply(const ControlReply&);
std::optional<ControlRequest> decodeControlRequest(std::span<const std::byte>);
std::optional<ControlReply> decodeControlReply(std::span<const std::byte>);

} // namespace ibisgw::adapters
