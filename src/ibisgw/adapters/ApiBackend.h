#pragma once

#include "ibisgw/adapters/ApiTypes.h"
#include "ibisgw/adapters/Span.h"
#include "ibisgw/configuration/AcceptedRevision.h"
#include "ibisgw/core/Error.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace ibisgw::adapters {

// Errors travel as values, because completions run outside the scope of the caller's LEAF handlers.
template <typename T> using ApiResult = std::variant<T, core::Error>;
template <typename T> using Completion = std::function<void(ApiResult<T>)>;

// What the administration API asks of the daemon. Each completion is called at most once, at once or
// later, on the thread of the event loop; the API answers 504 when it is not called in time. The
// results are those of the whole system; the API restricts them to what the caller may see.
class ApiBackend {
public:
    virtual ~ApiBackend();

    // The daemon forwards the submission to the leader when that is another one.
    virtual void submit(const ApiSubmission&, Completion<SubmissionAnswer>) = 0;
    virtual void findSubmission(const std::string& identifier, Completion<SubmissionAnswer>) = 0;

    virtual void documentInForce(Completion<configuration::AcceptedRevision>) = 0;
    // ErrorKind::NotFound when the revision does not exist or has been compacted away.
    virtual void documentAt(core::Revision, Completion<configuration::AcceptedRevision>) = 0;
    // The newest entries first, at most the given number.
    virtual void history(std::size_t limit, Completion<std::vector<HistoryEntry>>) = 0;

    virtual void status(Completion<SystemStatus>) = 0;
    virtual void upstreams(Completion<std::vector<UpstreamStatus>>) = 0;
    virtual void flowCounts(Completion<std::vector<FlowCount>>) = 0;
    // ErrorKind::NotFound when this daemon does not know the flow.
    virtual void findFlow(core::Endpoint caller, core::Endpoint service, Completion<FlowLocation>) = 0;

    // Completes once the drain has started.
    virtual void drainUpstream(core::Endpoint, Completion<std::monostate>) = 0;
    virtual void drainBalancer(const std::string& name, Completion<std::monostate>) = 0;

    virtual void findSpans(const std::string& traceId, Completion<std::vector<Span>>) = 0;

    // Prometheus text.
    virtual std::string metrics() = 0;
    // Empty when the daemon is ready to serve, else the reason.
    virtual std::string unhealthyReason() = 0;
};

} // namespace ibisgw::adapters
