#include "ibisgw/adapters/detail/OperationRoutes.h"

#include <algorithm>

namespace ibisgw::adapters::detail {

namespace {

constexpr std::size_t traceIdDigits = 32;

void respondInvalid(const ApiCall& call, const std::string& message)
{
    call.respond(errorResponse(400, core::ErrorKind::InvalidInput, message));
}

bool isTraceId(std::string_view text)
{
    return text.size() == traceIdDigits
        && std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

nlohmann::json statusJson(const SystemStatus& status, bool withMembers)
{
    const auto inForce
        = std::ranges::count_if(status.members, [&](const auto& it) { return it.revision >= status.newestRevision; });
    nlohmann::json json { { "newest_revision", status.newestRevision }, { "revision_in_force", status.revisionInForce },
        { "daemons", status.members.size() }, { "daemons_in_force", inForce } };
    if (!withMembers)
        return json;
    auto behind = nlohmann::json::array();
    for (const auto& it : status.members) {
        if (it.revision < status.newestRevision)
            behind.push_back(it.name);
    }
    json["leader"] = status.leader;
    json["members"] = toJsonList(status.members);
    json["behind"] = std::move(behind);
    return json;
}

void drainKnownUpstream(const ApiCallPtr& call, core::Endpoint address)
{
    call->backend.drainUpstream(address, onSuccess<std::monostate>(call, [call, address](auto) {
        call->respond(jsonResponse({ { "draining", address.toString() } }));
    }));
}

// Upstreams of other organizations get the same answer as unknown ones, so that a caller cannot tell whether
// they exist.
void respondUnknownUpstream(const ApiCall& call, core::Endpoint address)
{
    call.respond(errorResponse(404, core::ErrorKind::NotFound,
        "no upstream " + address.toString() + " is known; list them with: ibisgw upstreams"));
}

void showFlow(const ApiCallPtr& call, const VisibleServices& visible)
{
    const auto caller = core::Endpoint::parse(queryParameter(call->request.query, "caller"));
    const auto service = core::Endpoint::parse(queryParameter(call->request.query, "service"));
    if (!caller || !service) {
        respondInvalid(*call, "caller and service must both be an IPv4 address with port");
        return;
    }
    call->backend.findFlow(*caller, *service, onSuccess<FlowLocation>(call, [call, visible](const auto& location) {
        if (visible.covers(location.service))
            call->respond(jsonResponse(toJson(location)));
        else
            call->respond(errorResponse(404, core::ErrorKind::NotFound,
                "this daemon has no state of the flow; send the request to the balancer that carries it"));
    }));
}

} // namespace

void showStatus(const ApiCallPtr& call)
{
    call->backend.status(onSuccess<SystemStatus>(call, [call](const auto& status) {
        call->respond(jsonResponse(statusJson(status, call->caller.hasSystemScope())));
    }));
}

void showUpstreams(const ApiCallPtr& call)
{
    withVisibleServices(call, [call](const VisibleServices& visible) {
        call->backend.upstreams(onSuccess<std::vector<UpstreamStatus>>(call, [call, visible](auto upstreams) {
            std::erase_if(upstreams, [&](const auto& it) { return !visible.covers(it.service); });
            call->respond(jsonResponse({ { "upstreams", toJsonList(upstreams) } }));
        }));
    });
}

void showFlows(const ApiCallPtr& call)
{
    withVisibleServices(call, [call](const VisibleServices& visible) {
        if (!call->request.query.empty()) {
            showFlow(call, visible);
            return;
        }
        call->backend.flowCounts(onSuccess<std::vector<FlowCount>>(call, [call, visible](auto counts) {
            std::erase_if(counts, [&](const auto& it) { return !visible.covers(it.service); });
            call->respond(jsonResponse({ { "flows", toJsonList(counts) } }));
        }));
    });
}

void drainUpstream(const ApiCallPtr& call, const std::string& address)
{
    const auto endpoint = core::Endpoint::parse(address);
    if (!endpoint) {
        respondInvalid(*call, "'" + address + "' is not an IPv4 address with port");
        return;
    }
    withVisibleServices(call, [call, endpoint](const VisibleServices& visible) {
        call->backend.upstreams(
            onSuccess<std::vector<UpstreamStatus>>(call, [call, endpoint, visible](const auto& upstreams) {
                const auto it = std::ranges::find(upstreams, *endpoint, &UpstreamStatus::address);
                if (it == upstreams.end() || !visible.covers(it->service))
                    respondUnknownUpstream(*call, *endpoint);
                else
                    drainKnownUpstream(call, *endpoint);
            }));
    });
}

void drainBalancer(const ApiCallPtr& call, const std::string& name)
{
    if (!requireSystemScope(*call))
        return;
    call->backend.drainBalancer(name, onSuccess<std::monostate>(call, [call, name](auto) {
        call->respond(jsonResponse({ { "draining", name } }));
    }));
}

void showTrace(const ApiCallPtr& call, const std::string& traceId)
{
    if (!isTraceId(traceId)) {
        respondInvalid(*call, "a trace identifier has 32 lower-case hexadecimal digits");
        return;
    }
    withVisibleServices(call, [call, traceId](const VisibleServices& visible) {
        call->backend.findSpans(traceId, onSuccess<std::vector<Span>>(call, [call, visible](auto spans) {
            std::erase_if(spans, [&](const auto& it) { return !visible.covers(it.service); });
            call->respond(jsonResponse({ { "spans", toJsonList(spans) } }));
        }));
    });
}

} // namespace ibisgw::adapters::detail
