#include "ibisgwd/DaemonBackend.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "ibisgw/membership/MembershipNode.h"
#include "ibisgwd/BalancerRole.h"
#include "ibisgwd/ControlClient.h"
#include "ibisgwd/ControllerRole.h"
#include "ibisgwd/DaemonMetrics.h"
#include "ibisgwd/PeerNetwork.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ibisgwd {

using namespace ibisgw;
using adapters::ApiResult;
using adapters::Completion;
using adapters::ControlCall;
using adapters::ControlReply;
using adapters::ControlRequest;
using configuration::OutcomeKind;

namespace {

// Keeps the reply within the size limit of a stream message. A traced packet passes only a few daemons.
constexpr std::size_t maxSpansOfTrace = 4096;

// The leader is cached for this time, so that polling the status of a daemon causes little load on the controllers.
constexpr core::Duration leaderCacheTime = std::chrono::seconds(1);

adapters::SubmissionAnswer toAnswer(const configuration::SubmissionOutcome& outcome)
{
    adapters::SubmissionAnswer answer;
    answer.revision = outcome.revision;
    switch (outcome.kind) {
    case OutcomeKind::Accepted:
        answer.outcome = adapters::SubmissionOutcome::Accepted;
        break;
    case OutcomeKind::Conflict:
        answer.outcome = adapters::SubmissionOutcome::Conflict;
        break;
    case OutcomeKind::Invalid:
        answer.outcome = adapters::SubmissionOutcome::Rejected;
        break;
    case OutcomeKind::Unknown:
    case OutcomeKind::NotLeader:
        answer.outcome = adapters::SubmissionOutcome::Unknown;
        break;
    }
    if (!outcome.message.empty() && outcome.kind != OutcomeKind::Accepted)
        answer.problems.push_back({ "", outcome.message });
    return answer;
}

core::Error notBalancerError()
{
    return { core::ErrorKind::NotFound,
        "this daemon is not a balancer; send the request to a balancer (see ibisgw status)" };
}

adapters::MemberStatus toStatus(const membership::Member& member)
{
    adapters::MemberStatus status;
    status.name = member.name;
    status.control = member.id.endpoint();
    status.zone = member.zone;
    status.balancer = member.isBalancer();
    status.controller = (member.roles & membership::controllerRole) != 0;
    status.state = membership::nameOf(member.state);
    status.revision = member.revision;
    return status;
}

} // namespace

DaemonBackend::DaemonBackend(const DaemonParts& parts)
    : m_parts(parts)
{
}

DaemonBackend::~DaemonBackend() = default;

void DaemonBackend::requestOutcome(ControlRequest request, Completion<adapters::SubmissionAnswer> completion)
{
    m_parts.client.callControllers(std::move(request), ControlClient::Attempts::Several, m_parts.loop.now(),
        [completion = std::move(completion)](auto result) {
            if (const auto* reply = std::get_if<ControlReply>(&result))
                completion(toAnswer(reply->outcome));
            else
                // The submission may still have been accepted, so its outcome is unknown.
                completion(adapters::SubmissionAnswer {
                    adapters::SubmissionOutcome::Unknown, 0, { { "", std::get<core::Error>(result).message } } });
        });
}

void DaemonBackend::submit(const adapters::ApiSubmission& submission, Completion<adapters::SubmissionAnswer> completion)
{
    ControlRequest request;
    request.call = ControlCall::Submit;
    request.submission = { submission.identifier, submission.author, submission.base, submission.text };
    requestOutcome(std::move(request), std::move(completion));
}

void DaemonBackend::findSubmission(const std::string& identifier, Completion<adapters::SubmissionAnswer> completion)
{
    ControlRequest request;
    request.call = ControlCall::FindOutcome;
    request.submission.id = identifier;
    requestOutcome(std::move(request), std::move(completion));
}

void DaemonBackend::documentInForce(Completion<configuration::AcceptedRevision> completion)
{
    completion(m_parts.membership.revisionInForce());
}

void DaemonBackend::newestDocument(Completion<configuration::AcceptedRevision> completion)
{
    ControlRequest request;
    request.call = ControlCall::ReadNewest;
    m_parts.client.callControllers(std::move(request), ControlClient::Attempts::Several, m_parts.loop.now(),
        [completion = std::move(completion)](auto result) {
            auto* reply = std::get_if<ControlReply>(&result);
            if (!reply)
                completion(std::get<core::Error>(result));
            else if (reply->revisions.empty())
                completion(core::Error { core::ErrorKind::Unavailable,
                    "the leader sent no revision; upgrade all controllers and try again" });
            else
                completion(std::move(reply->revisions.front()));
        });
}

