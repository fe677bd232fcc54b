#pragma once

#include "ibisgw/adapters/ApiBackend.h"
#include "ibisgw/adapters/ControlRpc.h"
#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Time.h"

#include <memory>
#include <optional>

namespace ibisgw::adapters {
class EventLoop;
}
namespace ibisgw::membership {
class MembershipNode;
}

namespace ibisgwd {

class BalancerRole;
class ControlClient;
class ControllerRole;
class PeerNetwork;

// Components of a daemon that the administration API uses. Roles that the daemon does not have are null.
struct DaemonParts {
    ibisgw::adapters::EventLoop& loop;
    const PeerNetwork& network;
    const ibisgw::membership::MembershipNode& membership;
    ControlClient& client;
    const std::unique_ptr<BalancerRole>& balancer;
    const std::unique_ptr<ControllerRole>& controller;
    // Document in force; null before the first one.
    const std::shared_ptr<const ibisgw::configuration::Document>& document;
};

// Serves the administration API from the state of this daemon, and requests everything else from the controllers or
// other daemons.
class DaemonBackend final : public ibisgw::adapters::ApiBackend {
public:
    explicit DaemonBackend(const DaemonParts&);
    ~DaemonBackend() override;

    void submit(const ibisgw::adapters::ApiSubmission&,
        ibisgw::adapters::Completion<ibisgw::adapters::SubmissionAnswer>) override;
    void findSubmission(
        const std::string& identifier, ibisgw::adapters::Completion<ibisgw::adapters::SubmissionAnswer>) override;
    void documentInForce(ibisgw::adapters::Completion<ibisgw::configuration::AcceptedRevision>) override;
    void newestDocument(ibisgw::adapters::Completion<ibisgw::configuration::AcceptedRevision>) override;
    void documentAt(
        ibisgw::core::Revision, ibisgw::adapters::Completion<ibisgw::configuration::AcceptedRevision>) override;
    void history(std::size_t limit, ibisgw::adapters::Completion<std::vector<ibisgw::adapters::HistoryEntry>>) override;
    void status(ibisgw::adapters::Completion<ibisgw::adapters::SystemStatus>) override;
    void upstreams(ibisgw::adapters::Completion<std::vector<ibisgw::adapters::UpstreamStatus>>) override;
    void flowCounts(ibisgw::adapters::Completion<std::vector<ibisgw::adapters::FlowCount>>) override;
    void findFlow(ibisgw::core::Endpoint caller, ibisgw::core::Endpoint service,
        ibisgw::adapters::Completion<ibisgw::adapters::FlowLocation>) override;
    void drainUpstream(ibisgw::core::Endpoint, ibisgw::adapters::Completion<std::monostate>) override;
    void drainBalancer(const std::string& name, ibisgw::adapters::Completion<std::monostate>) override;
    void findSpans(
        const std::string& traceId, ibisgw::adapters::Completion<std::vector<ibisgw::adapters::Span>>) override;
    std::string metrics() override;
    std::string unhealthyReason() override;

private:
    ibisgw::adapters::SystemStatus describeSystem(ibisgw::core::NodeId leader) const;
    void requestOutcome(
        ibisgw::adapters::ControlRequest, ibisgw::adapters::Completion<ibisgw::adapters::SubmissionAnswer>);

    DaemonParts m_parts;
    // Leader in the last reply of a controller; invalid if the controller did not reply or named none.
    ibisgw::core::NodeId m_leader;
    std::optional<ibisgw::core::TimePoint> m_leaderRequestedAt;
};

} // namespace ibisgwd
