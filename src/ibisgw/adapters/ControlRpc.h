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

enum class ControlCall : std::uint8_t {
    Submit,
    FindOutcome,
    FindRevision,
    ListRevisions, // the newest first, without documents
    DrainBalancer, // starts a graceful shutdown of the daemon that is asked
    FindSpans, // of one trace, from the trace file of the daemon that is asked
    HandOver, // flows of which the daemon that is asked is the new home
};

// What a daemon asks a controller or another daemon, on the stream channel.
struct ControlRequest {
    // Chosen by the asking daemon; the reply repeats it.
    std::uint64_t number { 0 };
    ControlCall call { ControlCall::Submit };
    // For FindOutcome only its identifier counts.
    configuration::Submission submission;
    core::Revision revision { 0 };
    std::uint64_t limit { 0 };
    // Of FindSpans.
    std::string traceId;
    // Of HandOver.
    std::vector<flow::FlowHandOver> flows;
};

struct ControlReply {
    std::uint64_t number { 0 };
    // Of Submit and FindOutcome.
    configuration::SubmissionOutcome outcome;
    // Of FindRevision and ListRevisions.
    std::vector<configuration::AcceptedRevision> revisions;
    // Of FindSpans.
    std::vector<Span> spans;
};

// Requests and replies are CBOR arrays that start with their form, so one channel carries both.
std::vector<std::uint8_t> encodeControlRequest(const ControlRequest&);
std::vector<std::uint8_t> encodeControlReply(const ControlReply&);
std::optional<ControlRequest> decodeControlRequest(std::span<const std::byte>);
std::optional<ControlReply> decodeControlReply(std::span<const std::byte>);

} // namespace ibisgw::adapters