void DaemonBackend::documentAt(core::Revision revision, Completion<configuration::AcceptedRevision> completion)
{
    ControlRequest request;
    request.call = ControlCall::FindRevision;
    request.revision = revision;
    m_parts.client.callControllers(std::move(request), ControlClient::Attempts::Several, m_parts.loop.now(),
        [revision, completion = std::move(completion)](auto result) {
            auto* reply = std::get_if<ControlReply>(&result);
            if (!reply)
                completion(std::get<core::Error>(result));
            else if (reply->revisions.empty())
                completion(core::Error { core::ErrorKind::NotFound,
                    "revision " + std::to_string(revision) + " does not exist or is no longer kept" });
            else
                completion(std::move(reply->revisions.front()));
        });
}

void DaemonBackend::history(std::size_t limit, Completion<std::vector<adapters::HistoryEntry>> completion)
{
    ControlRequest request;
    request.call = ControlCall::ListRevisions;
    request.limit = limit;
    m_parts.client.callControllers(std::move(request), ControlClient::Attempts::Several, m_parts.loop.now(),
        [completion = std::move(completion)](auto result) {
            const auto* reply = std::get_if<ControlReply>(&result);
            if (!reply) {
                completion(std::get<core::Error>(result));
                return;
            }
            std::vector<adapters::HistoryEntry> entries;
            for (const auto& it : reply->revisions)
                entries.push_back({ it.revision, it.author, it.submission, it.hash });
            completion(std::move(entries));
        });
}

void DaemonBackend::status(Completion<adapters::SystemStatus> completion)
{
    if (m_parts.controller) {
        completion(describeSystem(m_parts.controller->status().leader));
        return;
    }
    const auto now = m_parts.loop.now();
    if (m_leaderRequestedAt && now - *m_leaderRequestedAt < leaderCacheTime) {
        completion(describeSystem(m_leader));
        return;
    }
    // Every reply holds the leader, so any cheap request is sufficient. Without a reply the status has no leader.
    ControlRequest request;
    request.call = ControlCall::ListRevisions;
    request.limit = 1;
    m_parts.client.callControllers(std::move(request), ControlClient::Attempts::One, now,
        [this, now, completion = std::move(completion)](const auto& result) {
            const auto* reply = std::get_if<ControlReply>(&result);
            m_leader = reply ? reply->outcome.leader : core::NodeId {};
            m_leaderRequestedAt = now;
            completion(describeSystem(m_leader));
        });
}

adapters::SystemStatus DaemonBackend::describeSystem(core::NodeId leader) const
{
    const auto& membership = m_parts.membership;
    adapters::SystemStatus status;
    status.revisionInForce = membership.revisionInForce().revision;
    status.newestRevision = status.revisionInForce;
    auto self = membership.self();
    self.revision = status.revisionInForce;
    status.members.push_back(toStatus(self));
    for (const auto& [id, record] : membership.members().records()) {
        status.members.push_back(toStatus(record.member));
        status.newestRevision = std::max(status.newestRevision, record.member.revision);
    }
    for (const auto& it : status.members) {
        if (core::NodeId::fromEndpoint(it.control) == leader)
            status.leader = it.name;
    }
    for (const auto& it : membership.zones())
        status.newestRevision = std::max(status.newestRevision, it.newest.revision);
    return status;
}

void DaemonBackend::upstreams(Completion<std::vector<adapters::UpstreamStatus>> completion)
{
    if (!m_parts.balancer) {
        completion(notBalancerError());
        return;
    }
    std::vector<adapters::UpstreamStatus> result;
    for (const auto& [id, record] : m_parts.balancer->balancer().upstreams().records()) {
        const auto& announcement = record.announcement;
        const auto load = announcement.slots ? static_cast<double>(announcement.busySlots) / announcement.slots : 0.0;
        result.push_back({ id.endpoint(), announcement.service, announcement.zone,
            std::string(upstream::nameOf(announcement.state)), announcement.slots, load, announcement.openFlows });
    }
    completion(std::move(result));
}

void DaemonBackend::flowCounts(Completion<std::vector<adapters::FlowCount>> completion)
{
    if (!m_parts.balancer) {
        completion(notBalancerError());
        return;
    }
    std::vector<adapters::FlowCount> counts;
    for (const auto& [key, n] : m_parts.balancer->balancer().flowCounts())
        counts.push_back({ key.first, key.second.endpoint(), n });
    completion(std::move(counts));
}

void DaemonBackend::findFlow(
    core::Endpoint caller, core::Endpoint service, Completion<adapters::FlowLocation> completion)
{
    if (!m_parts.balancer) {
        completion(notBalancerError());
        return;
    }
    const auto location = m_parts.balancer->balancer().locate({ caller, service }, m_parts.loop.now());
    if (location)
        completion(adapters::FlowLocation { location->service, location->upstream.endpoint(), location->source });
    else
        completion(core::Error { core::ErrorKind::NotFound, "the flow is unknown to this balancer; try another one" });
}

