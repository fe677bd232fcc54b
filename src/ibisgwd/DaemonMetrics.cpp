#include "ibisgwd/DaemonMetrics.h"

#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/membership/MembershipNode.h"
#include "ibisgwd/BalancerRole.h"
#include "ibisgwd/ControllerRole.h"
#include "ibisgwd/DaemonBackend.h"
#include "ibisgwd/PeerNetwork.h"

#include <algorithm>

namespace ibisgwd {

using namespace ibisgw;
using adapters::MetricsRegistry;

namespace {

void addBalancer(MetricsRegistry& registry, const BalancerRole& role)
{
    const auto& counters = role.balancer().counters();
    const auto count
        = [&](const char* name, const char* help, std::uint64_t value) { registry.counter(name, help) = value; };
    count("ibisgw_flows_placed_total", "New flows that this balancer placed", counters.flowsPlaced);
    count("ibisgw_packets_to_upstreams_total", "Packets forwarded to upstreams", counters.packetsToUpstreams);
    count("ibisgw_packets_to_callers_total", "Packets forwarded to callers", counters.packetsToCallers);
    count("ibisgw_packets_relayed_total", "Packets relayed to the home of their flow", counters.packetsRelayed);
    count("ibisgw_resolved_by_token_total", "Flows found by their token", counters.resolvedByToken);
    count("ibisgw_resolved_by_record_total", "Flows found by a flow record", counters.resolvedByRecord);
    count("ibisgw_resolved_by_default_total", "Flows found by their default upstream", counters.resolvedByDefault);
    count("ibisgw_refused_not_run_total", "Refusals that the request did not run", counters.refusedNotRun);
    count("ibisgw_refused_unknown_total", "Refusals with unknown outcome", counters.refusedOutcomeUnknown);
    count("ibisgw_resets_total", "Flows that no balancer knows", counters.resets);
    count("ibisgw_dropped_crossed_answers_total", "Answers of another upstream than the flow's",
        counters.droppedCrossedAnswers);
    count("ibisgw_dropped_invalid_token_total", "Tokens that were not issued for their flow",
        counters.droppedInvalidToken);
    count("ibisgw_dropped_relays_total", "Relays beyond the cap", counters.droppedRelays);
    count("ibisgw_malformed_datagrams_total", "Datagrams that could not be read", role.malformedDatagrams());
    const auto countHedged = [&](const char* result, std::uint64_t value) {
        registry.counter(
            "ibisgw_hedged_requests_total", "Extra attempts of late requests by result", { { "result", result } })
            = value;
    };
    countHedged("attempted", counters.hedgesAttempted);
    countHedged("won", counters.hedgesWon);
    countHedged("refused_by_limit", counters.hedgesRefusedByLimit);
    registry.gauge("ibisgw_flows", "Flows in the flow table") = static_cast<double>(role.balancer().flowCount());
    registry.gauge("ibisgw_upstreams", "Upstreams that hold a lease")
        = static_cast<double>(role.balancer().upstreams().records().size());
}

void addAuthentication(
    MetricsRegistry& registry, const char* transport, const adapters::AuthenticationCounters& counters)
{
    const auto count = [&](const char* result, std::uint64_t value) {
        registry.counter("ibisgw_control_messages_total", "Messages of other daemons by result",
            { { "transport", transport }, { "result", result } })
            = value;
    };
    count("accepted", counters.accepted);
    count("malformed", counters.malformed);
    count("unknown_key", counters.unknownKey);
    count("altered", counters.altered);
    count("replayed", counters.replayed);
}

} // namespace

std::string renderMetrics(const DaemonParts& parts)
{
    MetricsRegistry registry;
    if (parts.balancer)
        addBalancer(registry, *parts.balancer);
    addAuthentication(registry, "datagram", parts.network.datagramCounters());
    addAuthentication(registry, "stream", parts.network.streamCounters());
    registry.counter("ibisgw_stream_bytes_sent_total", "Bytes sent on streams") = parts.network.streamBytesSent();
    registry.gauge("ibisgw_revision_in_force", "Revision of the document in force")
        = static_cast<double>(parts.membership.revisionInForce().revision);
    registry.gauge("ibisgw_evacuated_zones", "Zones without new flows by the document in force")
        = parts.document ? static_cast<double>(parts.document->evacuatedZones.size()) : 0;
    registry.gauge("ibisgw_members", "Other daemons that can be reached")
        = static_cast<double>(parts.membership.members().reachableCount());
    registry.gauge("ibisgw_isolated", "1 while contact with all other daemons is lost")
        = parts.membership.isIsolated() ? 1 : 0;
    if (parts.controller) {
        const auto status = parts.controller->status();
        registry.gauge("ibisgw_raft_term", "Term of the controller") = static_cast<double>(status.term);
        registry.gauge("ibisgw_raft_commit_index", "Last committed entry") = static_cast<double>(status.commitIndex);
        // After its disk was replaced, a controller stays in the list of voters with the former disk, but it has no
        // vote until it has rejoined.
        const bool isParticipating = status.role != configuration::RaftRole::Learner
            && status.role != configuration::RaftRole::CheckingDisk && status.role != configuration::RaftRole::Halted;
        const bool isVoter
            = isParticipating && std::ranges::find(status.voters, parts.network.self()) != status.voters.end();
        registry.gauge("ibisgw_raft_voter", "Whether the controller has a vote: 1 or 0") = isVoter ? 1 : 0;
        registry.gauge("ibisgw_accepting", "1 on a leader that takes submissions") = status.isAccepting ? 1 : 0;
    }
    return registry.render();
}

} // namespace ibisgwd
