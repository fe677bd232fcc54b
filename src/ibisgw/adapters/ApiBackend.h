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

// Errors are passed as values, because a completion may run after the scope of the caller's LEAF handlers
// has ended.
template <typename T> using ApiResult = std::variant<T, core::Error>;
template <typename T> using Completion = std::function<void(ApiResult<T>)>;

// Interface through which the administration API queries and controls the daemon. Each completion is
// called at most once, during the call or later, on the thread of the event loop. If it is not called in
// time, the API answers with status 504. Results cover the whole system; the API filters them by the
// permissions of the caller.
class ApiBackend {
public:
    virtual ~ApiBackend();

    // Forwards the submission to the leader if another daemon is the leader.
    virtual void submit(const ApiSubmission&, Completion<SubmissionAnswer>) = 0;
    virtual void findSubmission(const std::string& identifier, Completion<SubmissionAnswer>) = 0;

    virtual void documentInForce(Completion<configuration::AcceptedRevision>) = 0;
    // Newest accepted revision of the whole system, read from the leader. Revision 0 before the first one.
    virtual void newestDocument(Completion<configuration::AcceptedRevision>) = 0;
    // ErrorKind::NotFound if the revision does not exist or has been compacted away.
    virtual void documentAt(core::Revision, Completion<configuration::AcceptedRevision>) = 0;
    // At most `limit` entries, the newest first.
    virtual void history(std::size_t limit, Completion<std::vector<HistoryEntry>>) = 0;

    virtual void status(Completion<SystemStatus>) = 0;
    virtual void upstreams(Completion<std::vector<UpstreamStatus>>) = 0;
    virtual void flowCounts(Completion<std::vector<FlowCount>>) = 0;
    // ErrorKind::NotFound if this daemon has no state of the flow.
    virtual void findFlow(core::Endpoint caller, core::Endpoint service, Completion<FlowLocation>) = 0;

    // Both complete when the drain has started, not when it has ended.
    virtual void drainUpstream(core::Endpoint, Completion<std::monostate>) = 0;
    virtual void drainBalancer(const std::string& name, Completion<std::monostate>) = 0;

    virtual void findSpans(const std::string& traceId, Completion<std::vector<Span>>) = 0;

    // Metrics in the Prometheus text format.
    virtual std::string metrics() = 0;
    // Empty if the daemon is ready to serve, otherwise the reason why it is not.
    virtual std::string unhealthyReason() = 0;
};

} // namespace ibisgw::adapters