void DaemonBackend::drainUpstream(core::Endpoint upstream, Completion<std::monostate> completion)
{
    // A drain by an operator is stored in the document, so that it is durable and applies at all balancers.
    const auto* record = m_parts.balancer
        ? m_parts.balancer->balancer().upstreams().find(core::UpstreamId::fromEndpoint(upstream))
        : nullptr;
    if (!record) {
        completion(core::Error { core::ErrorKind::NotFound,
            "this daemon has no upstream " + upstream.toString()
                + "; send the request to a balancer (see ibisgw upstreams)" });
        return;
    }
    const auto& inForce = m_parts.membership.revisionInForce();
    const auto reading = configuration::readDocument(nlohmann::json::parse(inForce.document, nullptr, false));
    if (!reading.document) {
        completion(core::Error { core::ErrorKind::Unavailable, "no document is in force yet; submit one first" });
        return;
    }
    auto document = *reading.document;
    const auto service
        = std::ranges::find(document.services, record->announcement.service, &configuration::Service::name);
    if (service == document.services.end()) {
        completion(core::Error { core::ErrorKind::NotFound,
            "the document has no service '" + record->announcement.service + "'; the upstream gets no work" });
        return;
    }
    if (std::ranges::find(service->drainedUpstreams, upstream) != service->drainedUpstreams.end()) {
        completion(std::monostate {});
        return;
    }
    service->drainedUpstreams.push_back(upstream);
    ControlRequest request;
    request.call = ControlCall::Submit;
    request.submission = { "drain-" + upstream.toString() + "-" + std::to_string(inForce.revision), "ibisgw drain",
        inForce.revision, configuration::canonicalText(document) };
    m_parts.client.callControllers(std::move(request), ControlClient::Attempts::Several, m_parts.loop.now(),
        [completion = std::move(completion)](auto result) {
            const auto* reply = std::get_if<ControlReply>(&result);
            if (!reply)
                completion(std::get<core::Error>(result));
            else if (reply->outcome.kind == OutcomeKind::Accepted)
                completion(std::monostate {});
            else if (reply->outcome.kind == OutcomeKind::Conflict)
                completion(core::Error { core::ErrorKind::Conflict, "another change was accepted first; drain again" });
            else if (reply->outcome.kind == OutcomeKind::Invalid)
                completion(core::Error { core::ErrorKind::InvalidInput, reply->outcome.message });
            else
                completion(core::Error { core::ErrorKind::Unavailable, "the drain is not committed yet; drain again" });
        });
}

void DaemonBackend::drainBalancer(const std::string& name, Completion<std::monostate> completion)
{
    core::NodeId target;
    if (m_parts.membership.self().name == name)
        target = m_parts.membership.self().id;
    for (const auto& [id, record] : m_parts.membership.members().records()) {
        if (record.member.name == name && record.member.isBalancer())
            target = id;
    }
    if (!target.isValid()) {
        completion(core::Error { core::ErrorKind::NotFound, "no balancer '" + name + "'; see ibisgw status" });
        return;
    }
    ControlRequest request;
    request.call = ControlCall::DrainBalancer;
    m_parts.client.callDaemon(
        target, std::move(request), m_parts.loop.now(), [completion = std::move(completion)](auto result) {
            if (std::holds_alternative<ControlReply>(result))
                completion(std::monostate {});
            else
                completion(std::get<core::Error>(result));
        });
}

void DaemonBackend::findSpans(const std::string& traceId, Completion<std::vector<adapters::Span>> completion)
{
    struct Collection {
        std::vector<adapters::Span> spans;
        std::size_t pendingReplies { 0 };
        Completion<std::vector<adapters::Span>> completion;
    };
    auto collection = std::make_shared<Collection>();
    collection->completion = std::move(completion);
    auto targets = m_parts.membership.members().reachable();
    targets.push_back(m_parts.membership.self().id);
    collection->pendingReplies = targets.size();
    for (const auto& it : targets) {
        ControlRequest request;
        request.call = ControlCall::FindSpans;
        request.traceId = traceId;
        m_parts.client.callDaemon(it, std::move(request), m_parts.loop.now(), [collection](auto result) {
            if (const auto* reply = std::get_if<ControlReply>(&result))
                collection->spans.insert(collection->spans.end(), reply->spans.begin(), reply->spans.end());
            if (--collection->pendingReplies > 0)
                return;
            std::ranges::sort(collection->spans, {}, &adapters::Span::startUs);
            if (collection->spans.size() > maxSpansOfTrace)
                collection->spans.resize(maxSpansOfTrace);
            collection->completion(std::move(collection->spans));
        });
    }
}

std::string DaemonBackend::metrics()
{
    return renderMetrics(m_parts);
}

std::string DaemonBackend::unhealthyReason()
{
    if (m_parts.membership.revisionInForce().revision == 0)
        return "no document is in force yet";
    if (m_parts.membership.isIsolated())
        return "contact with all other daemons is lost";
    return {};
}

} // namespace ibisgwd
