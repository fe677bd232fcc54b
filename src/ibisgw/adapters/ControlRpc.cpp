#include "ibisgw/adapters/ControlRpc.h"

#include <nlohmann/json.hpp>

namespace ibisgw::adapters {

using nlohmann::json;

namespace {

constexpr std::uint64_t requestMessageType = 1;
constexpr std::uint64_t replyMessageType = 2;

// Largest number of list elements. Limits the memory that the decoder allocates for a malformed message; revisions in a
// list carry no documents.
constexpr std::size_t maxRevisions = 1024;
constexpr std::size_t maxSpans = 4096;
constexpr std::size_t maxFlows = 1024;

json revisionToJson(const configuration::AcceptedRevision& revision)
{
    return json::array({ revision.revision, revision.document, revision.hash, revision.author, revision.submission });
}

configuration::AcceptedRevision revisionFromJson(const json& value)
{
    configuration::AcceptedRevision revision;
    revision.revision = value.at(0).get<core::Revision>();
    revision.document = value.at(1).get<std::string>();
    revision.hash = value.at(2).get<std::uint64_t>();
    revision.author = value.at(3).get<std::string>();
    revision.submission = value.at(4).get<std::string>();
    return revision;
}

json spanToJson(const Span& span)
{
    return json::array(
        { span.traceId, span.spanId, span.parentId, span.hop, span.service, span.startUs, span.durationUs });
}

Span spanFromJson(const json& value)
{
    Span span;
    span.traceId = value.at(0).get<std::string>();
    span.spanId = value.at(1).get<std::string>();
    span.parentId = value.at(2).get<std::string>();
    span.hop = value.at(3).get<std::string>();
    span.service = value.at(4).get<std::string>();
    span.startUs = value.at(5).get<std::uint64_t>();
    span.durationUs = value.at(6).get<std::uint64_t>();
    return span;
}

std::uint64_t packEndpoint(const core::Endpoint& endpoint)
{
    return core::UpstreamId::fromEndpoint(endpoint).value;
}

json handOverToJson(const flow::FlowHandOver& handOver)
{
    return json::array({ packEndpoint(handOver.flow.caller), packEndpoint(handOver.flow.service),
        handOver.upstream.value, handOver.isSticky });
}

flow::FlowHandOver handOverFromJson(const json& value)
{
    flow::FlowHandOver handOver;
    handOver.flow.caller = core::UpstreamId { value.at(0).get<std::uint64_t>() }.endpoint();
    handOver.flow.service = core::UpstreamId { value.at(1).get<std::uint64_t>() }.endpoint();
    handOver.upstream.value = value.at(2).get<std::uint64_t>();
    handOver.isSticky = value.at(3).get<bool>();
    return handOver;
}

std::optional<json> parseMessage(std::span<const std::byte> body, std::uint64_t expectedType)
{
    const auto* first = reinterpret_cast<const std::uint8_t*>(body.data());
    auto value = json::from_cbor(first, first + body.size(), true, false);
    if (!value.is_array() || value.empty() || value[0] != expectedType)
        return std::nullopt;
    return value;
}

// Decodes the CBOR array and passes it to the reader. Returns nothing when an element is missing or has a wrong type.
template <typename Message, typename Reader>
std::optional<Message> decodeMessage(std::span<const std::byte> body, std::uint64_t expectedType, Reader reader)
{
    const auto value = parseMessage(body, expectedType);
    if (!value)
        return std::nullopt;
    try {
        return reader(*value);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::vector<std::uint8_t> encodeControlRequest(const ControlRequest& request)
{
    const auto& submission = request.submission;
    auto flows = json::array();
    for (const auto& it : request.flows)
        flows.push_back(handOverToJson(it));
    return json::to_cbor(json::array({ requestMessageType, request.number, static_cast<std::uint64_t>(request.call),
        submission.id, submission.author, submission.base, submission.document, request.revision, request.limit,
        request.traceId, std::move(flows) }));
}

std::vector<std::uint8_t> encodeControlReply(const ControlReply& reply)
{
    auto revisions = json::array();
    for (const auto& it : reply.revisions)
        revisions.push_back(revisionToJson(it));
    auto spans = json::array();
    for (const auto& it : reply.spans)
        spans.push_back(spanToJson(it));
    const auto& outcome = reply.outcome;
    return json::to_cbor(
        json::array({ replyMessageType, reply.number, static_cast<std::uint64_t>(outcome.kind), outcome.revision,
            outcome.author, outcome.leader.value, outcome.message, std::move(revisions), std::move(spans) }));
}

std::optional<ControlRequest> decodeControlRequest(std::span<const std::byte> body)
{
    return decodeMessage<ControlRequest>(body, requestMessageType, [](const json& value) {
        ControlRequest request;
        request.number = value.at(1).get<std::uint64_t>();
        const auto call = value.at(2).get<std::uint64_t>();
        request.submission.id = value.at(3).get<std::string>();
        request.submission.author = value.at(4).get<std::string>();
        request.submission.base = value.at(5).get<core::Revision>();
        request.submission.document = value.at(6).get<std::string>();
        request.revision = value.at(7).get<core::Revision>();
        request.limit = value.at(8).get<std::uint64_t>();
        request.traceId = value.at(9).get<std::string>();
        const auto& flows = value.at(10);
        if (!flows.is_array() || flows.size() > maxFlows)
            return std::optional<ControlRequest>();
        for (const auto& it : flows)
            request.flows.push_back(handOverFromJson(it));
        request.call = static_cast<ControlCall>(call);
        const bool isKnown = call <= static_cast<std::uint64_t>(ControlCall::ReadNewest);
        return isKnown ? std::optional(request) : std::nullopt;
    });
}

std::optional<ControlReply> decodeControlReply(std::span<const std::byte> body)
{
    return decodeMessage<ControlReply>(body, replyMessageType, [](const json& value) -> std::optional<ControlReply> {
        ControlReply reply;
        reply.number = value.at(1).get<std::uint64_t>();
        const auto kind = value.at(2).get<std::uint64_t>();
        if (kind > static_cast<std::uint64_t>(configuration::OutcomeKind::Invalid))
            return std::nullopt;
        reply.outcome.kind = static_cast<configuration::OutcomeKind>(kind);
        reply.outcome.revision = value.at(3).get<core::Revision>();
        reply.outcome.author = value.at(4).get<std::string>();
        reply.outcome.leader.value = value.at(5).get<std::uint64_t>();
        reply.outcome.message = value.at(6).get<std::string>();
        const auto& revisions = value.at(7);
        if (!revisions.is_array() || revisions.size() > maxRevisions)
            return std::nullopt;
        for (const auto& it : revisions)
            reply.revisions.push_back(revisionFromJson(it));
        const auto& spans = value.at(8);
        if (!spans.is_array() || spans.size() > maxSpans)
            return std::nullopt;
        for (const auto& it : spans)
            reply.spans.push_back(spanFromJson(it));
        return reply;
    });
}

} // namespace ibisgw::adapters
